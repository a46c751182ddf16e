#include "core/chain/load_control.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace dogwoodrail::core::chain {
namespace {

// The share never falls below this, so that recovery is seen.
constexpr double kLeastAdmit = 0.05;
// Losses up to this part of the calls are no sign of overload.
constexpr double kToleratedLoss = 0.005;
// Largest change for losses, and the growth without them, in one step.
constexpr double kMostCorrection = 0.1;
constexpr double kCorrectionGrowth = 0.01;
constexpr double kLeastGivenPart = 0.1;
// Calls a second below which there is no demand worth a share.
constexpr double kNoDemand = 0.01;
// Part of the way to a new share that is gone in one step.
constexpr double kStepPart = 0.5;
// Calls in flight below this part of the limit leave no doubt of room.
constexpr double kIdlePart = 0.5;

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
  const double part = 1.0 - std::exp(-seconds / Seconds(settings_.memory));
  const auto average = [part](double& value, double newest) {
    value += part * (newest - value);
  };
  for (std::size_t it = 0; it < demand_.size(); ++it) {
    average(demand_[it], (sample.offered[it] - last_.offered[it]) / seconds);
  }
  average(finished_,
          static_cast<double>(sample.finished - last_.finished) / seconds);
  average(in_flight_, in_flight_seconds_ / seconds);
  Correct(static_cast<double>(sample.lost - last_.lost),
          static_cast<double>(sample.finished - last_.finished));
  const bool idle = sample.queued == 0 &&
                    in_flight_ < kIdlePart * static_cast<double>(sample.limit);
  const bool known = finished_ > 0 && in_flight_ > 0;
  AdmittedShares wanted = kAllAdmitted;
  if (idle || !known) {
    common_share_ = 1.0;
  } else {
    capacity_ = Capacity(sample);
    const double backlog =
        static_cast<double>(sample.queued) / Seconds(settings_.drain_time);
    wanted = Allot(capacity_, backlog);
  }
  for (std::size_t it = 0; it < admit_.size(); ++it) {
    admit_[it] += kStepPart * (wanted[it] - admit_[it]);
  }
}

// By Little's law the calls in flight over those finished a second are the time
// that one takes, and the limit over that time is the capacity.
double LoadControl::Capacity(const LoadSample& sample) const {
  const double full =
      static_cast<double>(sample.limit) * finished_ / in_flight_;
  return settings_.utilization * full;
}

void LoadControl::Correct(double lost, double finished) {
  const double part = lost / std::max(lost + finished, 1.0);
  if (part > kToleratedLoss) {
    given_part_ *= 1.0 - std::min(part, kMostCorrection);
  } else {
    given_part_ += kCorrectionGrowth;
  }
  given_part_ = std::clamp(given_part_, kLeastGivenPart, 1.0);
}

AdmittedShares LoadControl::Allot(double capacity, double backlog) {
  const double total = std::accumulate(demand_.begin(), demand_.end(), 0.0);
  common_share_ = std::clamp(
      (given_part_ * capacity - backlog) / std::max(total, kNoDemand),
      kLeastAdmit, 1.0);
  const double least = settings_.min_share * common_share_;
  const auto lowest = std::find_if(demand_.begin(), demand_.end(),
                                   [](double it) { return it > kNoDemand; }) -
                      demand_.begin();
  AdmittedShares shares = kAllAdmitted;
  for (std::size_t it = shares.size(); it-- > 0;) {
    if (demand_[it] <= kNoDemand) continue;
    const bool is_lowest = static_cast<std::ptrdiff_t>(it) == lowest;
    const double left =
        is_lowest ? std::max(0.0, given_part_ * capacity - backlog) : capacity;
    shares[it] = std::clamp(left / demand_[it], least, 1.0);
    capacity = std::max(0.0, capacity - shares[it] * demand_[it]);
  }
  return shares;
}

}  // namespace dogwoodrail::core::chain
