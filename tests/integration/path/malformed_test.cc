// Malformed and unauthorized requests are refused with a definite status and
// reason, are reported as "not run", and are not executed.
#include <boost/test/unit_test.hpp>

#include "tests/integration/common/path_fixture.h"

namespace dogwoodrail::integration {
namespace {

// A malformed request and the expected refusal.
struct MalformedCase {
  const char* name;
  std::string bytes;
  int status;
  const char* reason;
};

// Returns an Authorization header line with a valid key.
std::string Authorization() {
  return "Authorization: Bearer " + TestKeyOf("stitchers") + "\r\n";
}

// Returns a request in wire format. Adds Host and the empty line after the
// headers.
std::string RequestBytes(const std::string& first_line,
                         const std::string& headers,
                         const std::string& body = "") {
  return first_line + " HTTP/1.1\r\nHost: localhost\r\n" + headers + "\r\n" +
         body;
}

std::vector<MalformedCase> MalformedCases() {
  constexpr std::size_t kTooLongHeader = 70000;
  constexpr std::size_t kTooLongBody = std::size_t{2} * 1024 * 1024;
  const std::string auth = Authorization();
  const std::string get = "GET /lots/bad";
  const std::string post = "POST /wages/bad";
  const std::string idempotency =
      "Idempotency-Key: " + MakeIdempotencyKey() + "\r\n";
  return {
      {"unknown route", RequestBytes("GET /nowhere", auth), 404,
       "unknown_route"},
      {"no key", RequestBytes(get, ""), 401, "no_key"},
      {"wrong key", RequestBytes(get, "Authorization: Bearer wrong\r\n"), 401,
       "unknown_key"},
      {"wrong scheme", RequestBytes(get, "Authorization: Basic d3Jvbmc=\r\n"),
       401, "unknown_key"},
      {"two keys",
       RequestBytes(get, auth + "Authorization: Bearer " +
                             TestKeyOf("traders") + "\r\n"),
       400, "several_keys"},
      {"oversized header",
       RequestBytes(
           get, auth + "X-Long: " + std::string(kTooLongHeader, 'x') + "\r\n"),
       431, "header_too_large"},
      {"oversized body",
       RequestBytes(post,
                    auth + idempotency + "Content-Length: " +
                        std::to_string(kTooLongBody) + "\r\n",
                    std::string(kTooLongBody, 'x')),
       413, "body_too_large"},
      {"Content-Length and Transfer-Encoding",
       RequestBytes(post,
                    auth + idempotency +
                        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                    "0\r\n\r\n"),
       400, "bad_request"},
      {"two Content-Length",
       RequestBytes(
           post,
           auth + idempotency + "Content-Length: 2\r\nContent-Length: 3\r\n",
           "abc"),
       400, "bad_request"},
      {"negative Content-Length",
       RequestBytes(post, auth + idempotency + "Content-Length: -1\r\n"), 400,
       "bad_request"},
      {"no HTTP", "hello\r\n\r\n", 400, "bad_request"},
      {"forged account",
       RequestBytes(get, auth + "Dogwood-Account: traders\r\n"), 400,
       "reserved_header"},
      {"forged importance",
       RequestBytes(get, auth + "Dogwood-Importance: money\r\n"), 400,
       "reserved_header"},
      {"forged attempt", RequestBytes(get, auth + "Dogwood-Attempt: 1\r\n"),
       400, "reserved_header"},
      {"forged request id",
       RequestBytes(get, auth + "Dogwood-Request-Id: 1\r\n"), 400,
       "reserved_header"},
  };
}

// Requests to a non-idempotent route without a valid Idempotency-Key.
std::vector<MalformedCase> IdempotencyKeyCases() {
  const std::string post = "POST /wages/bad";
  const std::string auth = Authorization();
  return {
      {"no Idempotency-Key",
       RequestBytes(post, auth + "Content-Length: 1\r\n", "x"), 400,
       "idempotency_key_missing"},
      {"Idempotency-Key of another version",
       RequestBytes(
           post,
           auth + "Idempotency-Key: 9f1c2f6e-0f5e-4c3b-8f0a-1d2e3f405060\r\n"
                  "Content-Length: 1\r\n",
           "x"),
       400, "idempotency_key_invalid"},
  };
}

// Sends the request and checks that it is refused and not executed.
void CheckRefused(const Fleet& fleet, std::uint16_t port,
                  const MalformedCase& it) {
  BOOST_TEST_CONTEXT(it.name) {
    RawConnection connection(port);
    connection.Send(it.bytes);
    const RawResponse response = connection.ReadResponse(kRequestTimeout);
    BOOST_TEST(response.complete);
    BOOST_TEST(response.status == it.status);
    BOOST_TEST(response.JsonMember("reason") == it.reason);
    BOOST_TEST(response.Header("Dogwood-Reason") == it.reason);
    BOOST_TEST(response.JsonMember("ran") == "not run");
    BOOST_TEST(response.Header("Dogwood-Ran") == "not run");
    BOOST_TEST(fleet.Executions().size() == 0U);
  }
}

BOOST_AUTO_TEST_SUITE(malformed)

BOOST_AUTO_TEST_CASE(each_is_refused_and_nothing_runs) {
  Fleet fleet(PathFleet("malformed"));
  for (const MalformedCase& it : MalformedCases()) {
    CheckRefused(fleet, fleet.vm(2).caller_port(), it);
  }
  const RawRequest good = MakeRequest("GET", "/lots/good", "stitchers");
  BOOST_TEST(
      IsExpectedResponse(SendRequest(fleet.vm(2).caller_port(), good), good));
}

BOOST_AUTO_TEST_CASE(a_usable_idempotency_key_is_needed) {
  Fleet fleet(PathFleet("idempotency_key"));
  for (const MalformedCase& it : IdempotencyKeyCases()) {
    CheckRefused(fleet, fleet.vm(1).caller_port(), it);
  }
}

BOOST_AUTO_TEST_CASE(a_body_cut_short_never_runs) {
  Fleet fleet(PathFleet("cut_body"));
  for (const bool half_closed : {true, false}) {
    RawConnection connection(fleet.vm(2).caller_port());
    connection.Send(RequestBytes(
        "POST /wages/cut",
        Authorization() + "Idempotency-Key: " + MakeIdempotencyKey() +
            "\r\nContent-Length: 100\r\n",
        "only this"));
    if (half_closed) {
      connection.FinishSending();
      const RawResponse response = connection.ReadResponse(kRequestTimeout);
      BOOST_TEST((response.status == 400 || response.closed));
    } else {
      connection.Close();
    }
  }
  const RawRequest good = MakeRequest("POST", "/wages/good", "stitchers", "x");
  BOOST_TEST(
      IsExpectedResponse(SendRequest(fleet.vm(2).caller_port(), good), good));
  BOOST_TEST(CountExecutions(fleet, "/wages/cut") == 0U);
}

// Pipelined requests get their responses in order.
BOOST_AUTO_TEST_CASE(pipelined_requests_get_their_own_responses) {
  Fleet fleet(PathFleet("pipelined"));
  constexpr int kRequests = 20;
  std::vector<RawRequest> requests;
  std::string bytes;
  for (int it = 0; it < kRequests; ++it) {
    requests.push_back(
        MakeRequest("GET", "/lots/" + std::to_string(it), "stitchers"));
    bytes += requests.back().Serialize();
  }
  RawConnection connection(fleet.vm(2).caller_port());
  connection.Send(bytes);
  for (const RawRequest& it : requests) {
    BOOST_TEST_CONTEXT(it.target) {
      BOOST_TEST(
          IsExpectedResponse(connection.ReadResponse(kRequestTimeout), it));
    }
  }
}

BOOST_AUTO_TEST_CASE(open_routes_need_no_key_and_no_key_reaches_a_server) {
  Fleet fleet(PathFleet("keys_unseen"));
  const RawRequest open = MakeRequest("GET", "/notices/1", "");
  BOOST_TEST(
      IsExpectedResponse(SendRequest(fleet.vm(2).caller_port(), open), open));
  for (const char* account : {"stitchers", "traders"}) {
    const RawRequest get = MakeRequest("GET", "/lots/1", account);
    BOOST_TEST(
        IsExpectedResponse(SendRequest(fleet.vm(2).caller_port(), get), get));
    const RawRequest post = MakeRequest("POST", "/wages/1", account, "x");
    BOOST_TEST(
        IsExpectedResponse(SendRequest(fleet.vm(0).caller_port(), post), post));
  }
  const RawRequest open_with_key = MakeRequest("GET", "/notices/2", "traders");
  SendRequest(fleet.vm(0).caller_port(), open_with_key);
  for (const ExecutionRecord& it : fleet.Executions()) {
    BOOST_TEST(it.leak == "");
    if (it.target == "/lots/1" || it.target == "/wages/1") {
      BOOST_TEST((it.account == "stitchers" || it.account == "traders"));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::integration
