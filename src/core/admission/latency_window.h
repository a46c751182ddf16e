#ifndef DOGWOODRAIL_CORE_ADMISSION_LATENCY_WINDOW_H_
#define DOGWOODRAIL_CORE_ADMISSION_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>

#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::admission {

// Latency (geometric mean) of each importance without queueing in the backend
// server, in microseconds; 0 if unknown.
using BaselineLatencies = std::array<double, base::kImportanceCount>;

// Ratio of latency to the baseline, with the standard error and the standard
// deviation of its logarithm.
struct Inflation {
  double ratio = 1;
  double standard_error = 0;
  double deviation = 0;
};

// Statistics of the executions that finished in one measurement window.
class LatencyWindow {
 public:
  LatencyWindow() = default;
  // Starts a window that skips the first to_skip executions.
  LatencyWindow(base::TimePoint start, std::size_t to_skip)
      : start_(start), to_skip_(to_skip) {}

  // Counts a finished execution; returns false if it is skipped.
  bool Count(std::size_t in_flight);
  // Adds the latency of a counted execution.
  void AddLatency(base::Importance importance, base::Duration latency);
  // Counts a failed execution.
  void AddFailure() { ++failed_; }
  // Records that the concurrency limit was reached.
  void SetSaturated() { saturated_ = true; }

  // Returns the latency inflation against the baseline.
  Inflation GetInflation(const BaselineLatencies& baseline) const;
  // Sets unknown baseline latencies to those of this window.
  void InitializeMissing(BaselineLatencies* baseline) const;

  // Start of the window.
  base::TimePoint start() const { return start_; }
  // Number of counted executions.
  std::size_t count() const { return count_; }
  // Returns true if the concurrency limit was reached.
  bool saturated() const { return saturated_; }
  // Fraction of the executions that failed.
  double failed_share() const;
  // Mean number of calls in flight, sampled when executions finish.
  double in_flight() const;

 private:
  // Sums over the logarithms of the latencies of one importance.
  struct ClassLatencies {
    double count = 0;
    double sum = 0;
    double sum_of_squares = 0;
  };

  base::TimePoint start_;
  std::size_t to_skip_ = 0;
  std::array<ClassLatencies, base::kImportanceCount> classes_;
  std::size_t count_ = 0;
  std::size_t failed_ = 0;
  double in_flight_sum_ = 0;
  bool saturated_ = false;
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_LATENCY_WINDOW_H_
