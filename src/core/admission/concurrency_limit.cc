#include "core/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace dogwoodrail::core::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Samples of a window: enough for the standard error wanted, within bounds.
constexpr std::size_t kMinWindowSamples = 24;
constexpr std::size_t kMaxWindowSamples = 400;
constexpr double kWantedError = 0.06;
constexpr double kWantedErrorOfProbe = 0.08;
constexpr double kWantedErrorOfGrowth = 0.15;
constexpr base::Duration kMaxWindowTime = seconds(5);

// Standard errors between the two answers of a verification.
constexpr double kVerifyErrors = 3;

// Executions to skip after the limit changed by more than a small step, as a
// multiple of those in flight.
constexpr double kSkippedTurns = 1.5;
constexpr double kSmallStep = 0.1;

// Standard errors by which a window must be above the bound to end early.
constexpr double kSureErrors = 4.5;

// Logarithm of latency against the best up to which the limit grows, and from
// which it is lowered; and what each standard deviation adds.
constexpr double kGrowBelow = 0.1;
constexpr double kGrowBelowSpread = 0.2;
constexpr double kLowerAbove = 0.22;
constexpr double kLowerAboveSpread = 0.2;

// Factors of the limit per step.
constexpr double kFastGrowthFactor = 1.6;
constexpr double kSteadyGrowthFactor = 1.06;
constexpr double kRecoveryGrowthFactor = 1.25;
constexpr double kMinLowerFactor = 0.5;
constexpr double kMaxLowerFactor = 0.85;
constexpr double kShedFactor = 0.95;
constexpr double kFailureFactor = 0.8;
constexpr double kProbeFactor = 0.75;

// A probe lowers the limit by no more than to kMinKept. Pauses between probes
// double if it stays above kSettledAbove or is nearly that of the last probe;
// otherwise they begin anew.
constexpr base::Duration kFirstProbePause = seconds(2);
constexpr double kMinKept = 0.8;
constexpr double kSettledAbove = 0.9;
constexpr double kSameLimit = 1.15;

// A limit below this share of the highest of late grows faster; the highest of
// late falls by kHighestDecay with each window.
constexpr double kRecoveryBelow = 0.75;
constexpr double kHighestDecay = 0.99;

// Share of failures in a window from which the limit is lowered.
constexpr double kMaxFailureShare = 0.5;

// Weight of a window at low load in the best latency.
constexpr double kLowLoadWeight = 0.1;

// Share of the calls in flight up to which a lowering is large enough to tell
// whether latency follows.
constexpr double kTellingShare = 0.65;

// Share of the calls in flight below which a probe says something.
constexpr double kProbedShare = 0.88;

// Growth beyond the reported slots from which the report is not believed.
constexpr double kReportFactor = 1.5;
constexpr double kReportCalls = 2;

// Times for which a limit that made the backend server shed is avoided, and for
// which a report that proved wrong is not believed.
constexpr base::Duration kShedHold = seconds(5);
constexpr base::Duration kDistrustTime = seconds(60);

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

base::Duration ConcurrencyLimit::BestLatency(
    base::Importance importance) const {
  const double micros = best_[static_cast<std::size_t>(importance)];
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
  // A wrong report must not leave less than a cold start has.
  const double wanted = std::max<double>(slots, settings_.initial_limit);
  if (now < report_distrusted_until_ || wanted >= limit_) return;
  if (phase_ == Phase::kFastGrowth || last_in_flight_ == 0) {
    SetLimit(wanted);
  } else if (phase_ == Phase::kSteady) {
    // A lowering that does not lower the latency is taken back.
    lowered_by_report_ = true;
    Lower(std::max(kMinLowerFactor, wanted / limit_), Phase::kVerify,
          last_ratio_, last_in_flight_);
  }
  BeginWindow(now, limit_);
}

void ConcurrencyLimit::Restart(base::TimePoint now) {
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
  const Inflation inflation = window_.GetInflation(best_);
  if (inflation.error <= WantedError()) return true;
  if (phase_ == Phase::kVerify || phase_ == Phase::kProbe) return false;
  const double log_ratio = std::log(inflation.ratio);
  if (log_ratio > LowerAbove(inflation) + kSureErrors * inflation.error) {
    return true;
  }
  // A step up is small and is taken with less certainty.
  return window_.saturated() && inflation.error <= kWantedErrorOfGrowth &&
         log_ratio < GrowBelow(inflation) - inflation.error;
}

