#include "core/admission/latency_window.h"

#include <algorithm>
#include <cmath>

namespace dogwoodrail::core::admission {

bool LatencyWindow::Count(std::size_t in_flight) {
  if (to_skip_ > 0) {
    --to_skip_;
    return false;
  }
  ++count_;
  in_flight_sum_ += static_cast<double>(in_flight);
  return true;
}

void LatencyWindow::AddLatency(base::Importance importance,
                               base::Duration latency) {
  const double micros = std::max(1.0, static_cast<double>(latency.count()));
  const double value = std::log(micros);
  ClassLatencies& it = classes_[static_cast<std::size_t>(importance)];
  it.count += 1;
  it.sum += value;
  it.sum_of_squares += value * value;
}

// The mean is taken over logarithms: a few very slow calls then have little
// influence, while a wait added to all calls shows clearly, because it
// multiplies the latency of the many short ones.
Inflation LatencyWindow::GetInflation(const BaselineLatencies& baseline) const {
  double count = 0;
  double log_ratio_sum = 0;
  double variance_sum = 0;
  for (std::size_t it = 0; it < classes_.size(); ++it) {
    const ClassLatencies& row = classes_[it];
    if (row.count == 0) continue;
    const double mean = row.sum / row.count;
    const double variance = row.sum_of_squares / row.count - mean * mean;
    count += row.count;
    if (baseline[it] > 0) {
      log_ratio_sum += row.count * (mean - std::log(baseline[it]));
    }
    variance_sum += row.count * std::max(0.0, variance);
  }
  if (count == 0) return {};
  const double deviation = std::sqrt(variance_sum / count);
  return {std::exp(log_ratio_sum / count), deviation / std::sqrt(count),
          deviation};
}

void LatencyWindow::InitializeMissing(BaselineLatencies* baseline) const {
  for (std::size_t it = 0; it < classes_.size(); ++it) {
    const ClassLatencies& row = classes_[it];
    if ((*baseline)[it] > 0 || row.count == 0) continue;
    (*baseline)[it] = std::exp(row.sum / row.count);
  }
}

double LatencyWindow::failed_share() const {
  return static_cast<double>(failed_) /
         std::max(1.0, static_cast<double>(count_));
}

double LatencyWindow::in_flight() const {
  return in_flight_sum_ / std::max(1.0, static_cast<double>(count_));
}

}  // namespace dogwoodrail::core::admission
