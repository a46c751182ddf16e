#ifndef DOGWOODRAIL_CORE_ATTEMPT_RETRY_BUDGET_H_
#define DOGWOODRAIL_CORE_ATTEMPT_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "core/base/time_type.h"

namespace dogwoodrail::core::attempt {

// Retry budget of one route at one node. Allows, over any ten seconds, retries
// of at most retry_percent of the requests that are not retries, and
// free_retries more so that a route with little traffic can retry at all.
class RetryBudget {
 public:
  explicit RetryBudget(std::uint32_t retry_percent,
                       std::uint32_t free_retries = kFreeRetries);

  // Changes the percentage for subsequent requests.
  void SetPercent(std::uint32_t retry_percent);

  // Counts a request that is not a retry.
  void OnRequest(base::TimePoint now);

  // Spends one retry; returns false if the budget is exhausted.
  bool TryRetry(base::TimePoint now);

 private:
  // Default of free_retries.
  static constexpr std::uint32_t kFreeRetries = 3;
  static constexpr std::int64_t kWindowSeconds = 10;

  // Clears the slots of the seconds that have left the window.
  void Advance(base::TimePoint now);

  std::uint32_t retry_percent_;
  std::uint32_t free_retries_;
  std::int64_t current_second_ = 0;
  // Hundredths of a retry earned and spent, by second.
  std::array<std::int64_t, kWindowSeconds> earned_{};
  std::array<std::int64_t, kWindowSeconds> spent_{};
};

}  // namespace dogwoodrail::core::attempt

#endif  // DOGWOODRAIL_CORE_ATTEMPT_RETRY_BUDGET_H_
