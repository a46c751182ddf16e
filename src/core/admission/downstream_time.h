#ifndef DOGWOODRAIL_CORE_ADMISSION_DOWNSTREAM_TIME_H_
#define DOGWOODRAIL_CORE_ADMISSION_DOWNSTREAM_TIME_H_

#include "core/base/time_type.h"

namespace dogwoodrail::core::admission {

// Measures the time in which an execution had calls to downstream services in
// flight. Overlapping calls are counted once.
class DownstreamTime {
 public:
  // Records the start of a call.
  void Begin(base::TimePoint now);
  // Records the end of a call.
  void End(bool answered, base::TimePoint now);

  // Time with at least one call in flight.
  base::Duration Total(base::TimePoint now) const;
  // Returns true if a call ended without an answer.
  bool failed() const { return failed_; }

 private:
  int in_flight_ = 0;
  bool failed_ = false;
  base::TimePoint busy_since_;
  base::Duration completed_{0};
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_DOWNSTREAM_TIME_H_
