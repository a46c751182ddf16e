// Resends with one Idempotency-Key, concurrent to every node, later, and after
// a lost response, cause a single execution on the backend servers.
#include <boost/test/unit_test.hpp>
#include <future>

#include "tests/integration/once/once_fixture.h"

namespace dogwoodrail::integration {
namespace {

BOOST_AUTO_TEST_SUITE(resend)

BOOST_AUTO_TEST_CASE(to_every_node_at_once_runs_once) {
  Fleet fleet(OnceFleet("once_at_once", 3, 100));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  for (int it = 0; it < 10; ++it) {
    const RawRequest request = MakeWageRequest("storm-" + std::to_string(it));
    std::vector<std::future<RawResponse>> calls;
    for (std::size_t n = 0; n < 9; ++n) {
      const std::uint16_t port = fleet.vm(n % 3).caller_port();
      calls.push_back(std::async(std::launch::async,
                                 [=] { return SendRequest(port, request); }));
    }
    int answered = 0;
    for (auto& call : calls) {
      const RawResponse response = call.get();
      if (response.status == 200) ++answered;
      const bool expected = response.status == 200 || response.status == 409;
      BOOST_TEST(expected,
                 "status " << response.status << " " << response.body);
    }
    BOOST_TEST(answered >= 1);
    BOOST_TEST(CountExecutionsOf(fleet, request) == 1);
  }
}

BOOST_AUTO_TEST_CASE(later_to_another_node_gets_the_same_response) {
  Fleet fleet(OnceFleet("once_later", 3, 5));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  const RawRequest request = MakeWageRequest("later");
  const RawResponse first = SendRequest(fleet.vm(0).caller_port(), request);
  BOOST_TEST(IsExpectedResponse(first, request));
  for (std::size_t vm = 0; vm < 3; ++vm) {
    const RawResponse resent =
        SendUntilFinal(fleet, vm, request, std::chrono::seconds(5));
    BOOST_TEST(IsExpectedResponse(resent, request));
    BOOST_TEST(resent.body == first.body);
    BOOST_TEST(resent.Header("Dogwood-Ran") == "ran");
  }
  BOOST_TEST(CountExecutionsOf(fleet, request) == 1);
}

BOOST_AUTO_TEST_CASE(same_key_with_another_body_is_refused) {
  Fleet fleet(OnceFleet("once_other_body", 2, 5));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  RawRequest request = MakeWageRequest("first");
  BOOST_TEST(SendRequest(fleet.vm(0).caller_port(), request).status == 200);
  request.body = "other";
  const RawResponse response = SendRequest(fleet.vm(1).caller_port(), request);
  BOOST_TEST(response.JsonMember("reason") == "idempotency_key_invalid");
  BOOST_TEST(CountExecutionsOf(fleet, request) == 1);
}

BOOST_AUTO_TEST_CASE(after_a_lost_response_is_outcome_unknown) {
  Fleet fleet(OnceFleet("once_lost", 3, 5));
  BOOST_TEST_REQUIRE(WaitClaimsGranted(fleet));
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet.vm(vm).ControlBackend(R"({"mute":true})");
  }
  const RawRequest request = MakeWageRequest("lost");
  const RawResponse first = SendRequest(fleet.vm(0).caller_port(), request);
  BOOST_TEST(first.Header("Dogwood-Ran") == "unknown");
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet.vm(vm).ControlBackend(R"({"mute":false})");
  }
  for (std::size_t vm = 0; vm < 3; ++vm) {
    const RawResponse resent =
        SendUntilFinal(fleet, vm, request, std::chrono::seconds(8));
    BOOST_TEST(resent.JsonMember("reason") == "duplicate_outcome_unknown");
    BOOST_TEST(resent.JsonMember("ran") == "unknown");
  }
  BOOST_TEST(CountExecutionsOf(fleet, request) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::integration
