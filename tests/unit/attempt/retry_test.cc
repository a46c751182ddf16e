#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "core/attempt/retry_func.h"

namespace dogwoodrail::core::attempt {
namespace {

using base::Ran;
using base::Reason;
using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint At(base::Duration since_start) {
  return base::TimePoint{since_start};
}

RetryContext RetryableContext() {
  RetryContext context;
  context.idempotent = true;
  context.ran = Ran::kUnknown;
  context.reason = Reason::kConnectionLost;
  context.attempts_left = 3;
  context.time_left = seconds{5};
  context.has_untried_server = true;
  return context;
}

bool IsRetried(const RetryContext& context) {
  base::Random random(1);
  RetryBudget budget(100);
  return DecideRetry(context, RetrySettings{}, budget, At(seconds{1}), random)
      .retry;
}

BOOST_AUTO_TEST_SUITE(retry)

struct SafetyCase {
  bool idempotent;
  Ran ran;
  Reason reason;
  bool retries;
};

std::ostream& operator<<(std::ostream& out, const SafetyCase& c) {
  return out << "idempotent=" << c.idempotent
             << " ran=" << static_cast<int>(c.ran)
             << " reason=" << static_cast<int>(c.reason);
}

constexpr SafetyCase kSafetyCases[] = {
    {true, Ran::kUnknown, Reason::kConnectionLost, true},
    {true, Ran::kNotRun, Reason::kOverloaded, true},
    {true, Ran::kRan, Reason::kBackendServerFailed, false},
    {true, Ran::kUnknown, Reason::kBackendServerFailed, false},
    {true, Ran::kNotRun, Reason::kBackendServerFailed, true},
    {false, Ran::kUnknown, Reason::kConnectionLost, false},
    {false, Ran::kUnknown, Reason::kBackendServerFailed, false},
    {false, Ran::kNotRun, Reason::kBackendServerLeaving, true},
    {false, Ran::kNotRun, Reason::kOverloaded, true},
    {false, Ran::kNotRun, Reason::kDuplicateInProgress, false},
    {true, Ran::kNotRun, Reason::kRateExceeded, false},
    {true, Ran::kNotRun, Reason::kPoisonRequest, false},
    {true, Ran::kNotRun, Reason::kCancelled, false},
    {true, Ran::kNotRun, Reason::kDeadlineExceeded, false},
};

BOOST_DATA_TEST_CASE(retries_only_where_safe_and_useful,
                     boost::unit_test::data::make(kSafetyCases), c) {
  RetryContext context = RetryableContext();
  context.idempotent = c.idempotent;
  context.ran = c.ran;
  context.reason = c.reason;
  BOOST_TEST(IsRetried(context) == c.retries);
}

BOOST_AUTO_TEST_CASE(needs_attempts_time_and_another_server) {
  RetryContext context = RetryableContext();
  context.attempts_left = 0;
  BOOST_TEST(!IsRetried(context));
  context = RetryableContext();
  context.time_left = base::Duration{0};
  BOOST_TEST(!IsRetried(context));
  context = RetryableContext();
  context.has_untried_server = false;
  BOOST_TEST(!IsRetried(context));
}

BOOST_AUTO_TEST_CASE(budget_limits_retries_to_a_share_of_requests) {
  RetryBudget budget(10);
  int retries = 0;
  int fresh = 0;
  for (int ms = 0; ms < 60'000; ms += 5) {
    budget.OnRequest(At(milliseconds{ms}));
    ++fresh;
    for (int it = 0; it < 3; ++it) {
      if (budget.TryRetry(At(milliseconds{ms}))) ++retries;
    }
  }
  constexpr int kWindows = 6;
  constexpr int kFreePerWindow = 3;
  BOOST_TEST(retries <= fresh / 10 + (kWindows + 1) * kFreePerWindow);
  BOOST_TEST(retries >= fresh / 10 - 1);
}

BOOST_AUTO_TEST_CASE(unused_budget_expires) {
  RetryBudget budget(50);
  for (int it = 0; it < 1000; ++it) budget.OnRequest(At(seconds{1}));
  int retries = 0;
  while (budget.TryRetry(At(seconds{61}))) ++retries;
  BOOST_TEST(retries <= 3);
}

BOOST_AUTO_TEST_CASE(zero_percent_allows_redirects_only) {
  base::Random random(1);
  RetryBudget budget(0);
  RetryContext context = RetryableContext();
  BOOST_TEST(!DecideRetry(context, {}, budget, At(seconds{1}), random).retry);
  context.reason = Reason::kBackendServerLeaving;
  context.ran = Ran::kNotRun;
  BOOST_TEST(DecideRetry(context, {}, budget, At(seconds{1}), random).retry);
}

BOOST_AUTO_TEST_CASE(backoff_has_full_jitter_under_its_cap) {
  base::Random random(7);
  RetryBudget budget(100);
  RetryContext context = RetryableContext();
  context.retries_made = 40;
  base::Duration lowest{seconds{1}};
  base::Duration highest{0};
  for (int it = 0; it < 1000; ++it) {
    const base::TimePoint now = At(seconds{it});
    budget.OnRequest(now);
    const RetryDecision decision =
        DecideRetry(context, {}, budget, now, random);
    BOOST_TEST_REQUIRE(decision.retry);
    lowest = std::min(lowest, decision.backoff);
    highest = std::max(highest, decision.backoff);
  }
  BOOST_TEST((lowest < milliseconds{20}));
  BOOST_TEST((highest <= milliseconds{500}));
  BOOST_TEST((highest > milliseconds{480}));
}

// An answer with an invalid status is proof that the backend server neither
// crashed nor is still at work.
BOOST_AUTO_TEST_CASE(idempotent_request_is_retried_after_an_invalid_answer) {
  RetryContext context = RetryableContext();
  context.reason = Reason::kBackendServerFailed;
  context.invalid_answer = true;
  BOOST_TEST(IsRetried(context));
  RetrySettings settings;
  settings.repeat_unknown = false;
  base::Random random(1);
  RetryBudget budget(100);
  BOOST_TEST(
      DecideRetry(context, settings, budget, At(seconds{1}), random).retry);
  context.idempotent = false;
  BOOST_TEST(!IsRetried(context));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::attempt
