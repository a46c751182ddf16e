#ifndef DOGWOODRAIL_CORE_BASE_TIME_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_TIME_TYPE_H_

#include <chrono>

namespace dogwoodrail::core::base {

using Duration = std::chrono::microseconds;

// Monotonic clock of the core. It has no now(); the current time is always
// passed in.
struct CoreClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock, Duration>;
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;
};

using TimePoint = CoreClock::time_point;

// Wall-clock time, used where times of different processes are compared: in the
// timeline and for idempotency keys.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_TIME_TYPE_H_
