#include "core/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace dogwoodrail::core::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A window ends when it reaches the target standard error, within these bounds.
constexpr std::size_t kMinWindowSamples = 24;
constexpr std::size_t kMaxWindowSamples = 400;
constexpr double kTargetError = 0.06;
constexpr double kProbeTargetError = 0.08;
constexpr double kGrowthTargetError = 0.15;
constexpr base::Duration kMaxWindowTime = seconds(5);

// Distance between the two outcomes that a verification distinguishes, in
// standard errors.
constexpr double kVerifyErrorDistance = 3;

// Executions skipped after a change of the limit by more than kSmallStep, as a
// multiple of the calls in flight.
constexpr double kSkippedPerInFlight = 1.5;
constexpr double kSmallStep = 0.1;

// Standard errors beyond which a difference is significant.
constexpr double kSignificantErrors = 4.5;

// Log of latency over baseline below which the limit is increased and above
// which it is decreased, each with an addition per standard deviation of log
// latency.
constexpr double kIncreaseThreshold = 0.1;
constexpr double kIncreaseThresholdPerDeviation = 0.2;
constexpr double kDecreaseThreshold = 0.22;
constexpr double kDecreaseThresholdPerDeviation = 0.2;

// Factors by which the limit changes in one step.
constexpr double kFastGrowthFactor = 1.6;
constexpr double kSteadyGrowthFactor = 1.06;
constexpr double kRecoveryGrowthFactor = 1.25;
constexpr double kMinDecreaseFactor = 0.5;
constexpr double kMaxDecreaseFactor = 0.85;
constexpr double kShedFactor = 0.95;
constexpr double kFailureFactor = 0.8;
constexpr double kProbeFactor = 0.75;

// After a probe the limit returns to a fraction of its previous value, at least
// kMinRetainedFraction. The pause between probes doubles if the fraction is
// above kStableRetainedFraction or the previous limit is within
// kStableLimitRatio of that at the probe before; otherwise the pause returns to
// kFirstProbePause.
constexpr base::Duration kFirstProbePause = seconds(2);
constexpr double kMinRetainedFraction = 0.8;
constexpr double kStableRetainedFraction = 0.9;
constexpr double kStableLimitRatio = 1.15;

// Below this fraction of the recent maximum the limit recovers faster. The
// recent maximum decays by kRecentMaxDecay per window.
constexpr double kRecoveryThreshold = 0.75;
constexpr double kRecentMaxDecay = 0.99;

// Fraction of failed executions in a window above which the limit is decreased.
constexpr double kMaxFailureShare = 0.5;

// Weight of a window at low load in the baseline latency.
constexpr double kLowLoadWeight = 0.1;

// Ratio of calls in flight after and before a decrease, up to which the change
// is large enough to show whether latency follows.
constexpr double kMaxConclusiveShare = 0.65;

// Ratio of calls in flight during and before a probe, up to which the probe is
// conclusive.
constexpr double kMaxProbeShare = 0.88;

// The report is ignored once the limit has grown beyond the reported slots by
// this factor and this number of calls.
constexpr double kReportExcessFactor = 1.5;
constexpr double kReportExcessCalls = 2;

// How long the limit stays below the concurrency that caused a shed call, and
// how long a report that proved wrong is ignored.
constexpr base::Duration kShedHoldTime = seconds(5);
constexpr base::Duration kReportIgnoreTime = seconds(60);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const LimitSettings& settings)
    : settings_(settings),
      limit_(settings.initial_limit),
      probe_pause_(kFirstProbePause) {
  if (!settings_.learn) limit_ = settings_.max_limit;
}

std::size_t ConcurrencyLimit::value() const {
  return static_cast<std::size_t>(std::max(1.0, limit_));
}

base::Duration ConcurrencyLimit::BaselineLatency(
    base::Importance importance) const {
  const double micros = baseline_[static_cast<std::size_t>(importance)];
  return base::Duration(static_cast<base::Duration::rep>(micros));
}

