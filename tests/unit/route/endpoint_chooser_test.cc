#include "core/route/endpoint_chooser.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace dogwoodrail::core::route {
namespace {

using base::NodeAddress;
using base::Reason;
using base::ServiceName;
using std::chrono::milliseconds;
using std::chrono::seconds;

// An endpoint chooser whose calls are answered at once.
struct Fixture {
  explicit Fixture(const RouteSettings& settings = {}) : chooser(settings, 7) {}

  // Adds a ready endpoint and lets its ramp time pass.
  void Add(const std::string& address, const std::string& zone = "") {
    chooser.Upsert({lots, NodeAddress(address), base::ZoneName(zone)}, now);
    now += seconds(10);
  }

  // Chooses an endpoint and answers the call with the result of run.
  EndpointChoice Call(
      const std::function<CallOutcome(const NodeAddress&)>& run) {
    ChooseRequest request;
    request.service = lots;
    EndpointChoice chosen = chooser.Choose(request, now);
    if (chosen.reason != Reason::kNone) return chosen;
    ++counts[chosen.address.value()];
    chooser.OnSent(lots, chosen.address);
    CallOutcome outcome = run(chosen.address);
    outcome.service = lots;
    outcome.address = chosen.address;
    now += milliseconds(1);
    chooser.OnAnswered(outcome, now);
    return chosen;
  }

  ServiceName lots{"lots"};
  EndpointChooser chooser;
  base::TimePoint now{seconds(1)};
  std::map<std::string, int> counts;
};

// Outcome of a call to a healthy endpoint.
CallOutcome HealthyOutcome(const NodeAddress&) {
  CallOutcome outcome;
  outcome.latency = milliseconds(10);
  return outcome;
}

BOOST_AUTO_TEST_SUITE(endpoint_chooser)

BOOST_AUTO_TEST_CASE(own_zone_is_preferred) {
  RouteSettings settings;
  settings.own_zone = base::ZoneName("z1");
  Fixture it(settings);
  it.Add("1", "z1");
  it.Add("2", "z2");
  it.Add("3", "z3");
  for (int n = 0; n < 100; ++n) it.Call(HealthyOutcome);
  BOOST_TEST(it.counts["1"] == 100);
}

BOOST_AUTO_TEST_CASE(excluded_and_leaving_endpoints_are_not_chosen) {
  Fixture it;
  it.Add("1");
  it.Add("2");
  ChooseRequest request;
  request.service = it.lots;
  request.excluded = {NodeAddress("1")};
  BOOST_TEST(it.chooser.Choose(request, it.now).address.value() == "2");
  it.chooser.Upsert({it.lots, NodeAddress("2"), base::ZoneName(),
                     base::BackendServerState::kDraining},
                    it.now);
  const EndpointChoice none = it.chooser.Choose(request, it.now);
  BOOST_TEST((none.reason == Reason::kNoBackendServer));
}

BOOST_AUTO_TEST_CASE(failing_endpoint_is_ejected_and_restored) {
  Fixture it;
  for (const char* address : {"1", "2", "3", "4"}) it.Add(address);
  const auto run = [](const NodeAddress& address) {
    CallOutcome outcome = HealthyOutcome(address);
    if (address.value() == "1") outcome.result = CallResult::kFailed;
    return outcome;
  };
  for (int n = 0; n < 400; ++n) it.Call(run);
  BOOST_TEST(it.counts["1"] <= 5);
  it.now += seconds(2);
  it.chooser.Tick(it.now);
  for (int n = 0; n < 400; ++n) it.Call(HealthyOutcome);
  BOOST_TEST(it.counts["1"] > 20);
}

BOOST_AUTO_TEST_CASE(wrong_hint_does_not_attract_calls) {
  Fixture it;
  for (const char* address : {"1", "2", "3", "4"}) it.Add(address);
  const auto run = [](const NodeAddress& address) {
    CallOutcome outcome = HealthyOutcome(address);
    outcome.hint = LoadHint{10, 15, 0};
    if (address.value() == "1") {
      outcome.hint = LoadHint{0, 1'000'000, 0};
      outcome.latency = milliseconds(100);
    }
    return outcome;
  };
  for (int n = 0; n < 2000; ++n) it.Call(run);
  BOOST_TEST(it.counts["1"] < 500);
}

BOOST_AUTO_TEST_CASE(new_endpoint_is_ramped_up) {
  Fixture it;
  for (const char* address : {"1", "2", "3"}) it.Add(address);
  it.chooser.Upsert({it.lots, NodeAddress("4"), base::ZoneName(),
                     base::BackendServerState::kReady},
                    it.now);
  for (int n = 0; n < 500; ++n) it.Call(HealthyOutcome);
  BOOST_TEST(it.counts["4"] < 60);
  it.now += seconds(10);
  it.counts.clear();
  for (int n = 0; n < 1000; ++n) it.Call(HealthyOutcome);
  BOOST_TEST(it.counts["4"] > 150);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(call_throttle)

using base::AccountName;
using base::Importance;

// Makes a call each millisecond and returns how many were not throttled.
int SendCalls(CallThrottle* throttle, const std::string& account,
              Importance importance, int calls, bool accepted,
              base::TimePoint* now) {
  base::Random random(3);
  int sent = 0;
  for (int n = 0; n < calls; ++n) {
    *now += milliseconds(1);
    const AccountName name(account);
    if (!throttle->Allow(name, importance, &random, *now)) continue;
    ++sent;
    throttle->OnAnswered(name, importance, accepted, *now);
  }
  return sent;
}

BOOST_AUTO_TEST_CASE(refused_calls_are_throttled_by_account_and_importance) {
  CallThrottle throttle(ThrottleSettings{});
  base::TimePoint now(seconds(1));
  BOOST_TEST(SendCalls(&throttle, "big", Importance::kTracking, 1000, false,
                       &now) < 100);
  BOOST_TEST(SendCalls(&throttle, "big", Importance::kMoney, 100, true, &now) ==
             100);
  BOOST_TEST(SendCalls(&throttle, "small", Importance::kLookup, 100, true,
                       &now) == 100);
  BOOST_TEST(SendCalls(&throttle, "big", Importance::kLookup, 100, true, &now) <
             15);
}

BOOST_AUTO_TEST_CASE(throttling_ends_within_two_seconds_of_recovery) {
  CallThrottle throttle(ThrottleSettings{});
  base::TimePoint now(seconds(1));
  SendCalls(&throttle, "a", Importance::kLookup, 5000, false, &now);
  SendCalls(&throttle, "a", Importance::kLookup, 2000, true, &now);
  BOOST_TEST(SendCalls(&throttle, "a", Importance::kLookup, 1000, true, &now) >=
             990);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::route
