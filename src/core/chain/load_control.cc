#include "core/chain/load_control.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace dogwoodrail::core::chain {
namespace {

// Lower bound of the common share; some calls must get through for a recovery
// to be noticed.
constexpr double kMinAdmittedShare = 0.05;
// A share of failed calls up to this is not taken as a sign of overload.
constexpr double kToleratedFailureRatio = 0.005;
// Largest relative decrease of the budget factor in a step with failed calls,
// and its increase in a step without.
constexpr double kMaxBudgetCut = 0.1;
constexpr double kBudgetGrowth = 0.03;
constexpr double kMinBudgetFactor = 0.1;
// Demand in calls per second below which an importance is ignored.
constexpr double kMinDemand = 0.01;
// Weight of the new shares in each step of the exponential smoothing.
constexpr double kSmoothingFactor = 0.5;
// Below this ratio of calls in flight to the limit, the server has spare
// capacity.
constexpr double kIdleUtilization = 0.5;

double Seconds(base::Duration time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

LoadControl::LoadControl(const ChainSettings& settings) : settings_(settings) {}

void LoadControl::OnSample(const LoadSample& sample, base::TimePoint now) {
  if (!started_) {
    started_ = true;
    last_ = sample;
    sampled_at_ = now;
    stepped_at_ = now;
    return;
  }
  in_flight_seconds_ +=
      static_cast<double>(sample.in_flight) * Seconds(now - sampled_at_);
  sampled_at_ = now;
  if (now - stepped_at_ < settings_.step) return;
  Step(sample, Seconds(now - stepped_at_));
  stepped_at_ = now;
  in_flight_seconds_ = 0;
  last_ = sample;
}

void LoadControl::Step(const LoadSample& sample, double seconds) {
  const double weight = 1.0 - std::exp(-seconds / Seconds(settings_.memory));
  const auto average = [weight](double& value, double newest) {
    value += weight * (newest - value);
  };
  for (std::size_t it = 0; it < demand_.size(); ++it) {
    average(demand_[it], (sample.offered[it] - last_.offered[it]) / seconds);
  }
  average(finished_,
          static_cast<double>(sample.finished - last_.finished) / seconds);
  average(in_flight_, in_flight_seconds_ / seconds);
  UpdateBudgetFactor(
      static_cast<double>(sample.repeat_refusals - last_.repeat_refusals),
      static_cast<double>(sample.finished - last_.finished));
  const bool idle =
      sample.queued == 0 &&
      in_flight_ < kIdleUtilization * static_cast<double>(sample.limit);
  const bool known = finished_ > 0 && in_flight_ > 0;
  AdmittedShares wanted = kAllAdmitted;
  if (idle || !known) {
    common_share_ = 1.0;
  } else {
    capacity_ = Capacity(sample);
    const double backlog =
        static_cast<double>(sample.queued) / Seconds(settings_.drain_time);
    wanted = Allocate(capacity_, backlog);
  }
  for (std::size_t it = 0; it < admit_.size(); ++it) {
    admit_[it] += kSmoothingFactor * (wanted[it] - admit_[it]);
  }
}

// By Little's law the mean call time is the number of calls in flight divided
// by the completion rate; the capacity is the limit divided by that time.
double LoadControl::Capacity(const LoadSample& sample) const {
  const double full =
      static_cast<double>(sample.limit) * finished_ / in_flight_;
  return settings_.utilization * full;
}

void LoadControl::UpdateBudgetFactor(double failed, double finished) {
  const double failure_ratio = failed / std::max(failed + finished, 1.0);
  if (failure_ratio > kToleratedFailureRatio) {
    budget_factor_ *= 1.0 - std::min(failure_ratio, kMaxBudgetCut);
  } else {
    budget_factor_ += kBudgetGrowth;
  }
  budget_factor_ = std::clamp(budget_factor_, kMinBudgetFactor, 1.0);
}

AdmittedShares LoadControl::Allocate(double capacity, double backlog) {
  const double total = std::accumulate(demand_.begin(), demand_.end(), 0.0);
  common_share_ = std::clamp(
      (budget_factor_ * capacity - backlog) / std::max(total, kMinDemand),
      kMinAdmittedShare, 1.0);
  const double min_share = settings_.min_share * common_share_;
  const auto lowest = std::find_if(demand_.begin(), demand_.end(),
                                   [](double it) { return it > kMinDemand; }) -
                      demand_.begin();
  AdmittedShares shares = kAllAdmitted;
  for (std::size_t it = shares.size(); it-- > 0;) {
    if (demand_[it] <= kMinDemand) continue;
    const bool is_lowest = static_cast<std::ptrdiff_t>(it) == lowest;
    const double left = is_lowest
                            ? std::max(0.0, budget_factor_ * capacity - backlog)
                            : capacity;
    shares[it] = std::clamp(left / demand_[it], min_share, 1.0);
    capacity = std::max(0.0, capacity - shares[it] * demand_[it]);
  }
  return shares;
}

}  // namespace dogwoodrail::core::chain