void ConcurrencyLimit::OnFinished(const LimitSample& sample,
                                  base::TimePoint now) {
  if (sample.outcome.result == ExecutionResult::kShedByBackend) {
    OnShed(sample.in_flight, now);
    return;
  }
  if (!settings_.learn || !window_.Count(sample.in_flight)) return;
  if (sample.outcome.result == ExecutionResult::kFailed) {
    window_.AddFailure();
  } else {
    const ExecutionOutcome& outcome = sample.outcome;
    window_.AddLatency(sample.importance,
                       outcome.own_latency.value_or(outcome.latency));
  }
  if (IsWindowComplete(now)) CloseWindow(now);
}

void ConcurrencyLimit::OnLoadReport(std::uint32_t slots, base::TimePoint now) {
  if (slots == 0 || reported_slots_ == slots) return;
  if (!settings_.learn) {
    reported_slots_ = slots;
    limit_ = std::clamp(std::floor(slots * settings_.slot_share), 1.0,
                        settings_.max_limit);
    return;
  }
  reported_slots_ = slots;
  // A wrong report must not lower the limit below its initial value.
  const double wanted = std::max<double>(slots, settings_.initial_limit);
  if (now < ignore_report_until_ || wanted >= limit_) return;
  if (phase_ == Phase::kFastGrowth || last_in_flight_ == 0) {
    SetLimit(wanted);
  } else if (phase_ == Phase::kSteady) {
    // Reverted by VerifyDecrease if latency does not fall.
    decreased_by_report_ = true;
    Decrease(std::max(kMinDecreaseFactor, wanted / limit_), Phase::kVerify,
             last_ratio_, last_in_flight_);
  }
  BeginWindow(now, limit_);
}

void ConcurrencyLimit::Reset(base::TimePoint now) {
  const auto slots = reported_slots_;
  *this = ConcurrencyLimit(settings_);
  if (!settings_.learn) OnLoadReport(slots.value_or(0), now);
  last_probe_ = now;
  BeginWindow(now, limit_);
}

bool ConcurrencyLimit::IsWindowComplete(base::TimePoint now) const {
  if (window_.count() < kMinWindowSamples) return false;
  if (window_.count() >= kMaxWindowSamples) return true;
  if (now - window_.start() >= kMaxWindowTime) return true;
  const Inflation inflation = window_.GetInflation(baseline_);
  if (inflation.standard_error <= TargetError()) return true;
  if (phase_ == Phase::kVerify || phase_ == Phase::kProbe) return false;
  const double log_ratio = std::log(inflation.ratio);
  if (log_ratio > DecreaseThreshold(inflation) +
                      kSignificantErrors * inflation.standard_error) {
    return true;
  }
  // An increase is a small step, so a larger standard error is acceptable.
  return window_.saturated() &&
         inflation.standard_error <= kGrowthTargetError &&
         log_ratio < IncreaseThreshold(inflation) - inflation.standard_error;
}

// If service times vary widely, a wait that is short compared to their mean
// already multiplies the latency of the many short calls, so the thresholds
// grow with the deviation.
double ConcurrencyLimit::IncreaseThreshold(const Inflation& inflation) {
  return kIncreaseThreshold +
         kIncreaseThresholdPerDeviation * inflation.deviation;
}

double ConcurrencyLimit::DecreaseThreshold(const Inflation& inflation) {
  return kDecreaseThreshold +
         kDecreaseThresholdPerDeviation * inflation.deviation;
}

double ConcurrencyLimit::TargetError() const {
  switch (phase_) {
    case Phase::kFastGrowth:
      return kGrowthTargetError;
    case Phase::kVerify:
      return VerifyTargetError();
    case Phase::kProbe:
      return kProbeTargetError;
    case Phase::kSteady:
      break;
  }
  return kTargetError;
}

