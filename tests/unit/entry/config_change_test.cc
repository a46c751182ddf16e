// Requests that wait for the rate of their account while the configuration
// changes: the configuration in force decides on them.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/config/config_base.h"
#include "node/dialect_type.h"
#include "node/entry_base.h"

namespace dogwoodrail::node {
namespace {

using core::base::AccountName;
using core::base::Reason;
using core::base::ServiceName;
using core::base::TicketNumber;
using core::base::TimePoint;
using core::config::ConfigState;
using core::config::KeyHash;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;

TimePoint At(core::base::Duration since_start) {
  return TimePoint(since_start);
}

core::config::Route MakeRoute(const std::string& service) {
  core::config::Route route;
  route.name = core::base::RouteName("orders");
  route.path_prefix = "/orders";
  route.service = ServiceName(service);
  route.timeout = seconds(4);
  return route;
}

// Returns a configuration with one key, one account and one route.
ConfigState MakeConfig(std::uint64_t number, const std::string& account) {
  ConfigState state;
  state.SetNumber(TicketNumber(number));
  state.PutAccount({AccountName(account), 40, 8});
  state.PutKey({KeyHash("hash-of-key"), AccountName(account)});
  state.PutRoute(MakeRoute("lots"));
  return state;
}

// An entry system whose requests stop at the gates of the test.
struct EntryFixture {
  EntryFixture() : chooser({}, 1), entry({}, chooser, MakePorts()) {
    Use(MakeConfig(1, "acme"));
    entry.SetConfigFresh(true);
    entry.OnRequest(http::ExchangeId(1), MakeRequest(), At(seconds(1)));
  }

  static http::Request MakeRequest() {
    http::Request request;
    request.method = "POST";
    request.target = "/orders/1";
    request.headers = {
        {"Authorization", "Bearer key"},
        {"Idempotency-Key", "01890a5d-ac96-774b-bcce-b302099a8057"}};
    return request;
  }

  EntryPorts MakePorts() {
    EntryPorts ports;
    ports.dialect = MakeOwnDialect();
    ports.emit = [](const core::base::Event&) {};
    ports.make_request_id = [] { return core::base::RequestId("r-1"); };
    ports.hash_key = [](const std::string& key) {
      return KeyHash("hash-of-" + key);
    };
    ports.digest = [](std::string_view) { return core::poison::Fingerprint(); };
    ports.answer = [this](http::ExchangeId, http::Response response) {
      status = response.status;
    };
    ports.rate_gate = [this](const EntryCall& call, TimePoint) {
      waiting = call.index;
      rated.push_back(call.account.value());
    };
    ports.once_gate = [this](const EntryCall& call, TimePoint) {
      passed = call;
    };
    return ports;
  }

  void Use(ConfigState state) {
    entry.SetConfig(std::make_shared<const ConfigState>(std::move(state)));
  }
  // Reports the decision of the rate limiter on the waiting request.
  void Decide(bool admitted, Reason reason) {
    GateResult result;
    result.admitted = admitted;
    result.reason = reason;
    entry.OnGateResult(waiting, result, At(milliseconds(1200)));
  }

  std::optional<int> status;  // of the answer
  EntryIndex waiting;
  std::vector<std::string> rated;   // accounts whose rate was asked, in order
  std::optional<EntryCall> passed;  // the request behind the rate gate
  core::route::EndpointChooser chooser;
  EntrySystem entry;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(config_change, EntryFixture)

BOOST_AUTO_TEST_CASE(unchanged_configuration_keeps_the_decision) {
  Decide(false, Reason::kRateExceeded);
  BOOST_TEST((status == kTooManyRequests));
}

// A valid key was answered 401, because its account had no limit anymore.
BOOST_AUTO_TEST_CASE(key_that_the_configuration_has_is_not_refused) {
  Use(MakeConfig(2, "acme"));
  Decide(false, Reason::kUnknownKey);
  BOOST_TEST(!status.has_value());
  BOOST_TEST(rated == (std::vector<std::string>{"acme", "acme"}),
             boost::test_tools::per_element());
  Decide(true, Reason::kNone);
  BOOST_TEST(passed.has_value());
}

BOOST_AUTO_TEST_CASE(withdrawn_key_is_refused) {
  ConfigState state = MakeConfig(2, "acme");
  state.PutKey({KeyHash("hash-of-key"), AccountName("acme"),
                core::config::KeyState::kWithdrawn});
  Use(state);
  Decide(true, Reason::kNone);
  BOOST_TEST((status == kUnauthorized));
}

// The key belongs to another account, or its account has another name.
BOOST_AUTO_TEST_CASE(key_of_another_account_spends_that_accounts_rate) {
  Use(MakeConfig(2, "bolt"));
  Decide(true, Reason::kNone);
  BOOST_TEST(!passed.has_value());
  BOOST_TEST(rated == (std::vector<std::string>{"acme", "bolt"}),
             boost::test_tools::per_element());
  Decide(true, Reason::kNone);
  BOOST_REQUIRE(passed.has_value());
  BOOST_TEST(passed->account.value() == "bolt");
}

BOOST_AUTO_TEST_CASE(removed_route_is_not_found) {
  ConfigState state = MakeConfig(2, "acme");
  core::config::Route route = MakeRoute("lots");
  route.state = core::config::EntryState::kRemoved;
  state.PutRoute(route);
  Use(state);
  Decide(true, Reason::kNone);
  BOOST_TEST((status == kNotFound));
}

BOOST_AUTO_TEST_CASE(moved_route_goes_to_its_new_service) {
  ConfigState state = MakeConfig(2, "acme");
  state.PutRoute(MakeRoute("wages"));
  Use(state);
  Decide(true, Reason::kNone);
  BOOST_REQUIRE(passed.has_value());
  BOOST_TEST(passed->service.value() == "wages");
  BOOST_TEST((passed->deadline == At(seconds(5))));
}

// The split has no turn twice for one request.
BOOST_AUTO_TEST_CASE(service_of_a_split_is_kept_while_the_route_names_it) {
  ConfigState state = MakeConfig(2, "acme");
  core::config::Route route = MakeRoute("lots");
  route.split = {{ServiceName("wages"), 99}, {ServiceName("lots"), 1}};
  state.PutRoute(route);
  Use(state);
  Decide(true, Reason::kNone);
  BOOST_REQUIRE(passed.has_value());
  BOOST_TEST(passed->service.value() == "lots");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::node
