// Requests of clients and answers of instances that the HTTP library cannot
// represent, or that no client or instance should send.
#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSends = 8;
constexpr std::size_t kLargeField = 70'000;

// Sends a request to each instance through the first node.
RawResponse SendOften(PlatformFleet& fleet, const RawRequest& request) {
  RawResponse response;
  for (int it = 0; it < kSends; ++it) {
    RawRequest copy = request;
    for (RawHeader& header : copy.headers) {
      if (header.name == "Attempt-Id") header.value += std::to_string(it);
    }
    response = SendRequest(fleet.caller_port(0), copy);
  }
  return response;
}

// Checks that all nodes live, have met no unforeseen exception, and serve.
void CheckServing(PlatformFleet& fleet) {
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(fleet.node(it).IsRunning());
    BOOST_TEST(fleet.Metric(it, "dogwoodrail_handler_failures_total") == 0);
    BOOST_TEST(fleet.Send(it, "GET", "/read/after").status == 200);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_request)

// Such a request ended the node beside the instance that it was sent to.
BOOST_AUTO_TEST_CASE(trace_request_with_a_body_ends_no_node) {
  PlatformFleet fleet("trace", {"lots", "lots"});
  const RawResponse response =
      SendOften(fleet, fleet.MakeRequest("TRACE", "/read/trace", "body"));
  BOOST_TEST(response.status == 400);
  BOOST_TEST(fleet.CountRuns("/read/trace") == 0U);
  const RawResponse empty =
      SendOften(fleet, fleet.MakeRequest("TRACE", "/read/empty"));
  BOOST_TEST(empty.status == 200);
  CheckServing(fleet);
}

// The library takes no header field of over 64 KiB, whatever the limit of the
// configuration is.
BOOST_AUTO_TEST_CASE(header_field_above_the_limit_of_the_library_ends_no_node) {
  PlatformFleet fleet("large_field", {"lots", "lots"});
  std::string config = fleet.ConfigText(2);
  boost::algorithm::replace_first(config, R"("limits":{)",
                                  R"("limits":{"max_header_bytes":200000,)");
  fleet.store().Put("config", "main", config);
  BOOST_TEST(WaitUntil(seconds(4), [&] {
    return fleet.Metric(0, "dogwoodrail_configuration_number") == 2;
  }));
  RawRequest request = fleet.MakeRequest("GET", "/read/field");
  request.AddHeader("X-Large", std::string(kLargeField, 'x'));
  BOOST_TEST(SendOften(fleet, request).status == 431);
  RawRequest name = fleet.MakeRequest("GET", "/read/name");
  name.AddHeader(std::string(kLargeField, 'x'), "x");
  BOOST_TEST(SendOften(fleet, name).status == 431);
  CheckServing(fleet);
}

BOOST_AUTO_TEST_CASE(odd_bytes_in_a_request_end_no_node) {
  PlatformFleet fleet("odd_bytes", {"lots", "lots"});
  std::vector<RawRequest> requests;
  for (const char* text :
       {"\xe4\xff", "\xed\xa0\x80", "\x01", "%00%ff", "{}"}) {
    RawRequest request = fleet.MakeRequest("GET", "/read/" + std::string(text));
    request.AddHeader("X-Odd", text);
    request.AddHeader("Tenant", text);
    requests.push_back(request);
    request = fleet.MakeRequest("POST", "/read/body", text);
    for (RawHeader& it : request.headers) {
      if (it.name != "X-Api-Key") it.value = text;
    }
    requests.push_back(request);
    request = fleet.MakeRequest("GET", "/read/key");
    request.headers.front().value = text;
    requests.push_back(request);
    request = fleet.MakeRequest(std::string("M") + text, "/read/method");
    requests.push_back(request);
  }
  for (const char* deadline : {"99999999999999999999", "-1", "1e9", "0", ""}) {
    RawRequest request = fleet.MakeRequest("GET", "/read/deadline");
    request.headers.back().value = deadline;
    requests.push_back(request);
  }
  for (const RawRequest& it : requests) {
    SendOften(fleet, it);
    BOOST_TEST(fleet.node(0).IsRunning());
  }
  BOOST_TEST(!fleet.Timeline(0, "").empty());
  BOOST_TEST(!fleet.Metrics(0).empty());
  CheckServing(fleet);
}

BOOST_AUTO_TEST_CASE(odd_status_of_an_instance_ends_no_node) {
  PlatformFleet fleet("odd_status", {"lots", "lots"});
  const std::vector<std::string> statuses = {"101", "204", "205",  "304", "599",
                                             "999", "000", "1000", "-20"};
  const auto script = [](const InstanceRequest& request) {
    const std::size_t mark = request.target.find("status");
    std::string text = PlatformInstance::SuccessText(request);
    if (mark != std::string::npos) {
      text.replace(9, 3, request.target.substr(mark + 6));
    }
    return InstanceAnswer{true, {{milliseconds(5), text}}};
  };
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    fleet.instance(it).SetScript(script);
  }
  for (const std::string& it : statuses) {
    BOOST_TEST_CONTEXT("status " << it) {
      for (const char* method : {"GET", "HEAD", "POST"}) {
        SendOften(fleet, fleet.MakeRequest(method, "/read/status" + it));
      }
      BOOST_TEST(fleet.node(0).IsRunning());
      BOOST_TEST(fleet.node(1).IsRunning());
    }
  }
  CheckServing(fleet);
}

BOOST_AUTO_TEST_CASE(large_header_of_an_instance_ends_no_node) {
  PlatformFleet fleet("large_answer_field", {"lots", "lots"});
  const auto script = [](const InstanceRequest& request) {
    std::string text = PlatformInstance::SuccessText(request);
    if (request.target == "/read/field") {
      text.insert(text.find("\r\n") + 2,
                  "X-Large: " + std::string(kLargeField, 'x') + "\r\n");
    }
    return InstanceAnswer{true, {{milliseconds(5), text}}};
  };
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    fleet.instance(it).SetScript(script);
  }
  const RawResponse response =
      SendOften(fleet, fleet.MakeRequest("GET", "/read/field"));
  BOOST_TEST(response.status == 502);
  CheckServing(fleet);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
