#ifndef DOGWOODRAIL_TESTS_UNIT_COMMON_VIRTUAL_TIME_H_
#define DOGWOODRAIL_TESTS_UNIT_COMMON_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/base/time_type.h"

namespace dogwoodrail::test {

using core::base::Duration;
using core::base::TimePoint;

// Event queue with a simulated clock.
class VirtualTime {
 public:
  // Returns the current simulated time.
  TimePoint now() const { return now_; }

  // Schedules `fn` after a delay.
  void After(Duration delay, std::function<void()> fn) {
    events_.push(Event{now_ + delay, ++count_, std::move(fn)});
  }

  // Runs all events due up to `end`, and `check` after each of them.
  void RunUntil(TimePoint end, const std::function<void()>& check) {
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.fn();
      check();
    }
    now_ = end;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> fn;

    friend bool operator<(const Event& a, const Event& b) {
      return a.at != b.at ? a.at > b.at : a.order > b.order;
    }
  };

  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t count_ = 0;
  std::priority_queue<Event> events_;
};

// Clock of one process, with its own offset and a rate within the allowed
// drift.
struct DriftingClock {
  Duration offset{0};
  double rate = 1.0;

  // Returns the time on this clock at simulated time `now`.
  TimePoint At(TimePoint now) const {
    const auto micros = static_cast<double>(now.time_since_epoch().count());
    return TimePoint(Duration(static_cast<std::int64_t>(micros * rate))) +
           offset;
  }
};

}  // namespace dogwoodrail::test

#endif  // DOGWOODRAIL_TESTS_UNIT_COMMON_VIRTUAL_TIME_H_