// After a large decrease the two possible outcomes differ more, so fewer
// executions are enough to distinguish them.
double ConcurrencyLimit::VerifyTargetError() const {
  const double limit_change = limit_ / before_decrease_.limit;
  const double distance = std::log((1 + limit_change) / 2 / limit_change);
  return std::clamp(distance / kVerifyErrorDistance, kTargetError,
                    kGrowthTargetError);
}

// Executions that end soon after a change of the limit ran partly under the old
// limit and are skipped. They are skipped by count and not by start time,
// because among executions started after the change the short ones end first
// and would bias the window.
void ConcurrencyLimit::BeginWindow(base::TimePoint now, double in_flight) {
  window_ = LatencyWindow(
      now, static_cast<std::size_t>(kSkippedPerInFlight * in_flight));
}

void ConcurrencyLimit::CloseWindow(base::TimePoint now) {
  const double in_flight = window_.in_flight();
  const Inflation inflation = window_.GetInflation(baseline_);
  const double ratio = inflation.ratio;
  window_.InitializeMissing(&baseline_);
  const double limit_before = limit_;
  last_ratio_ = ratio;
  last_in_flight_ = in_flight;
  if (window_.failed_share() > kMaxFailureShare) {
    SetLimit(limit_ * kFailureFactor);
    phase_ = Phase::kSteady;
  } else if (phase_ == Phase::kProbe) {
    FinishProbe(inflation, in_flight);
  } else if (phase_ != Phase::kVerify ||
             !VerifyDecrease(ratio, in_flight, now)) {
    Adjust(inflation, in_flight, now);
  }
  recent_max_limit_ = std::max(kRecentMaxDecay * recent_max_limit_, limit_);
  const bool is_small_step = std::abs(limit_ / limit_before - 1) < kSmallStep;
  BeginWindow(now, is_small_step ? 0 : in_flight);
}

// If calls queue in the backend server, latency is proportional to the calls in
// flight. If latency stays the same with fewer calls in flight, it has another
// cause, such as a slow downstream service; the current latency then becomes
// the baseline and the decrease is reverted.
bool ConcurrencyLimit::VerifyDecrease(double ratio, double in_flight,
                                      base::TimePoint now) {
  const double in_flight_change =
      in_flight / std::max(1.0, before_decrease_.in_flight);
  const double latency_change = ratio / before_decrease_.ratio;
  if (in_flight_change > kMaxConclusiveShare) return false;
  if (latency_change < (1 + in_flight_change) / 2) return false;
  phase_ = Phase::kSteady;
  ScaleBaseline(ratio);
  SetLimit(
      std::max(limit_, before_decrease_.limit * std::min(1.0, latency_change)));
  if (decreased_by_report_) ignore_report_until_ = now + kReportIgnoreTime;
  return true;
}

// As in VerifyDecrease, latency that falls with the calls in flight shows that
// calls queue in the backend server, here even at the decreased limit.
void ConcurrencyLimit::FinishProbe(const Inflation& inflation,
                                   double in_flight) {
  phase_ = Phase::kSteady;
  const double in_flight_change =
      in_flight / std::max(1.0, before_decrease_.in_flight);
  if (in_flight_change > kMaxProbeShare) {
    SetLimit(before_decrease_.limit);
    return;
  }
  const double ratio = inflation.ratio;
  const double latency_change = ratio / before_decrease_.ratio;
  const bool flat = latency_change > (1 + in_flight_change) / 2;
  const bool significant =
      std::abs(std::log(ratio)) > kSignificantErrors * inflation.standard_error;
  if (flat || ratio < 1) ScaleBaseline(significant ? ratio : std::sqrt(ratio));
  const double retained_fraction =
      std::clamp(latency_change + kTargetError, kMinRetainedFraction, 1.0);
  SetLimit(before_decrease_.limit * retained_fraction);
  const double change = before_decrease_.limit / std::max(1.0, probed_limit_);
  const bool stable = retained_fraction > kStableRetainedFraction ||
                      std::max(change, 1 / change) < kStableLimitRatio;
  probed_limit_ = before_decrease_.limit;
  probe_pause_ = stable ? std::min(2 * probe_pause_, settings_.probe_interval)
                        : kFirstProbePause;
}

