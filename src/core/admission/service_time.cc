#include "core/admission/service_time.h"

#include <algorithm>
#include <cstddef>

namespace dogwoodrail::core::admission {
namespace {

// Weight of one execution in the mean, and relative step of the median.
constexpr double kMeanWeight = 0.05;
constexpr double kMedianStep = 0.03;

// Time without samples after which the estimates are halved.
constexpr base::Duration kStaleAfter = std::chrono::seconds(1);

// Converts microseconds to a duration.
base::Duration ToDuration(double micros) {
  return base::Duration(static_cast<base::Duration::rep>(micros));
}

}  // namespace

void ServiceTime::AddSample(base::Importance importance, base::Duration latency,
                            base::TimePoint now) {
  const double value = std::max(1.0, static_cast<double>(latency.count()));
  mean_ = mean_ == 0 ? value : mean_ + kMeanWeight * (value - mean_);
  double& median = medians_[static_cast<std::size_t>(importance)];
  if (median < 1) {
    median = value;
  } else {
    median *= value > median ? 1 + kMedianStep : 1 - kMedianStep;
  }
  last_sample_ = now;
}

void ServiceTime::Tick(base::TimePoint now) {
  if (now - last_sample_ < kStaleAfter) return;
  last_sample_ = now;
  mean_ /= 2;
  for (double& it : medians_) it /= 2;
}

base::Duration ServiceTime::Mean() const { return ToDuration(mean_); }

base::Duration ServiceTime::Median(base::Importance importance) const {
  return ToDuration(medians_[static_cast<std::size_t>(importance)]);
}

}  // namespace dogwoodrail::core::admission
