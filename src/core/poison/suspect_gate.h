#ifndef DOGWOODRAIL_CORE_POISON_SUSPECT_GATE_H_
#define DOGWOODRAIL_CORE_POISON_SUSPECT_GATE_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/poison/crash_set.h"

namespace dogwoodrail::core::poison {

// Whether an execution may start on a backend server.
enum class StartDecision : std::uint8_t {
  kRun,
  kWait,    // another isolated request is in flight; try elsewhere or later
  kRefuse,  // blocked
};

// How an execution ended.
enum class ExecutionEnd : std::uint8_t {
  kAnswered,        // with a complete response of the process
  kNotRun,          // the process was not sent the request or rejected it
  kConnectionLost,  // the connection closed before a complete response
  kUnanswered,      // given up: deadline, cancelled
};

// Decides which executions may start on one backend server, and finds out which
// were in flight when its process ended.
class SuspectGate {
 public:
  explicit SuspectGate(const CrashSet& crashes) : crashes_(crashes) {}
  virtual ~SuspectGate() = default;

  // Decides whether an execution may start, and records it if so.
  StartDecision TryStart(base::CallId call, const Fingerprint& fingerprint,
                         base::TimePoint now);
  // Records the end of an execution.
  void OnFinished(base::CallId call, ExecutionEnd end, base::TimePoint now);
  // Called when the process is known to have ended: another one runs at its
  // address, or it has been silent for too long.
  void OnProcessEnded(base::TimePoint now);

  // Returns what was in flight when a process ended, once this is certain.
  std::optional<ObservedCrash> TakeCrash(base::TimePoint now);

  // Returns the number of executions in flight.
  std::size_t size() const { return running_.size(); }

 protected:
  // Returns true if isolated requests run one at a time; overridden by tests.
  virtual bool IsolatesRequests() const;

 private:
  struct Execution {
    Fingerprint fingerprint;
    base::TimePoint started;
    bool isolated = false;
  };
  // An execution that ended without a response.
  struct LostExecution {
    Execution execution;
    base::TimePoint ended;
  };

  bool HasSurvivor() const;
  void DropLostBefore(base::TimePoint limit);
  ObservedCrash TakeLost();

  const CrashSet& crashes_;
  std::unordered_map<base::CallId, Execution> running_;
  std::vector<LostExecution> lost_;
  std::optional<base::TimePoint> first_loss_;  // of a connection
  bool process_ended_ = false;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_SUSPECT_GATE_H_
