// Prints the cost of the attempt budget and the retry policy.
#include <chrono>
#include <cstdio>

#include "core/attempt/attempt_budget.h"
#include "core/attempt/retry_func.h"

namespace dogwoodrail::core::attempt {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kRounds = 1'000'000;
constexpr AttemptCount kMaxAttempts = 32;

double NsPerRound(Clock::time_point since) {
  const std::chrono::duration<double, std::nano> elapsed = Clock::now() - since;
  return elapsed.count() / kRounds;
}

// Measures one dispatch: spends an attempt, reserves a share for the next node
// and returns its unspent attempts.
double MeasureBudget() {
  const auto start = Clock::now();
  AttemptCount left = 0;
  for (int it = 0; it < kRounds; ++it) {
    AttemptBudget budget = AttemptBudget::FromRoute(kMaxAttempts, std::nullopt);
    budget.TrySpend();
    const AttemptShare share = budget.Reserve();
    AttemptBudget child = AttemptBudget::FromShare(share.count);
    child.TrySpend();
    budget.Return(share.id, child.Close());
    left += budget.remaining();
  }
  const double ns = NsPerRound(start);
  if (left == 0) std::printf("no attempts left\n");
  return ns;
}

// Measures a new request and the retry decision after it fails.
double MeasureRetry() {
  base::Random random(1);
  RetryBudget budget(10);
  RetryContext context;
  context.idempotent = true;
  context.reason = base::Reason::kOverloaded;
  context.attempts_left = 3;
  context.time_left = std::chrono::seconds{1};
  context.has_untried_server = true;
  int retries = 0;
  const auto start = Clock::now();
  for (int it = 0; it < kRounds; ++it) {
    const base::TimePoint now{std::chrono::microseconds{it * 10LL}};
    budget.OnRequest(now);
    retries += DecideRetry(context, {}, budget, now, random).retry ? 1 : 0;
  }
  const double ns = NsPerRound(start);
  std::printf("retries allowed at 10 %%: %.2f %%\n", 100.0 * retries / kRounds);
  return ns;
}

}  // namespace
}  // namespace dogwoodrail::core::attempt

int main() {
  namespace attempt = dogwoodrail::core::attempt;
  std::printf("dispatch with a share: %.0f ns\n", attempt::MeasureBudget());
  std::printf("retry decision: %.0f ns\n", attempt::MeasureRetry());
  std::printf("bytes: budget %zu, retry budget of a route %zu\n",
              sizeof(attempt::AttemptBudget), sizeof(attempt::RetryBudget));
  return 0;
}
