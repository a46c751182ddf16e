#include "core/poison/suspect_gate.h"

#include <algorithm>
#include <map>

namespace dogwoodrail::core::poison {
namespace {

// When a process ends, all of its connections close within this time.
constexpr base::Duration kCloseTime = std::chrono::milliseconds(30);
// Time for which an execution without a response may turn out to have been in
// flight at the end of the process. Longer than the time after which a silent
// backend server counts as gone.
constexpr base::Duration kLostMemory = std::chrono::seconds(10);
constexpr std::size_t kMaxLost = 1024;

}  // namespace

bool SuspectGate::IsolatesRequests() const { return true; }

StartDecision SuspectGate::TryStart(base::CallId call,
                                    const Fingerprint& fingerprint,
                                    base::TimePoint now) {
  const PoisonStatus status = crashes_.GetStatus(fingerprint);
  if (status == PoisonStatus::kBlocked) return StartDecision::kRefuse;
  const bool isolated = status == PoisonStatus::kIsolated;
  const auto excludes = [&fingerprint](const auto& it) {
    return it.second.isolated && it.second.fingerprint != fingerprint;
  };
  if (isolated && IsolatesRequests() &&
      std::any_of(running_.begin(), running_.end(), excludes)) {
    return StartDecision::kWait;
  }
  running_.insert_or_assign(call, Execution{fingerprint, now, isolated});
  return StartDecision::kRun;
}

// A response shows that the process had not ended when the executions before it
// were lost, unless the response was on its way at that moment.
void SuspectGate::OnFinished(base::CallId call, ExecutionEnd end,
                             base::TimePoint now) {
  const auto it = running_.find(call);
  if (it == running_.end()) return;
  const Execution execution = it->second;
  running_.erase(it);
  if (end == ExecutionEnd::kNotRun) return;
  if (end == ExecutionEnd::kAnswered) return DropLostBefore(now - kCloseTime);
  if (lost_.size() >= kMaxLost) lost_.erase(lost_.begin());
  lost_.push_back({execution, now});
  const bool lost_connection = end == ExecutionEnd::kConnectionLost;
  if (lost_connection && !first_loss_) first_loss_ = now;
}

void SuspectGate::DropLostBefore(base::TimePoint limit) {
  const auto is_older = [limit](const LostExecution& it) {
    return it.ended < limit;
  };
  lost_.erase(std::remove_if(lost_.begin(), lost_.end(), is_older),
              lost_.end());
  if (first_loss_ && *first_loss_ < limit) first_loss_.reset();
}

void SuspectGate::OnProcessEnded(base::TimePoint now) {
  DropLostBefore(now - kLostMemory);
  process_ended_ = !lost_.empty();
}

// Returns true if an execution that began before the first loss of a connection
// is still in flight.
bool SuspectGate::HasSurvivor() const {
  return std::any_of(running_.begin(), running_.end(), [this](const auto& it) {
    return it.second.started < *first_loss_;
  });
}

// The end of a process closes every connection. While an execution that began
// before the first loss survives, only connections were lost.
std::optional<ObservedCrash> SuspectGate::TakeCrash(base::TimePoint now) {
  DropLostBefore(now - kLostMemory);
  if (lost_.empty()) {
    process_ended_ = false;
    return std::nullopt;
  }
  const bool all_closed =
      first_loss_ && now >= *first_loss_ + kCloseTime && !HasSurvivor();
  if (!all_closed && !process_ended_) return std::nullopt;
  return TakeLost();
}

ObservedCrash SuspectGate::TakeLost() {
  ObservedCrash crash;
  for (const LostExecution& it : lost_) {
    crash.ended_at = std::max(crash.ended_at, it.ended);
  }
  std::map<Fingerprint, CrashEntry> entries;
  for (const LostExecution& it : lost_) {
    const Execution& execution = it.execution;
    CrashEntry& entry = entries[execution.fingerprint];
    entry.fingerprint = execution.fingerprint;
    entry.run = std::max(entry.run, crash.ended_at - execution.started);
    entry.isolated = entry.isolated || execution.isolated;
  }
  lost_.clear();
  first_loss_.reset();
  process_ended_ = false;
  for (const auto& [fingerprint, entry] : entries) {
    crash.entries.push_back(entry);
  }
  return crash;
}

}  // namespace dogwoodrail::core::poison
