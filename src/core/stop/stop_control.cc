#include "core/stop/stop_control.h"

#include <algorithm>
#include <chrono>

namespace dogwoodrail::core::stop {
namespace {

// Time to wait for the first request on a connection that was accepted just
// before the listener closed.
constexpr base::Duration kFirstRequestTimeout = std::chrono::milliseconds(200);

// Time for other nodes to close their side of a link. A link that ends with the
// process may be reset before the last answers on it are delivered.
constexpr base::Duration kLinkCloseTimeout = std::chrono::milliseconds(200);

// Time before the deadline in which the last requests are answered and the
// answers are written.
constexpr base::Duration kFinalAnswerTime = std::chrono::milliseconds(250);

// Shortest time between the last answers and the end. The answers pass through
// the event loop and the sockets, also if the loop stalled until the deadline.
constexpr base::Duration kAnswerWriteTime = std::chrono::milliseconds(100);

// Returns true if a request is in progress.
bool HasRequests(const RemainingWork& work) {
  return work.executions > 0 || work.entry_calls > 0;
}

// Returns true if nothing needs the links. A response that is being written to
// a caller does not, but a request that is partly received may.
bool AreLinksDone(const RemainingWork& work) {
  return !HasRequests(work) && work.reading == 0 && work.is_handed_over &&
         work.unwritten_links == 0;
}

// Returns the time from the start until idle connections are closed.
base::Duration CloseIdleAfter(const StopSettings& settings) {
  return settings.idle_grace * 3 / 2;
}

// Returns the time from the start until callers are refused. They have had time
// to learn of the shutdown; the connections of the others are still open.
base::Duration RefuseCallersAfter(const StopSettings& settings) {
  return settings.idle_grace * 5 / 4;
}

}  // namespace

std::optional<StopStep> StopControl::Next(const RemainingWork& work,
                                          base::TimePoint now) {
  if (ended_) return std::nullopt;
  if (MustEndRequests(work, now)) {
    requests_ended_at_ = now;
    return StopStep::kEndRequests;
  }
  if (now >= LastEnd()) {
    ended_ = true;
    return StopStep::kEnd;
  }
  if (MustCloseLinks(work, now)) {
    links_closed_at_ = now;
    return StopStep::kCloseLinks;
  }
  if (next_ == StopStep::kCloseLinks && links_closed_at_) {
    next_ = StopStep::kEnd;
  }
  if (!IsNextDue(work, now)) {
    if (!MustRefuseCallers(now)) return std::nullopt;
    callers_refused_ = true;
    return StopStep::kRefuseCallers;
  }
  const StopStep step = next_;
  if (step == StopStep::kStopAccepting) accepting_stopped_at_ = now;
  if (step == StopStep::kCloseLinks) links_closed_at_ = now;
  if (step == StopStep::kEnd) {
    ended_ = true;
  } else {
    next_ = static_cast<StopStep>(static_cast<std::uint8_t>(step) + 1);
  }
  return step;
}

bool StopControl::MustEndRequests(const RemainingWork& work,
                                  base::TimePoint now) const {
  return !requests_ended_at_ && HasRequests(work) && now >= RequestsEndAt();
}

base::TimePoint StopControl::RequestsEndAt() const {
  const base::Duration reserve =
      std::min(kFinalAnswerTime, settings_.deadline / 4);
  return started_at_ + settings_.deadline - reserve;
}

base::TimePoint StopControl::LastEnd() const {
  const base::TimePoint deadline = started_at_ + settings_.deadline;
  if (!requests_ended_at_) return deadline;
  return std::max(deadline, *requests_ended_at_ + kAnswerWriteTime);
}

// A request that comes later may not end before the deadline.
bool StopControl::MustRefuseCallers(base::TimePoint now) const {
  const base::Duration after =
      std::min(RefuseCallersAfter(settings_), settings_.deadline / 2);
  return !callers_refused_ && now - started_at_ >= after;
}

// Connections of callers, or a peer that does not read, may last until the end.
// The links to the other nodes must not be cut for that.
bool StopControl::MustCloseLinks(const RemainingWork& work,
                                 base::TimePoint now) const {
  if (links_closed_at_ || HasRequests(work)) return false;
  return now >= LastEnd() - std::min(kLinkCloseTimeout, settings_.deadline / 4);
}

// Connections are still accepted while the backend server runs calls, because
// it may have to make calls of its own through this node to finish them.
bool StopControl::IsNextDue(const RemainingWork& work,
                            base::TimePoint now) const {
  const base::Duration elapsed = now - started_at_;
  switch (next_) {
    case StopStep::kLeave:
      return elapsed >= settings_.leave_after;
    case StopStep::kStopServing:
      return elapsed >= settings_.leave_after + settings_.serve_grace;
    case StopStep::kStopAccepting:
      return elapsed >= settings_.idle_grace && work.executions == 0;
    case StopStep::kCloseIdle:
      return elapsed >= CloseIdleAfter(settings_) &&
             now - accepting_stopped_at_ >=
                 std::min(kFirstRequestTimeout, settings_.idle_grace / 2);
    case StopStep::kCloseLinks:
      return AreLinksDone(work);
    case StopStep::kEndRequests:
    case StopStep::kRefuseCallers:
      return false;  // not in the order; see Next()
    case StopStep::kEnd:
      return !HasRequests(work) && work.connections == 0 &&
             (work.links == 0 || now - *links_closed_at_ >= kLinkCloseTimeout);
  }
  return false;
}

}  // namespace dogwoodrail::core::stop
