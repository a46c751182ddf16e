#ifndef DOGWOODRAIL_CORE_STOP_STOP_CONTROL_H_
#define DOGWOODRAIL_CORE_STOP_STOP_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/base/time_type.h"

namespace dogwoodrail::core::stop {

// Timing of a graceful shutdown.
struct StopSettings {
  // Time from the signal until the other nodes are notified. Their calls are
  // still served.
  base::Duration leave_after{0};
  // Time after the notification during which calls of other nodes are still
  // served.
  base::Duration serve_grace{0};
  // Time for callers with idle connections to learn of the shutdown.
  base::Duration idle_grace = std::chrono::milliseconds(500);
  // The process ends after this time. Shortly before, the requests that are
  // still in progress are ended with a final answer; if that comes late, the
  // process ends a short time after it.
  base::Duration deadline = std::chrono::seconds(30);
};

// Work that is still in progress.
struct RemainingWork {
  std::size_t executions = 0;       // calls running on the backend server
  std::size_t entry_calls = 0;      // requests received from callers
  std::size_t connections = 0;      // connections of callers
  std::size_t reading = 0;          // of these, may still bring a request
  bool is_handed_over = true;       // false while other nodes take over state
  std::size_t unwritten_links = 0;  // links with answers that are not written
  std::size_t links = 0;            // links to other nodes
};

// Steps of a graceful shutdown, in order.
enum class StopStep : std::uint8_t {
  kLeave,          // notify the other nodes
  kStopServing,    // refuse new calls from other nodes
  kStopAccepting,  // refuse new connections from callers
  kCloseIdle,      // close idle connections
  kCloseLinks,     // close the links once their frames are written, and refuse
                   // new requests; due out of order shortly before the end
  kEnd,
  kEndRequests,    // answer what is still in progress; due shortly before the
                   // deadline, whatever step is next
  kRefuseCallers,  // refuse new requests, except for the calls of executions
                   // that expire before kEndRequests is due; due with half of
                   // the time until the deadline left, or some time before idle
                   // connections are due to be closed if that is sooner,
                   // whatever step is next
};

// Schedules the steps of a graceful shutdown.
//
// During a rolling restart, a node that leaves right at the signal takes its
// backend server out of service for the whole shutdown. Only callers need that
// long to learn of the shutdown; other nodes know within a fraction of a
// second. The backend server therefore keeps serving calls of other nodes until
// the callers have left.
class StopControl {
 public:
  StopControl(const StopSettings& settings, base::TimePoint started_at)
      : settings_(settings), started_at_(started_at) {}

  // Returns the next step if it is due. Each step is returned once, in order,
  // except for kEndRequests and kRefuseCallers, which are returned only if they
  // are needed, and for kCloseLinks, which may come earlier.
  // Several steps may be due at the same time, so callers repeat the call until
  // it returns no step.
  std::optional<StopStep> Next(const RemainingWork& work, base::TimePoint now);

  // Returns the time at which kEndRequests is due.
  base::TimePoint RequestsEndAt() const;

 private:
  bool IsNextDue(const RemainingWork& work, base::TimePoint now) const;
  bool MustEndRequests(const RemainingWork& work, base::TimePoint now) const;
  // Returns the time of the end, whatever work is left.
  base::TimePoint LastEnd() const;
  // Returns true if new requests of callers must be refused now.
  bool MustRefuseCallers(base::TimePoint now) const;
  // Returns true if the links must be closed now to be closed before the end.
  bool MustCloseLinks(const RemainingWork& work, base::TimePoint now) const;

  StopSettings settings_;
  base::TimePoint started_at_;
  base::TimePoint accepting_stopped_at_;
  std::optional<base::TimePoint> links_closed_at_;
  StopStep next_ = StopStep::kLeave;
  std::optional<base::TimePoint> requests_ended_at_;
  bool callers_refused_ = false;
  bool ended_ = false;
};

}  // namespace dogwoodrail::core::stop

#endif  // DOGWOODRAIL_CORE_STOP_STOP_CONTROL_H_
