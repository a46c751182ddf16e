#ifndef DOGWOODRAIL_CORE_POISON_SUSPECT_GATE_H_
#define DOGWOODRAIL_CORE_POISON_SUSPECT_GATE_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/poison/poison_registry.h"

namespace dogwoodrail::core::poison {

// Whether an execution may start at a backend server.
enum class GateDecision : std::uint8_t {
  kRun,
  kWait,    // it would run beside a suspect; try again later or elsewhere
  kRefuse,  // convicted
};

// Keeps suspects apart at one backend server and blames those that were in
// flight at a crash.
class SuspectGate {
 public:
  SuspectGate(base::Incarnation self, PoisonRegistry* book);
  virtual ~SuspectGate() = default;

  // Asks whether an execution may start, and notes it if so.
  GateDecision TryStart(base::CallId call, const Fingerprint& fingerprint,
                        base::TimePoint now);

  // Notes the end of an execution. `completed` means that a whole answer came.
  // Returns a report if the execution clears a suspect.
  std::optional<PoisonReport> OnFinished(base::CallId call, bool completed,
                                         base::TimePoint now);

  // The backend server crashed: returns a report for each fingerprint that is
  // to be blamed, and marks it here at once. Forgets all executions.
  std::vector<PoisonReport> OnCrash(base::TimePoint now);

  // Executions in flight.
  std::size_t size() const { return running_.size(); }

 protected:
  // True if suspects are kept apart; tests switch it off.
  virtual bool KeepsApart() const;

 private:
  struct Execution {
    Fingerprint fingerprint;
    bool suspect = false;
  };

  base::Incarnation self_;
  PoisonRegistry* book_;
  std::unordered_map<base::CallId, Execution> running_;
  std::uint64_t next_report_ = 1;
  std::optional<base::CallId> running_suspect_;
  bool runs_alone_ = false;  // the running suspect
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_SUSPECT_GATE_H_
