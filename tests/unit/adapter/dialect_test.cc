// How the platform's clients and instances are understood and answered.
#include "platform/dialect.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace dogwoodrail::platform {
namespace {

using core::base::Ran;
using core::base::Reason;
using http::FindHeader;
using http::ResponseClass;
using std::chrono::milliseconds;

node::Dialect Own() { return MakeDialect(core::base::ServiceName("wages")); }

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
  return Own().make_refusal(reply).status;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(dialect)

BOOST_AUTO_TEST_CASE(headers_for_the_node_are_read_and_end_here) {
  http::Request request = MakeRequest();
  const auto headers = Own().take_headers(request);
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

BOOST_AUTO_TEST_CASE(two_keys_are_refused) {
  http::Request request = MakeRequest();
  request.headers.push_back({"x-api-key", "other"});
  const auto headers = Own().take_headers(request);
  BOOST_REQUIRE(!headers.has_value());
  BOOST_TEST((headers.error().reason == Reason::kBadRequest));
}

BOOST_AUTO_TEST_CASE(the_instance_is_told_account_time_and_identity) {
  http::Request request;
  node::ExecutionFacts facts;
  facts.account = core::base::AccountName("small");
  facts.instance = "i-7";
  facts.remaining = milliseconds(250);
  Own().add_execution_headers(request, facts);
  BOOST_TEST(*FindHeader(request.headers, "Tenant") == "small");
  BOOST_TEST(*FindHeader(request.headers, "Expect-Instance") == "i-7");
  BOOST_TEST(*FindHeader(request.headers, "Deadline-Ms") == "250");
}

// 429 and 503 promise that a request has not run; 502 and 504 promise nothing.
BOOST_AUTO_TEST_CASE(only_what_has_not_run_gets_a_promise) {
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

BOOST_AUTO_TEST_CASE(a_refusal_says_when_to_come_back_in_fractions) {
  node::RefusalReply reply;
  reply.reason = Reason::kChainOverloaded;
  reply.ran = Ran::kNotRun;
  reply.retry_after = milliseconds(75);
  const http::Response response = Own().make_refusal(reply);
  BOOST_TEST(*FindHeader(response.headers, "Retry-After") == "0.075");
}

BOOST_AUTO_TEST_CASE(answers_are_judged) {
  const http::Request asked = MakeRequest();
  const auto judge = Own().backend.classify;
  const http::Header id{"Attempt-Id", "9c41"};
  const http::Header seal{"Response-Seal", "3e1b"};
  const auto is = [&](int status, std::vector<http::Header> headers,
                      ResponseClass verdict) {
    return judge(asked, MakeResponse(status, std::move(headers))) == verdict;
  };
  BOOST_TEST(is(200, {id, seal}, ResponseClass::kRan));
  BOOST_TEST(is(500, {id, seal}, ResponseClass::kRan));
  BOOST_TEST(is(200, {id}, ResponseClass::kInvalid));
  BOOST_TEST(
      is(200, {{"Attempt-Id", "other"}, seal}, ResponseClass::kOtherRequest));
  BOOST_TEST(is(503, {id, {"Not-Run", "1"}}, ResponseClass::kShed));
  BOOST_TEST(is(421, {{"Instance-Id", "i-9"}}, ResponseClass::kOtherInstance));
  BOOST_TEST(is(200, {id, seal, {"Content-Encoding", "gzip"}},
                ResponseClass::kInvalid));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::platform
