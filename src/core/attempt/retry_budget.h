#ifndef DOGWOODRAIL_CORE_ATTEMPT_RETRY_BUDGET_H_
#define DOGWOODRAIL_CORE_ATTEMPT_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "core/base/time_type.h"

namespace dogwoodrail::core::attempt {

// Retries of one route at one node, as a share of its fresh requests. Over any
// ten seconds at most `retry_percent` of the fresh requests, and a few more so
// that a route with little traffic can retry at all.
class RetryBudget {
 public:
  explicit RetryBudget(std::uint32_t retry_percent,
                       std::uint32_t free_retries = kFreeRetries);

  // Changes the share, for requests from now on.
  void SetPercent(std::uint32_t retry_percent);

  // Counts a fresh request.
  void OnRequest(base::TimePoint now);

  // Takes one retry; false if the budget is used up.
  bool TryRetry(base::TimePoint now);

 private:
  // Retries in a window that need no fresh requests.
  static constexpr std::uint32_t kFreeRetries = 3;
  static constexpr std::int64_t kSlots = 10;

  // Drops the slots that have left the window.
  void Advance(base::TimePoint now);

  std::uint32_t retry_percent_;
  std::uint32_t free_retries_;
  std::int64_t current_second_ = 0;
  // Hundredths of a retry: earned minus spent, by second.
  std::array<std::int64_t, kSlots> earned_{};
  std::array<std::int64_t, kSlots> spent_{};
};

}  // namespace dogwoodrail::core::attempt

#endif  // DOGWOODRAIL_CORE_ATTEMPT_RETRY_BUDGET_H_
