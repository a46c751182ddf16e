#include "core/chain/load_control.h"

#include <algorithm>
#include <cmath>

namespace dogwoodrail::core::chain {
namespace {

// Weight of the newest sample in the smoothed load.
constexpr double kNewest = 0.5;
// The share never falls below this, so that recovery is seen.
constexpr double kLeastAdmit = 0.05;
// Standing queue at the target, in square roots of the limit: a server with few
// slots needs more of a queue to stay busy.
constexpr double kTargetQueue = 0.5;

}  // namespace

void LoadControl::OnSample(const LoadSample& sample, base::TimePoint now) {
  if (now - stepped_at_ < settings_.step || sample.limit == 0) return;
  stepped_at_ = now;
  const auto limit = static_cast<double>(sample.limit);
  const auto refused = static_cast<double>(sample.refused - refused_);
  refused_ = sample.refused;
  const double load =
      (static_cast<double>(sample.in_flight + sample.queued) + refused) / limit;
  load_ += kNewest * (load - load_);
  const double target = 1.0 + kTargetQueue / std::sqrt(limit);
  if (load_ > target) {
    const double cut =
        std::min(settings_.max_cut, settings_.cut_gain * (load_ - target));
    admit_ = std::max(kLeastAdmit, admit_ * (1.0 - cut));
  } else {
    admit_ = std::min(1.0, admit_ + settings_.growth);
  }
}

}  // namespace dogwoodrail::core::chain
