#ifndef DOGWOODRAIL_CORE_ADMISSION_CONCURRENCY_LIMIT_H_
#define DOGWOODRAIL_CORE_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/admission/admission_type.h"
#include "core/admission/latency_window.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::admission {

// A finished execution as input of the limit.
struct LimitSample {
  base::Importance importance = base::Importance::kLookup;
  ExecutionOutcome outcome;
  std::size_t in_flight = 0;  // including this one
};

// Adaptive concurrency limit of a backend server. Adjusts the limit by the
// ratio of latency to a baseline, by shed calls and by failures.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(const LimitSettings& settings);

  // Returns the current limit, at least 1.
  std::size_t value() const;
  // Returns the baseline latency (geometric mean) of the importance, or zero if
  // unknown.
  base::Duration BaselineLatency(base::Importance importance) const;
  // Adds a finished execution and adjusts the limit at the end of a window.
  void OnFinished(const LimitSample& sample, base::TimePoint now);
  // Records that the limit has been reached.
  void OnSaturated() { window_.SetSaturated(); }
  // Uses the number of slots that the backend server reports as a hint.
  void OnLoadReport(std::uint32_t slots, base::TimePoint now);
  // Resets to the initial limit after a restart of the backend server.
  void Reset(base::TimePoint now);

 private:
  enum class Phase : std::uint8_t {
    kFastGrowth,  // no congestion seen yet
    kSteady,
    kVerify,  // limit was decreased; checks whether latency fell with it
    kProbe,   // limit is decreased to measure the baseline latency
  };

  // State before the last decrease of the limit.
  struct StateBeforeDecrease {
    double limit = 0;
    double in_flight = 0;
    double ratio = 1;
  };

  // Starts an empty window. Skips executions in proportion to in_flight, which
  // is 0 if the limit hardly changed.
  void BeginWindow(base::TimePoint now, double in_flight);
  // Returns true if the window has enough samples for a decision.
  bool IsWindowComplete(base::TimePoint now) const;
  // Standard error at which the window may end.
  double TargetError() const;
  double VerifyTargetError() const;
  // Evaluates the window and starts the next one.
  void CloseWindow(base::TimePoint now);
  // Evaluates a decrease. Returns true, and reverts it, if latency did not fall
  // with the calls in flight.
  bool VerifyDecrease(double ratio, double in_flight, base::TimePoint now);
  // Evaluates a probe of the baseline latency.
  void FinishProbe(const Inflation& inflation, double in_flight);
  // Adjusts the limit by the window's latency inflation.
  void Adjust(const Inflation& inflation, double in_flight,
              base::TimePoint now);
  // Lowers the baseline if the window's latency is significantly below it.
  void LowerBaseline(const Inflation& inflation);
  // Log inflation below which the limit is increased.
  static double IncreaseThreshold(const Inflation& inflation);
  // Log inflation above which the limit is decreased.
  static double DecreaseThreshold(const Inflation& inflation);
  // Returns the factor of the next increase.
  double GrowthFactor() const;
  // Increases the limit by one step.
  void Increase(base::TimePoint now);
  // Decreases the limit by a factor and enters the phase.
  void Decrease(double factor, Phase phase, double ratio, double in_flight);
  // Lowers the limit below the concurrency at which the backend server shed a
  // call.
  void OnShed(std::size_t in_flight, base::TimePoint now);
  // Multiplies all baseline latencies by a factor.
  void ScaleBaseline(double factor);
  // Sets the limit, clamped to the configured bounds.
  void SetLimit(double limit);

  LimitSettings settings_;
  double limit_;
  Phase phase_ = Phase::kFastGrowth;
  LatencyWindow window_;
  StateBeforeDecrease before_decrease_;
  BaselineLatencies baseline_{};
  base::TimePoint last_probe_;
  base::Duration probe_pause_;
  double recent_max_limit_ = 0;  // decaying maximum
  double probed_limit_ = 0;      // limit before the last probe
  // Values of the last window.
  double last_ratio_ = 1;
  double last_in_flight_ = 0;
  // Concurrency that the limit must not exceed after a shed call, and until
  // when.
  double shed_ceiling_ = 0;
  base::TimePoint shed_until_;
  std::optional<std::uint32_t> reported_slots_;
  base::TimePoint ignore_report_until_;
  bool decreased_by_report_ = false;
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_CONCURRENCY_LIMIT_H_
