#include "core/poison/suspect_gate.h"

#include <map>

namespace dogwoodrail::core::poison {

SuspectGate::SuspectGate(base::Incarnation self, PoisonRegistry* book)
    : self_(self), book_(book) {}

bool SuspectGate::KeepsApart() const { return true; }

// A suspect that the next crash would convict runs with nothing beside it, so
// that the conviction is certain. On a server that is never idle it has to
// wait, which harms it less than a wrong conviction.
GateDecision SuspectGate::TryStart(base::CallId call,
                                   const Fingerprint& fingerprint,
                                   base::TimePoint now) {
  const PoisonStatus status = book_->GetStatus(fingerprint, now);
  if (status == PoisonStatus::kBlocked) return GateDecision::kRefuse;
  const bool alone = status == PoisonStatus::kIsolatedSuspect;
  const bool suspect = alone || status == PoisonStatus::kSuspect;
  if (KeepsApart()) {
    if (alone && !running_.empty()) return GateDecision::kWait;
    if (suspect && running_suspect_) return GateDecision::kWait;
    if (runs_alone_) return GateDecision::kWait;
  }
  if (suspect) running_suspect_ = call;
  if (alone) runs_alone_ = true;
  running_.insert_or_assign(call, Execution{fingerprint, suspect});
  return GateDecision::kRun;
}

std::optional<PoisonReport> SuspectGate::OnFinished(base::CallId call,
                                                    bool completed,
                                                    base::TimePoint now) {
  const auto it = running_.find(call);
  if (it == running_.end()) return std::nullopt;
  const Execution execution = it->second;
  running_.erase(it);
  if (running_suspect_ == call) {
    running_suspect_.reset();
    runs_alone_ = false;
  }
  if (!completed) return std::nullopt;
  const PoisonStatus status = book_->GetStatus(execution.fingerprint, now);
  const bool suspect = status == PoisonStatus::kSuspect ||
                       status == PoisonStatus::kIsolatedSuspect;
  if (!suspect) return std::nullopt;
  return PoisonReport{execution.fingerprint,
                      {self_, next_report_++},
                      PoisonObservation::kCompleted};
}

// Suspects are kept apart so that a crash says which of them caused it. What
// was in flight beside a suspect runs apart from then on, too, in case the
// suspect was innocent.
std::vector<PoisonReport> SuspectGate::OnCrash(base::TimePoint now) {
  std::map<Fingerprint, PoisonObservation> seen;
  for (const auto& [call, execution] : running_) {
    const bool apart = execution.suspect || !KeepsApart();
    PoisonObservation& observation =
        seen.try_emplace(execution.fingerprint, PoisonObservation::kInFlight)
            .first->second;
    if (apart) observation = PoisonObservation::kOnlySuspect;
  }
  running_.clear();
  running_suspect_.reset();
  runs_alone_ = false;
  std::vector<PoisonReport> reports;
  for (const auto& [fingerprint, observation] : seen) {
    book_->MarkSuspect(fingerprint, now);
    reports.push_back({fingerprint, {self_, next_report_++}, observation});
  }
  return reports;
}

}  // namespace dogwoodrail::core::poison
