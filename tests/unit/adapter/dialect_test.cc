// Tests the conversion of HTTP headers, refusals and responses for the
// platform's clients and instances.
#include "platform/dialect.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>

namespace dogwoodrail::platform {
namespace {

using core::base::Ran;
using core::base::Reason;
using http::FindHeader;
using http::ResponseClass;
using std::chrono::milliseconds;

node::Dialect MakeTestDialect() {
  return MakeDialect(std::make_shared<core::base::ServiceName>("wages"));
}

http::Request MakeRequest() {
  http::Request request;
  request.method = "GET";
  request.target = "/a/1";
  request.headers = {{"Host", "A.example:80"},
                     {"Attempt-Id", "9c41"},
                     {"Deadline-Ms", "5000"},
                     {"X-Api-Key", "secret"},
                     {"Tenant", "forged"},
                     {"Caller-Service", "forged"},
                     {"Expect-Instance", "forged"},
                     {"Connection", "close"},
                     {"X-Other", "kept"}};
  return request;
}

http::Response MakeResponse(int status, std::vector<http::Header> headers) {
  http::Response response;
  response.status = status;
  response.headers = std::move(headers);
  return response;
}

int StatusOf(Reason reason, Ran ran) {
  node::RefusalReply reply;
  reply.reason = reason;
  reply.ran = ran;
  return MakeTestDialect().make_refusal(reply).status;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(dialect)

BOOST_AUTO_TEST_CASE(node_headers_are_parsed_and_not_forwarded) {
  http::Request request = MakeRequest();
  const auto headers = MakeTestDialect().extract_headers(request);
  BOOST_REQUIRE(headers.has_value());
  BOOST_TEST(*headers->key == "secret");
  BOOST_TEST(headers->timeout->count() == 5000);
  BOOST_TEST(headers->request.value() == "9c41");
  BOOST_TEST(headers->host == "a.example");
  for (const char* name : {"X-Api-Key", "Tenant", "Expect-Instance",
                           "Deadline-Ms", "Connection"}) {
    BOOST_TEST(FindHeader(request.headers, name) == nullptr);
  }
  BOOST_TEST(*FindHeader(request.headers, "Attempt-Id") == "9c41");
  BOOST_TEST(*FindHeader(request.headers, "X-Other") == "kept");
  BOOST_TEST(*FindHeader(request.headers, "Caller-Service") == "wages");
}

BOOST_AUTO_TEST_CASE(repeated_keys_are_rejected) {
  http::Request request = MakeRequest();
  request.headers.push_back({"x-api-key", "other"});
  const auto headers = MakeTestDialect().extract_headers(request);
  BOOST_REQUIRE(!headers.has_value());
  BOOST_TEST((headers.error().reason == Reason::kBadRequest));
}

BOOST_AUTO_TEST_CASE(execution_headers_carry_account_deadline_and_instance) {
  http::Request request;
  node::ExecutionInfo info;
  info.account = core::base::AccountName("small");
  info.instance = "i-7";
  info.remaining = milliseconds(250);
  MakeTestDialect().add_execution_headers(request, info);
  BOOST_TEST(*FindHeader(request.headers, "Tenant") == "small");
  BOOST_TEST(*FindHeader(request.headers, "Expect-Instance") == "i-7");
  BOOST_TEST(*FindHeader(request.headers, "Deadline-Ms") == "250");
}

// 429 and 503 tell the client that the request has not run; 502 and 504 leave
// it open.
BOOST_AUTO_TEST_CASE(status_tells_whether_the_request_may_have_run) {
  BOOST_TEST(StatusOf(Reason::kOverloaded, Ran::kNotRun) == 503);
  BOOST_TEST(StatusOf(Reason::kOverloaded, Ran::kUnknown) == 502);
  BOOST_TEST(StatusOf(Reason::kRateExceeded, Ran::kNotRun) == 429);
  BOOST_TEST(StatusOf(Reason::kDeadlineExceeded, Ran::kNotRun) == 503);
  BOOST_TEST(StatusOf(Reason::kDeadlineExceeded, Ran::kUnknown) == 504);
  BOOST_TEST(StatusOf(Reason::kBackendServerFailed, Ran::kUnknown) == 502);
  BOOST_TEST(StatusOf(Reason::kConnectionLost, Ran::kNotRun) == 503);
  BOOST_TEST(StatusOf(Reason::kNoConfiguration, Ran::kNotRun) == 503);
  BOOST_TEST(StatusOf(Reason::kUnknownKey, Ran::kNotRun) == 401);
  BOOST_TEST(StatusOf(Reason::kUnknownRoute, Ran::kNotRun) == 404);
  BOOST_TEST(StatusOf(Reason::kPoisonRequest, Ran::kNotRun) == 503);
}

BOOST_AUTO_TEST_CASE(retry_after_has_fractional_seconds) {
  node::RefusalReply reply;
  reply.reason = Reason::kChainOverloaded;
  reply.ran = Ran::kNotRun;
  reply.retry_after = milliseconds(75);
  const http::Response response = MakeTestDialect().make_refusal(reply);
  BOOST_TEST(*FindHeader(response.headers, "Retry-After") == "0.075");
}

BOOST_AUTO_TEST_CASE(responses_are_classified) {
  const http::Request request = MakeRequest();
  const auto classify = MakeTestDialect().backend.classify;
  const http::Header id{"Attempt-Id", "9c41"};
  const http::Header seal{"Response-Seal", "3e1b"};
  const auto classified_as = [&](int status, std::vector<http::Header> headers,
                                 ResponseClass verdict) {
    return classify(request, MakeResponse(status, std::move(headers))) ==
           verdict;
  };
  BOOST_TEST(classified_as(200, {id, seal}, ResponseClass::kRan));
  BOOST_TEST(classified_as(500, {id, seal}, ResponseClass::kRan));
  BOOST_TEST(classified_as(200, {id}, ResponseClass::kInvalid));
  BOOST_TEST(classified_as(200, {{"Attempt-Id", "other"}, seal},
                           ResponseClass::kOtherRequest));
  BOOST_TEST(classified_as(503, {id, {"Not-Run", "1"}}, ResponseClass::kShed));
  BOOST_TEST(classified_as(421, {id, {"Instance-Id", "i-9"}},
                           ResponseClass::kOtherInstance));
  // Without the id, it may be the answer to an earlier request.
  BOOST_TEST(
      classified_as(421, {{"Instance-Id", "i-9"}}, ResponseClass::kInvalid));
  BOOST_TEST(classified_as(503, {{"Not-Run", "1"}}, ResponseClass::kInvalid));
  BOOST_TEST(classified_as(200, {seal}, ResponseClass::kInvalid));
  BOOST_TEST(classified_as(503, {{"Attempt-Id", "other"}, {"Not-Run", "1"}},
                           ResponseClass::kOtherRequest));
  BOOST_TEST(classified_as(200, {id, seal, {"Content-Encoding", "gzip"}},
                           ResponseClass::kInvalid));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::platform
