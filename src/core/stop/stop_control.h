#ifndef DOGWOODRAIL_CORE_STOP_STOP_CONTROL_H_
#define DOGWOODRAIL_CORE_STOP_STOP_CONTROL_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/base/time_type.h"

namespace dogwoodrail::core::stop {

// Times of a planned stop.
struct StopSettings {
  // From the signal until other nodes are told; calls of theirs are served as
  // before.
  base::Duration leave_after{0};
  // Time after that for which calls of other nodes are still served.
  base::Duration serve_grace{0};
  // Time for callers on idle connections to learn of the stop.
  base::Duration idle_grace = std::chrono::milliseconds(500);
  // What is still under way after this time is ended.
  base::Duration deadline = std::chrono::seconds(30);
};

// What is still under way.
struct RemainingWork {
  std::size_t executions = 0;   // calls at the backend server
  std::size_t entry_calls = 0;  // requests of callers
  std::size_t connections = 0;  // of callers
  bool is_handed_over = true;   // false while other nodes take over state
};

// Next step of a planned stop.
enum class StopStep : std::uint8_t {
  kLeave,          // tell the other nodes
  kStopServing,    // refuse further calls of other nodes
  kStopAccepting,  // refuse further connections of callers
  kCloseIdle,      // close connections without a request
  kEnd,
};

// Decides the steps of a planned stop.
//
// The load it answers: the nodes of a fleet are restarted one after the other.
// A node that leaves at the signal takes its backend server out for the whole
// stop, although only callers need that long to learn of it; other nodes know
// within a fraction of a second. So the backend server goes on for them until
// the callers have left.
class StopControl {
 public:
  StopControl(const StopSettings& settings, base::TimePoint began)
      : settings_(settings), began_(began) {}

  // Returns the step that is due, each once and in order; asked again until
  // there is none.
  std::optional<StopStep> Next(const RemainingWork& sample,
                               base::TimePoint now);

 private:
  bool IsDue(const RemainingWork& sample, base::TimePoint now) const;

  StopSettings settings_;
  base::TimePoint began_;
  base::TimePoint accepting_stopped_at_;
  StopStep next_ = StopStep::kLeave;
  bool ended_ = false;
};

}  // namespace dogwoodrail::core::stop

#endif  // DOGWOODRAIL_CORE_STOP_STOP_CONTROL_H_
