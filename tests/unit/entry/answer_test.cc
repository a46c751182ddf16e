// Answers of serving nodes.
#include <boost/test/unit_test.hpp>
#include <chrono>
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

using core::base::CallId;
using core::base::NodeAddress;
using core::base::Ran;
using core::base::ServiceName;
using core::base::TimePoint;
using std::chrono::seconds;

constexpr int kBadGateway = 502;

TimePoint At(core::base::Duration since_start) {
  return TimePoint(since_start);
}

// An entry system with one request on its way to a serving node.
struct SentFixture {
  SentFixture() : chooser({}, 1), entry({}, chooser, MakePorts()) {
    core::config::Route route;
    route.name = core::base::RouteName("orders");
    route.path_prefix = "/orders";
    route.service = ServiceName("lots");
    route.timeout = seconds(4);
    route.open_to_all = true;
    core::config::ConfigState state;
    state.PutRoute(route);
    entry.SetConfig(
        std::make_shared<const core::config::ConfigState>(std::move(state)));
    core::route::EndpointInfo endpoint;
    endpoint.service = ServiceName("lots");
    endpoint.address = NodeAddress("10.0.0.1:7000");
    endpoint.state = core::base::BackendServerState::kReady;
    chooser.Upsert(endpoint, At(seconds(1)));
    http::Request request;
    request.method = "POST";
    request.target = "/orders/1";
    entry.OnRequest(http::ExchangeId(1), std::move(request), At(seconds(1)));
    BOOST_REQUIRE(sent.has_value());
  }

  EntryPorts MakePorts() {
    EntryPorts ports;
    ports.dialect = MakeOwnDialect();
    ports.emit = [](const core::base::Event&) {};
    ports.make_request_id = [] { return core::base::RequestId("r-1"); };
    ports.digest = [](std::string_view) { return core::poison::Fingerprint(); };
    ports.answer = [this](http::ExchangeId, http::Response response) {
      status = response.status;
    };
    ports.send = [this](const NodeAddress&, const wire::CallMessage& message)
        -> core::base::Result<std::optional<wire::SentFrame>> {
      sent = message.call;
      return std::nullopt;
    };
    return ports;
  }

  // Answers the request with a status, as the serving node sends it.
  void Answer(int value) {
    wire::AnswerMessage answer;
    answer.call = *sent;
    answer.ran = Ran::kRan;
    answer.status = value;
    answer.reached = true;
    entry.OnAnswer(wire::LinkId(), std::move(answer), At(seconds(2)));
  }

  std::optional<int> status;
  std::optional<CallId> sent;
  core::route::EndpointChooser chooser;
  EntrySystem entry;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(answer, SentFixture)

BOOST_AUTO_TEST_CASE(status_of_the_backend_server_is_passed_on) {
  Answer(503);
  BOOST_TEST((status == 503));
}

// A serving node of an older version passed on any status, and the caller got
// it as an answer.
BOOST_AUTO_TEST_CASE(status_that_is_none_of_http_is_not_passed_on) {
  Answer(600);
  BOOST_TEST((status == kBadGateway));
}

BOOST_AUTO_TEST_CASE(status_000_is_not_passed_on) {
  Answer(0);
  BOOST_TEST((status == kBadGateway));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::node
