#ifndef DOGWOODRAIL_CORE_ADMISSION_SERVICE_TIME_H_
#define DOGWOODRAIL_CORE_ADMISSION_SERVICE_TIME_H_

#include <array>

#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::admission {

// Moving estimates of a backend server's execution times. They decay while no
// execution finishes, so that an outdated estimate does not persist.
class ServiceTime {
 public:
  // Updates the estimates with one execution.
  void AddSample(base::Importance importance, base::Duration latency,
                 base::TimePoint now);
  // Halves the estimates if nothing finished for a while.
  void Tick(base::TimePoint now);
  // Moving mean over all importances, or zero if unknown.
  base::Duration Mean() const;
  // Moving median of the importance, or zero if unknown.
  base::Duration Median(base::Importance importance) const;

 private:
  double mean_ = 0;  // microseconds
  std::array<double, base::kImportanceCount> medians_{};
  base::TimePoint last_sample_;
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_SERVICE_TIME_H_