// Where service times spread widely, a wait that is short against their mean
// already multiplies the time of the many short calls.
double ConcurrencyLimit::GrowBelow(const Inflation& inflation) {
  return kGrowBelow + kGrowBelowSpread * inflation.spread;
}

double ConcurrencyLimit::LowerAbove(const Inflation& inflation) {
  return kLowerAbove + kLowerAboveSpread * inflation.spread;
}

double ConcurrencyLimit::WantedError() const {
  switch (phase_) {
    case Phase::kFastGrowth:
      return kWantedErrorOfGrowth;
    case Phase::kVerify:
      return WantedErrorOfVerify();
    case Phase::kProbe:
      return kWantedErrorOfProbe;
    case Phase::kSteady:
      break;
  }
  return kWantedError;
}

// The two answers that a verification tells apart are far apart after a large
// lowering, and then few executions do.
double ConcurrencyLimit::WantedErrorOfVerify() const {
  const double left = limit_ / before_.limit;
  const double distance = std::log((1 + left) / 2 / left);
  return std::clamp(distance / kVerifyErrors, kWantedError,
                    kWantedErrorOfGrowth);
}

// Executions that end soon after the limit changed ran under the old one. They
// are skipped by count, not by when they began: of those that began later the
// short ones end first.
void ConcurrencyLimit::BeginWindow(base::TimePoint now, double in_flight) {
  window_ =
      LatencyWindow(now, static_cast<std::size_t>(kSkippedTurns * in_flight));
}

void ConcurrencyLimit::CloseWindow(base::TimePoint now) {
  const double in_flight = window_.in_flight();
  const Inflation inflation = window_.GetInflation(best_);
  const double ratio = inflation.ratio;
  window_.FillUnknown(&best_);
  const double limit_before = limit_;
  last_ratio_ = ratio;
  last_in_flight_ = in_flight;
  if (window_.failed_share() > kMaxFailureShare) {
    SetLimit(limit_ * kFailureFactor);
    phase_ = Phase::kSteady;
  } else if (phase_ == Phase::kProbe) {
    FinishProbe(inflation, in_flight);
  } else if (phase_ != Phase::kVerify ||
             !VerifyLowering(ratio, in_flight, now)) {
    Adjust(inflation, in_flight, now);
  }
  highest_limit_ = std::max(kHighestDecay * highest_limit_, limit_);
  const bool small_step = std::abs(limit_ / limit_before - 1) < kSmallStep;
  BeginWindow(now, small_step ? 0 : in_flight);
}

// Where calls queue in the backend server, latency is in proportion to the
// calls in flight. Latency that stays although fewer calls are in flight has
// another cause, such as a slow service behind the backend server; then the
// present latency is the best that can be had and the old limit was right.
bool ConcurrencyLimit::VerifyLowering(double ratio, double in_flight,
                                      base::TimePoint now) {
  const double in_flight_left = in_flight / std::max(1.0, before_.in_flight);
  const double ratio_left = ratio / before_.ratio;
  if (in_flight_left > kTellingShare) return false;
  if (ratio_left < (1 + in_flight_left) / 2) return false;
  phase_ = Phase::kSteady;
  ScaleBest(ratio);
  SetLimit(std::max(limit_, before_.limit * std::min(1.0, ratio_left)));
  if (lowered_by_report_) report_distrusted_until_ = now + kDistrustTime;
  return true;
}

