#include "core/admission/admission_control.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace dogwoodrail::core::admission {
namespace {

using base::Importance;
using base::Reason;
using std::chrono::milliseconds;
using std::chrono::seconds;

// An admission control and its simulated time.
struct Fixture {
  // Settings with a fixed concurrency limit.
  static AdmissionSettings WithLimit(double limit) {
    AdmissionSettings settings;
    settings.limit.learn = false;
    settings.limit.max_limit = limit;
    return settings;
  }

  explicit Fixture(const AdmissionSettings& settings) : control(settings, 1) {
    control.SetState(base::BackendServerState::kReady, now);
  }

  // Offers a call of the account.
  AdmissionDecision Offer(std::uint64_t call, const std::string& account,
                          Importance importance, bool nested = false) {
    return control.Offer({base::CallId(call), base::AccountName(account),
                          importance, nested, now + seconds(10)},
                         now);
  }

  // Finishes a call and returns the calls started in its place.
  std::vector<std::uint64_t> Finish(std::uint64_t call) {
    now += milliseconds(10);
    std::vector<std::uint64_t> started;
    for (const AdmissionAction& it :
         control.Finish(base::CallId(call),
                        {milliseconds(10), ExecutionResult::kOk}, now)) {
      if (it.kind == AdmissionAction::Kind::kRun) {
        started.push_back(it.call.value());
      }
    }
    return started;
  }

  AdmissionControl control;
  base::TimePoint now{seconds(1)};
};

using Calls = std::vector<std::uint64_t>;

BOOST_AUTO_TEST_SUITE(admission_control)

BOOST_AUTO_TEST_CASE(
    more_important_calls_run_first_and_nested_before_new_ones) {
  Fixture it(Fixture::WithLimit(1));
  BOOST_TEST(
      (it.Offer(1, "a", Importance::kLookup).result == AdmissionResult::kRun));
  it.Offer(2, "a", Importance::kLookup);
  it.Offer(3, "b", Importance::kMoney);
  it.Offer(4, "b", Importance::kMoney, /*nested=*/true);
  it.Offer(5, "c", Importance::kTracking);
  BOOST_TEST(it.Finish(1) == Calls{4});
  BOOST_TEST(it.Finish(4) == Calls{3});
  BOOST_TEST(it.Finish(3) == Calls{5});
  BOOST_TEST(it.Finish(5) == Calls{2});
}

BOOST_AUTO_TEST_CASE(full_queue_evicts_the_less_important) {
  AdmissionSettings settings = Fixture::WithLimit(1);
  settings.max_queued = 2;
  Fixture it(settings);
  it.Offer(1, "a", Importance::kMoney);
  it.Offer(2, "a", Importance::kLookup);
  it.Offer(3, "a", Importance::kLookup);
  const AdmissionDecision lookup = it.Offer(4, "a", Importance::kLookup);
  BOOST_TEST((lookup.result == AdmissionResult::kRefused));
  BOOST_TEST((lookup.reason == Reason::kQueueFull));
  const AdmissionDecision money = it.Offer(5, "a", Importance::kMoney);
  BOOST_TEST((money.result == AdmissionResult::kQueued));
  BOOST_TEST_REQUIRE(money.actions.size() == 1U);
  BOOST_TEST(money.actions[0].call.value() == 3U);
  BOOST_TEST((money.actions[0].kind == AdmissionAction::Kind::kRefuse));
}

BOOST_AUTO_TEST_CASE(accounts_are_served_in_alternation) {
  Fixture it(Fixture::WithLimit(1));
  it.Offer(1, "big", Importance::kLookup);
  for (std::uint64_t call = 2; call < 10; ++call) {
    it.Offer(call, "big", Importance::kLookup);
  }
  it.Offer(20, "small", Importance::kLookup);
  it.Offer(21, "small", Importance::kLookup);
  BOOST_TEST(it.Finish(1) == Calls{20});
  BOOST_TEST(it.Finish(20) == Calls{2});
  BOOST_TEST(it.Finish(2) == Calls{21});
}

BOOST_AUTO_TEST_CASE(
    call_that_cannot_finish_in_time_is_refused_before_it_runs) {
  Fixture it(Fixture::WithLimit(2));
  it.Offer(1, "a", Importance::kMoney);
  it.Offer(2, "a", Importance::kMoney);
  it.Finish(1);
  const AdmissionDecision decision =
      it.control.Offer({base::CallId(3), base::AccountName("a"),
                        Importance::kMoney, false, it.now + milliseconds(5)},
                       it.now);
  BOOST_TEST((decision.reason == Reason::kDeadlineTooShort));
}

BOOST_AUTO_TEST_CASE(queued_call_times_out_or_is_cancelled) {
  Fixture it(Fixture::WithLimit(1));
  it.Offer(1, "a", Importance::kMoney);
  it.Offer(2, "a", Importance::kMoney);
  it.Offer(3, "a", Importance::kMoney);
  BOOST_TEST(it.control.Cancel(base::CallId(2), it.now).empty());
  it.now += milliseconds(2100);  // beyond the maximum wait of kMoney
  const AdmissionActions actions = it.control.Tick(it.now);
  BOOST_TEST_REQUIRE(actions.size() == 1U);
  BOOST_TEST(actions[0].call.value() == 3U);
  BOOST_TEST((actions[0].reason == Reason::kOverloaded));
  BOOST_TEST(it.Finish(1).empty());
}

BOOST_AUTO_TEST_CASE(draining_backend_server_refuses_new_calls) {
  Fixture it(Fixture::WithLimit(1));
  it.Offer(1, "a", Importance::kMoney);
  it.Offer(2, "a", Importance::kMoney);
  it.control.SetState(base::BackendServerState::kDraining, it.now);
  BOOST_TEST((it.Offer(3, "a", Importance::kMoney).reason ==
              Reason::kBackendServerLeaving));
  BOOST_TEST(it.Finish(1) == Calls{2});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::admission