void ConcurrencyLimit::Adjust(const Inflation& inflation, double in_flight,
                              base::TimePoint now) {
  const double ratio = inflation.ratio;
  const double log_ratio = std::log(ratio);
  LowerBaseline(inflation);
  if (!window_.saturated()) {
    if (phase_ == Phase::kVerify) phase_ = Phase::kSteady;
    if (in_flight < limit_ / 2) ScaleBaseline(1 + kLowLoadWeight * (ratio - 1));
    return;
  }
  if (log_ratio > DecreaseThreshold(inflation)) {
    const double factor =
        std::clamp(std::exp(IncreaseThreshold(inflation) - log_ratio),
                   kMinDecreaseFactor, kMaxDecreaseFactor);
    Decrease(factor, Phase::kVerify, ratio, in_flight);
  } else if (now - last_probe_ > probe_pause_) {
    last_probe_ = now;
    Decrease(kProbeFactor, Phase::kProbe, ratio, in_flight);
  } else if (log_ratio < IncreaseThreshold(inflation)) {
    if (phase_ == Phase::kVerify) phase_ = Phase::kSteady;
    Increase(now);
  } else {
    phase_ = Phase::kSteady;
  }
  if (phase_ != Phase::kVerify) decreased_by_report_ = false;
}

void ConcurrencyLimit::LowerBaseline(const Inflation& inflation) {
  const double log_ratio = std::log(inflation.ratio);
  if (log_ratio < -kSignificantErrors * inflation.standard_error) {
    ScaleBaseline(inflation.ratio);
  }
}

void ConcurrencyLimit::Increase(base::TimePoint now) {
  double limit = std::max(limit_ * GrowthFactor(), limit_ + 1);
  const double slots = reported_slots_.value_or(0);
  if (slots > 0 && limit > slots && now >= ignore_report_until_) {
    // Beyond the reported slots the limit grows by one call at a time.
    limit = std::max(slots, limit_ + 1);
    if (limit_ > kReportExcessFactor * slots + kReportExcessCalls) {
      ignore_report_until_ = now + kReportIgnoreTime;
    }
  }
  if (now < shed_until_) limit = std::min(limit, shed_ceiling_);
  SetLimit(std::max(limit, limit_));
}

double ConcurrencyLimit::GrowthFactor() const {
  if (phase_ == Phase::kFastGrowth) return kFastGrowthFactor;
  return limit_ < kRecoveryThreshold * recent_max_limit_ ? kRecoveryGrowthFactor
                                                         : kSteadyGrowthFactor;
}

void ConcurrencyLimit::Decrease(double factor, Phase phase, double ratio,
                                double in_flight) {
  // Consecutive decreases are verified against the state before the first.
  const bool consecutive = phase == Phase::kVerify && phase_ == Phase::kVerify;
  if (!consecutive) {
    before_decrease_ = StateBeforeDecrease{limit_, in_flight, ratio};
  }
  phase_ = phase;
  SetLimit(limit_ * factor);
}

void ConcurrencyLimit::OnShed(std::size_t in_flight, base::TimePoint now) {
  if (!settings_.learn) return;
  const double below = static_cast<double>(in_flight) - 1;
  if (below >= limit_) return;  // already decreased since that call started
  shed_ceiling_ = below;
  shed_until_ = now + kShedHoldTime;
  phase_ = Phase::kSteady;
  SetLimit(std::max(below, limit_ * kShedFactor));
}

void ConcurrencyLimit::ScaleBaseline(double factor) {
  for (double& it : baseline_) it *= factor;
}

void ConcurrencyLimit::SetLimit(double limit) {
  limit_ = std::clamp(limit, settings_.min_limit, settings_.max_limit);
}

}  // namespace dogwoodrail::core::admission
