#include "core/attempt/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace dogwoodrail::core::attempt {
namespace {

// Cost of a retry; a request earns retry_percent of these units.
constexpr std::int64_t kRetryCost = 100;

}  // namespace

RetryBudget::RetryBudget(std::uint32_t retry_percent,
                         std::uint32_t free_retries)
    : retry_percent_(retry_percent), free_retries_(free_retries) {}

void RetryBudget::SetPercent(std::uint32_t retry_percent) {
  retry_percent_ = retry_percent;
}

void RetryBudget::OnRequest(base::TimePoint now) {
  Advance(now);
  earned_.at(current_second_ % kWindowSeconds) += retry_percent_;
}

bool RetryBudget::TryRetry(base::TimePoint now) {
  if (retry_percent_ == 0) return false;
  Advance(now);
  const auto earned =
      std::accumulate(earned_.begin(), earned_.end(), std::int64_t{0});
  const auto spent =
      std::accumulate(spent_.begin(), spent_.end(), std::int64_t{0});
  const std::int64_t allowed = earned + free_retries_ * kRetryCost;
  if (spent + kRetryCost > allowed) return false;
  spent_.at(current_second_ % kWindowSeconds) += kRetryCost;
  return true;
}

// Seconds without a call are cleared one by one, at most once per slot.
void RetryBudget::Advance(base::TimePoint now) {
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  if (second <= current_second_) return;
  const std::int64_t steps = std::min(second - current_second_, kWindowSeconds);
  for (std::int64_t it = 0; it < steps; ++it) {
    const std::size_t slot = (second - it) % kWindowSeconds;
    earned_.at(slot) = 0;
    spent_.at(slot) = 0;
  }
  current_second_ = second;
}

}  // namespace dogwoodrail::core::attempt
