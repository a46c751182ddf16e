// Calls that wait for a token while the limit of their account changes.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <variant>

#include "core/rate/rate_limiter.h"

namespace dogwoodrail::core::rate {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kShards = 4;
constexpr CallId kCall{7};

AccountName Name() { return AccountName("acme"); }
TimePoint At(Duration since_start) { return TimePoint(since_start); }

// A limiter with one call that waits.
struct WaitingFixture {
  WaitingFixture() : limiter(RateSettings(), kShards) {
    limiter.OnConfig(Name(), {40, 8});
    const auto decision = limiter.Admit(Name(), kCall, At(seconds(1)));
    BOOST_TEST((decision.verdict == RateDecision::Verdict::kPending));
    (void)limiter.TakeActions();
  }

  // Returns the decision on the call, if there is one since the last time.
  std::optional<RateDecision> Decision() {
    std::optional<RateDecision> decision;
    for (const auto& it : limiter.TakeActions()) {
      const auto* resolved = std::get_if<ResolveCall>(&it);
      if (resolved != nullptr && resolved->call == kCall) {
        decision = resolved->decision;
      }
    }
    return decision;
  }

  RateLimiter limiter;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(limit_change, WaitingFixture)

// The call was refused as one with an unknown key.
BOOST_AUTO_TEST_CASE(lifted_limit_admits_the_waiting_call) {
  limiter.OnUnlimited(Name());
  const auto decision = Decision();
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->verdict == RateDecision::Verdict::kAdmitted));
  BOOST_TEST(limiter.pending_count() == 0U);
  const auto next = limiter.Admit(Name(), CallId(8), At(seconds(1)));
  BOOST_TEST((next.verdict == RateDecision::Verdict::kAdmitted));
}

BOOST_AUTO_TEST_CASE(removed_account_refuses_the_waiting_call) {
  limiter.OnRemoved(Name());
  const auto decision = Decision();
  BOOST_REQUIRE(decision.has_value());
  BOOST_TEST((decision->verdict == RateDecision::Verdict::kRefused));
  BOOST_TEST((decision->reason == base::Reason::kUnknownKey));
}

BOOST_AUTO_TEST_CASE(limit_that_comes_back_holds_again) {
  limiter.OnUnlimited(Name());
  limiter.OnConfig(Name(), {40, 8});
  const auto decision = limiter.Admit(Name(), CallId(8), At(seconds(2)));
  BOOST_TEST((decision.verdict == RateDecision::Verdict::kPending));
  limiter.Tick(At(seconds(2)));
  bool asked = false;
  for (const auto& it : limiter.TakeActions()) {
    asked = asked || std::holds_alternative<SendRateRequest>(it);
  }
  BOOST_TEST(asked);
}

// After a shortage, calls are refused at once for a while; a higher limit ends
// that.
BOOST_AUTO_TEST_CASE(raised_limit_asks_the_grantor_again) {
  limiter.Tick(At(seconds(1)));
  RateReply reply;
  reply.account = Name();
  reply.epoch = Epoch(1);
  reply.sequence = RequestSequence(1);
  reply.status = RateReplyStatus::kGranted;
  reply.retry_after = seconds(5);
  limiter.OnReply(reply, At(seconds(1)));
  BOOST_TEST((Decision()->reason == base::Reason::kRateExceeded));
  const auto refused = limiter.Admit(Name(), CallId(8), At(seconds(1)));
  BOOST_TEST((refused.verdict == RateDecision::Verdict::kRefused));
  limiter.OnConfig(Name(), {400, 80});
  const auto decision = limiter.Admit(Name(), CallId(9), At(seconds(1)));
  BOOST_TEST((decision.verdict == RateDecision::Verdict::kPending));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::rate
