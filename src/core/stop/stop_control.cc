#include "core/stop/stop_control.h"

#include <algorithm>
#include <chrono>

namespace dogwoodrail::core::stop {
namespace {

// Time for the first request on a connection that was accepted last.
constexpr base::Duration kFirstRequestTime = std::chrono::milliseconds(200);

}  // namespace

std::optional<StopStep> StopControl::Next(const RemainingWork& sample,
                                          base::TimePoint now) {
  if (ended_) return std::nullopt;
  if (now - began_ >= settings_.deadline) {
    ended_ = true;
    return StopStep::kEnd;
  }
  if (!IsDue(sample, now)) return std::nullopt;
  const StopStep step = next_;
  if (step == StopStep::kStopAccepting) accepting_stopped_at_ = now;
  if (step == StopStep::kEnd) {
    ended_ = true;
  } else {
    next_ = static_cast<StopStep>(static_cast<std::uint8_t>(step) + 1);
  }
  return step;
}

// Callers are still accepted while the backend server works: it may need calls
// of its own to finish.
bool StopControl::IsDue(const RemainingWork& sample,
                        base::TimePoint now) const {
  const base::Duration passed = now - began_;
  const base::Duration idle_close = settings_.idle_grace * 3 / 2;
  switch (next_) {
    case StopStep::kLeave:
      return passed >= settings_.leave_after;
    case StopStep::kStopServing:
      return passed >= settings_.leave_after + settings_.serve_grace;
    case StopStep::kStopAccepting:
      return passed >= settings_.idle_grace && sample.executions == 0;
    case StopStep::kCloseIdle:
      return passed >= idle_close &&
             now - accepting_stopped_at_ >=
                 std::min(kFirstRequestTime, settings_.idle_grace / 2);
    case StopStep::kEnd:
      return sample.executions == 0 && sample.entry_calls == 0 &&
             sample.connections == 0 && sample.is_handed_over;
  }
  return false;
}

}  // namespace dogwoodrail::core::stop
