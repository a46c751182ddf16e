#ifndef DOGWOODRAIL_NODE_POISON_SYSTEM_H_
#define DOGWOODRAIL_NODE_POISON_SYSTEM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/base/event_type.h"
#include "core/poison/crash_set.h"
#include "core/poison/crash_spread.h"
#include "core/poison/suspect_gate.h"
#include "node/execution_type.h"
#include "wire/poison_codec.h"

namespace dogwoodrail::node {

// How the poison system reaches other nodes.
struct PoisonPorts {
  core::poison::CrashSpread::PickPeer pick_peer;
  core::poison::CrashSpread::CountMembers count_members;
  std::function<void(const core::base::NodeAddress&, const wire::Bytes&)> send;
};

// Protects backend servers from poison requests, which crash them: refuses
// blocked requests, finds out which requests were in flight when a backend
// server ended, and spreads this to all nodes.
class PoisonSystem {
 public:
  using TimePoint = core::base::TimePoint;

  PoisonSystem(const core::poison::PoisonSettings& settings,
               core::base::NodeAddress self,
               core::base::Incarnation incarnation, PoisonPorts ports,
               core::base::EventSink emit);

  // Returns how long a request is still blocked; nullopt if it is not. Counts
  // the request as refused.
  std::optional<core::base::Duration> RefuseFor(
      const core::poison::Fingerprint& fingerprint, TimePoint now);
  // Called right before an execution. Records it, or returns the reason to
  // refuse it.
  std::optional<core::base::Reason> MayStart(const Execution& execution,
                                             TimePoint now);
  // Records the end of an execution.
  void OnFinished(const Execution& execution,
                  const http::BackendOutcome& outcome, TimePoint now);
  // Lifts what is known against a request, on all nodes. Returns the number of
  // crash records that counted against it.
  std::size_t Release(const core::poison::Fingerprint& fingerprint,
                      TimePoint now);
  // Called when the process of the backend server is known to have ended.
  void OnProcessEnded(TimePoint now);
  // Called at the entry of a request whose serving node was lost after it may
  // have started the request: the backend server may have ended as well.
  void OnAttemptLost(const core::poison::Fingerprint& fingerprint,
                     TimePoint sent_at, TimePoint now);
  // Called at the entry of a request whose serving node has answered that its
  // outcome is unknown: that node reports a crash, unless it is lost before.
  void OnAttemptUnknown(const core::poison::Fingerprint& fingerprint,
                        const core::base::NodeAddress& serving_node,
                        TimePoint sent_at, TimePoint now);
  // Called when the link to a node is lost.
  void OnNodeLost(const core::base::NodeAddress& node, TimePoint now);
  // Handles a datagram from another node.
  void OnDatagram(const core::base::NodeAddress& from,
                  const wire::Bytes& payload, TimePoint now);
  // Detects crashes, and sends what is due.
  void Tick(TimePoint now);

  // Holds executions back until AdmitExecutions(): what earlier processes knew
  // of crashes has not been read yet.
  void HoldExecutions() { held_ = true; }
  void AdmitExecutions() { held_ = false; }
  // Sets the hook that is called when a completion at this node has cleared
  // entries of a record.
  void SetClearHook(std::function<void(const core::poison::CrashId&)> hook) {
    on_cleared_ = std::move(hook);
  }

  core::poison::CrashSet& crashes() { return crashes_; }
  const core::poison::CrashSet& crashes() const { return crashes_; }
  const core::poison::CrashSpread& spread() const { return spread_; }
  // Requests refused because they are blocked, since the start.
  std::uint64_t refused_count() const { return refused_count_; }
  // Crashes that this node has observed.
  std::uint64_t observed_count() const { return next_number_ - 1; }

 private:
  // An attempt with an unknown outcome, as its entry knows it.
  struct UnknownAttempt {
    core::poison::Fingerprint fingerprint;
    core::base::NodeAddress serving_node;
    TimePoint sent_at;
    TimePoint ended_at;
  };

  // Adds the records of a crash, and tells other nodes.
  void AddRecords(core::poison::ObservedCrash crash, const char* cause,
                  TimePoint now);
  void TakeLostAttempts(TimePoint now);
  void ReportBlocked(TimePoint now);
  void Send(const core::poison::CrashSpread::Messages& messages, TimePoint now);

  core::base::NodeAddress self_;
  core::base::Incarnation incarnation_;
  PoisonPorts ports_;
  core::base::EventSink emit_;
  core::poison::CrashSet crashes_;
  core::poison::CrashSpread spread_;
  core::poison::SuspectGate gate_;
  std::vector<core::poison::CrashEntry> lost_attempts_;
  TimePoint next_attempt_record_;
  std::deque<UnknownAttempt> unknown_attempts_;
  std::unordered_set<core::poison::Fingerprint> reported_blocked_;
  std::uint64_t next_number_ = 1;
  std::uint64_t refused_count_ = 0;
  std::function<void(const core::poison::CrashId&)> on_cleared_;
  bool held_ = false;
  TimePoint last_tick_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_POISON_SYSTEM_H_
