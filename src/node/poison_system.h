#ifndef DOGWOODRAIL_NODE_POISON_SYSTEM_H_
#define DOGWOODRAIL_NODE_POISON_SYSTEM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/base/event_type.h"
#include "core/base/random_type.h"
#include "core/poison/poison_registry.h"
#include "core/poison/suspect_gate.h"
#include "node/execution_type.h"
#include "node/shard_system.h"
#include "wire/poison_codec.h"

namespace dogwoodrail::node {

// Protects backend servers from poison requests, which crash them: runs the
// gate before each execution, reports crashes to the nodes that own the shards
// of the fingerprints, and spreads verdicts to other nodes as rumours.
class PoisonSystem {
 public:
  using TimePoint = core::base::TimePoint;
  // Returns the known members; entries for this node are skipped.
  using MembersPort = std::function<std::vector<core::shard::Member>()>;

  PoisonSystem(const core::poison::PoisonSettings& settings,
               ShardSystem& shards, wire::Links& links, MembersPort members,
               std::uint64_t seed, core::base::EventSink emit);

  // Returns the reason to refuse a call, or nullopt.
  std::optional<core::base::Reason> CheckCall(const wire::CallMessage& message,
                                              TimePoint now) const;
  // Called right before an execution. Records it, or returns the reason to
  // refuse it.
  std::optional<core::base::Reason> MayStart(const Execution& execution,
                                             TimePoint now);
  // Records the end of an execution.
  void OnFinished(const Execution& execution,
                  const http::BackendOutcome& outcome, TimePoint now);
  // Handles a frame from another node.
  void OnFrame(wire::LinkId from, const wire::Bytes& payload, TimePoint now);
  // Detects crashes, and sends the reports and rumours that are due.
  void Tick(TimePoint now);

  const core::poison::PoisonRegistry& registry() const { return registry_; }

 private:
  struct RunningExecution {
    core::poison::Fingerprint fingerprint;
    TimePoint started;
    bool failed = false;
  };
  struct PendingReport {
    core::poison::PoisonReport report;
    TimePoint sent_at;
    int send_count = 0;
  };
  struct QueuedRumour {
    core::poison::PoisonRumour rumour;
    int rounds_left = 0;
  };

  void EvaluateFailures(TimePoint now);
  void AddReport(const core::poison::PoisonReport& report, TimePoint now);
  void SendReport(PendingReport& pending, TimePoint now);
  bool ApplyReport(const core::poison::PoisonReport& report, TimePoint now);
  void RemoveReport(const core::poison::CrashId& id);
  void QueueRumour(const core::poison::PoisonRumour& rumour);
  void SendRumours();

  ShardSystem& shards_;
  wire::Links& links_;
  MembersPort members_;
  core::base::Random random_;
  core::base::EventSink emit_;
  core::poison::PoisonRegistry registry_;
  core::poison::SuspectGate gate_;
  std::unordered_map<core::base::CallId, RunningExecution> running_;
  std::optional<TimePoint> first_failure_;
  std::vector<PendingReport> pending_reports_;
  std::vector<QueuedRumour> rumours_;
  TimePoint last_gossip_;
  TimePoint last_tick_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_POISON_SYSTEM_H_
