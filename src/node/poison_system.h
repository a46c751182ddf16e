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

// Requests that crash backend servers, as this node sees them: the gate before
// each execution, reports to the owners of their shards, and rumours.
class PoisonSystem {
 public:
  using TimePoint = core::base::TimePoint;
  // Returns the other nodes that this one knows.
  using MembersPort = std::function<std::vector<core::shard::Member>()>;

  PoisonSystem(const core::poison::PoisonSettings& settings,
               ShardSystem& shards, wire::Links& links, MembersPort members,
               std::uint64_t seed, core::base::EventSink emit);

  // Returns why a call must not run here, or nothing.
  std::optional<core::base::Reason> CheckCall(const wire::CallMessage& message,
                                              TimePoint now) const;
  // Asked right before an execution; notes it unless a reason is returned.
  std::optional<core::base::Reason> MayStart(const Execution& execution,
                                             TimePoint now);
  // Notes the end of an execution.
  void OnFinished(const Execution& execution,
                  const http::BackendOutcome& outcome, TimePoint now);
  // Takes a frame from another node.
  void OnFrame(wire::LinkId from, const wire::Bytes& payload, TimePoint now);
  // Decides about crashes and sends what is due.
  void Tick(TimePoint now);

  const core::poison::PoisonRegistry& book() const { return book_; }

 private:
  struct Running {
    core::poison::Fingerprint fingerprint;
    TimePoint started;
    bool failed = false;
  };
  struct PendingReport {
    core::poison::PoisonReport report;
    TimePoint sent;
    int sends = 0;
  };
  struct Spread {
    core::poison::PoisonRumour rumour;
    int rounds_left = 0;
  };

  void JudgeFailures(TimePoint now);
  void AddReport(const core::poison::PoisonReport& report, TimePoint now);
  void SendReport(PendingReport& pending, TimePoint now);
  bool Count(const core::poison::PoisonReport& report, TimePoint now);
  void TakeAck(const core::poison::CrashId& id);
  void Announce(const core::poison::PoisonRumour& rumour);
  void SpreadRumours();

  ShardSystem& shards_;
  wire::Links& links_;
  MembersPort members_;
  core::base::Random random_;
  core::base::EventSink emit_;
  core::poison::PoisonRegistry book_;
  core::poison::SuspectGate gate_;
  std::unordered_map<core::base::CallId, Running> running_;
  std::optional<TimePoint> first_failure_;
  std::vector<PendingReport> reports_;
  std::vector<Spread> spreads_;
  TimePoint spread_at_;
  TimePoint ticked_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_POISON_SYSTEM_H_
