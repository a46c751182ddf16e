#include "core/admission/downstream_time.h"

namespace dogwoodrail::core::admission {

void DownstreamTime::Begin(base::TimePoint now) {
  if (in_flight_++ == 0) busy_since_ = now;
}

void DownstreamTime::End(bool answered, base::TimePoint now) {
  if (!answered) failed_ = true;
  if (in_flight_ > 0 && --in_flight_ == 0) completed_ += now - busy_since_;
}

base::Duration DownstreamTime::Total(base::TimePoint now) const {
  return in_flight_ > 0 ? completed_ + (now - busy_since_) : completed_;
}

}  // namespace dogwoodrail::core::admission