// As in VerifyLowering, latency that follows the calls in flight shows that
// calls queue in the backend server even at the lowered limit.
void ConcurrencyLimit::FinishProbe(const Inflation& inflation,
                                   double in_flight) {
  phase_ = Phase::kSteady;
  const double in_flight_left = in_flight / std::max(1.0, before_.in_flight);
  if (in_flight_left > kProbedShare) {
    SetLimit(before_.limit);
    return;
  }
  const double ratio = inflation.ratio;
  const double ratio_left = ratio / before_.ratio;
  const bool flat = ratio_left > (1 + in_flight_left) / 2;
  const bool sure = std::abs(std::log(ratio)) > kSureErrors * inflation.error;
  if (flat || ratio < 1) ScaleBest(sure ? ratio : std::sqrt(ratio));
  const double kept = std::clamp(ratio_left + kWantedError, kMinKept, 1.0);
  SetLimit(before_.limit * kept);
  const double change = before_.limit / std::max(1.0, probed_limit_);
  const bool settled =
      kept > kSettledAbove || std::max(change, 1 / change) < kSameLimit;
  probed_limit_ = before_.limit;
  probe_pause_ = settled ? std::min(2 * probe_pause_, settings_.probe_interval)
                         : kFirstProbePause;
}

void ConcurrencyLimit::Adjust(const Inflation& inflation, double in_flight,
                              base::TimePoint now) {
  const double ratio = inflation.ratio;
  const double log_ratio = std::log(ratio);
  LearnBetter(inflation);
  if (!window_.saturated()) {
    if (phase_ == Phase::kVerify) phase_ = Phase::kSteady;
    if (in_flight < limit_ / 2) ScaleBest(1 + kLowLoadWeight * (ratio - 1));
    return;
  }
  if (log_ratio > LowerAbove(inflation)) {
    const double factor = std::clamp(std::exp(GrowBelow(inflation) - log_ratio),
                                     kMinLowerFactor, kMaxLowerFactor);
    Lower(factor, Phase::kVerify, ratio, in_flight);
  } else if (now - last_probe_ > probe_pause_) {
    last_probe_ = now;
    Lower(kProbeFactor, Phase::kProbe, ratio, in_flight);
  } else if (log_ratio < GrowBelow(inflation)) {
    if (phase_ == Phase::kVerify) phase_ = Phase::kSteady;
    Grow(now);
  } else {
    phase_ = Phase::kSteady;
  }
  if (phase_ != Phase::kVerify) lowered_by_report_ = false;
}

void ConcurrencyLimit::LearnBetter(const Inflation& inflation) {
  const double log_ratio = std::log(inflation.ratio);
  if (log_ratio < -kSureErrors * inflation.error) ScaleBest(inflation.ratio);
}

void ConcurrencyLimit::Grow(base::TimePoint now) {
  double limit = std::max(limit_ * GrowthFactor(), limit_ + 1);
  const double slots = reported_slots_.value_or(0);
  if (slots > 0 && limit > slots && now >= report_distrusted_until_) {
    // Beyond the reported slots it goes on in small steps.
    limit = std::max(slots, limit_ + 1);
    if (limit_ > kReportFactor * slots + kReportCalls) {
      report_distrusted_until_ = now + kDistrustTime;
    }
  }
  if (now < shed_until_) limit = std::min(limit, shed_ceiling_);
  SetLimit(std::max(limit, limit_));
}

double ConcurrencyLimit::GrowthFactor() const {
  if (phase_ == Phase::kFastGrowth) return kFastGrowthFactor;
  return limit_ < kRecoveryBelow * highest_limit_ ? kRecoveryGrowthFactor
                                                  : kSteadyGrowthFactor;
}

void ConcurrencyLimit::Lower(double factor, Phase phase, double ratio,
                             double in_flight) {
  // Lowerings in a row are verified together.
  const bool again = phase == Phase::kVerify && phase_ == Phase::kVerify;
  if (!again) before_ = Before{limit_, in_flight, ratio};
  phase_ = phase;
  SetLimit(limit_ * factor);
}

void ConcurrencyLimit::OnShed(std::size_t in_flight, base::TimePoint now) {
  if (!settings_.learn) return;
  const double below = static_cast<double>(in_flight) - 1;
  if (below >= limit_) return;  // it was lowered since that call began
  shed_ceiling_ = below;
  shed_until_ = now + kShedHold;
  phase_ = Phase::kSteady;
  SetLimit(std::max(below, limit_ * kShedFactor));
}

void ConcurrencyLimit::ScaleBest(double factor) {
  for (double& it : best_) it *= factor;
}

void ConcurrencyLimit::SetLimit(double limit) {
  limit_ = std::clamp(limit, settings_.min_limit, settings_.max_limit);
}

}  // namespace dogwoodrail::core::admission
