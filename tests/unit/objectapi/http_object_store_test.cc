#include "objectapi/http_object_store.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "tests/unit/objectapi/canned_server.h"

namespace dogwoodrail::objectapi {
namespace {

using core::base::ErrorCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTimeout{300};

std::string MakeResponse(const std::string& status, const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpObjectStore MakeStore(std::uint16_t port) {
  return HttpObjectStore({"127.0.0.1", port, kTimeout});
}

// A response of the Object API and the errors expected of a read and a write.
struct FaultCase {
  const char* name;
  CannedResponse response;
  ErrorCode read;
  ErrorCode write;
};

BOOST_AUTO_TEST_CASE(bad_responses_map_to_the_right_errors) {
  const std::string truncated =
      "HTTP/1.1 200 OK\r\nObject-Version: 5\r\n"
      "Content-Length: 100\r\n\r\nabc";
  const FaultCase cases[] = {
      {"closed without a response",
       {""},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown},
      {"truncated header",
       {"HTTP/1.1 200 OK\r\nObject-Ver"},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown},
      {"truncated body",
       {truncated},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown},
      {"body never ends",
       {truncated, seconds(5)},
       ErrorCode::kTimeout,
       ErrorCode::kOutcomeUnknown},
      {"no response",
       {"", seconds(5)},
       ErrorCode::kTimeout,
       ErrorCode::kOutcomeUnknown},
      {"not HTTP",
       {"220 mail ready\r\n\r\n"},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown},
      {"no length",
       {"HTTP/1.1 200 OK\r\nObject-Version: 5\r\n\r\nabc"},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown},
      {"status that is none of HTTP",
       {MakeResponse("000 X", "Object-Version: 5\r\n", "abc")},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown},
      {"status above those of HTTP",
       {MakeResponse("600 X", "Object-Version: 5\r\n", "abc")},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown},
      {"no version",
       {MakeResponse("200 OK", "", "abc")},
       ErrorCode::kCorrupt,
       ErrorCode::kOutcomeUnknown},
      {"version is not a number",
       {MakeResponse("200 OK", "Object-Version: 5x\r\n", "abc")},
       ErrorCode::kCorrupt,
       ErrorCode::kOutcomeUnknown},
      {"server error",
       {MakeResponse("503 Busy", "", "")},
       ErrorCode::kUnavailable,
       ErrorCode::kOutcomeUnknown},
      {"too many requests",
       {MakeResponse("429 Slow", "", "")},
       ErrorCode::kUnavailable,
       ErrorCode::kUnavailable},
      {"version conflict",
       {MakeResponse("412 No", "Object-Version: 9\r\n", "")},
       ErrorCode::kUnavailable,
       ErrorCode::kConflict},
      {"too large",
       {MakeResponse("413 Large", "", "")},
       ErrorCode::kUnavailable,
       ErrorCode::kInvalidArgument},
      {"not found",
       {MakeResponse("404 None", "", "")},
       ErrorCode::kNotFound,
       ErrorCode::kInvalidArgument},
  };
  for (const FaultCase& it : cases) {
    BOOST_TEST_CONTEXT(it.name) {
      CannedServer server(it.response);
      HttpObjectStore store = MakeStore(server.port());
      const auto read = store.Get(ObjectKey("a/b"));
      BOOST_REQUIRE(!read.has_value());
      BOOST_TEST((read.error().code == it.read), read.error().detail);
      CannedServer writes(it.response);
      const auto write = MakeStore(writes.port())
                             .PutIf(ObjectKey("a/b"), "x", ObjectVersion(1));
      BOOST_REQUIRE(!write.has_value());
      BOOST_TEST((write.error().code == it.write), write.error().detail);
      BOOST_TEST(writes.requests() == 1);
    }
  }
}

BOOST_AUTO_TEST_CASE(refused_connection_means_nothing_was_sent) {
  std::uint16_t port = 0;
  {
    CannedServer server({""});
    port = server.port();
  }
  const auto write =
      MakeStore(port).PutIf(ObjectKey("a"), "x", ObjectVersion(1));
  BOOST_REQUIRE(!write.has_value());
  BOOST_TEST((write.error().code == ErrorCode::kUnavailable));
}

// Each read stays within its timeout, but the complete response would not.
BOOST_AUTO_TEST_CASE(slow_body_ends_at_the_deadline) {
  CannedServer server(
      {MakeResponse("200 OK", "Object-Version: 1\r\n", std::string(1000, 'x')),
       seconds(0), milliseconds(2)});
  const auto start = std::chrono::steady_clock::now();
  const auto read = MakeStore(server.port()).Get(ObjectKey("a"));
  const auto took = std::chrono::steady_clock::now() - start;
  BOOST_REQUIRE(!read.has_value());
  BOOST_TEST((read.error().code == ErrorCode::kTimeout));
  BOOST_TEST((took < 4 * kTimeout));
}

BOOST_AUTO_TEST_CASE(complete_responses) {
  CannedServer server({MakeResponse("200 OK", "Object-Version: 7\r\n", "abc")});
  HttpObjectStore store = MakeStore(server.port());
  const auto read = store.Get(ObjectKey("a"));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->value == "abc");
  BOOST_TEST(read->version.value() == 7U);
  const auto write = store.PutIf(ObjectKey("a"), "x", ObjectVersion(0));
  BOOST_TEST(write->value() == 7U);
  const auto watch =
      store.Watch(ObjectKey("a"), ObjectVersion(6), milliseconds(10));
  BOOST_TEST(watch->value().version.value() == 7U);
}

BOOST_AUTO_TEST_CASE(watch_without_change) {
  CannedServer server({"HTTP/1.1 204 No Content\r\n\r\n"});
  const auto watch =
      MakeStore(server.port())
          .Watch(ObjectKey("a"), ObjectVersion(6), milliseconds(10));
  BOOST_REQUIRE(watch.has_value());
  BOOST_TEST(!watch->has_value());
}

BOOST_AUTO_TEST_CASE(listing) {
  CannedServer server({MakeResponse(
      "200 OK", "", R"([{"key":"ticket/00000001","version":3}])")});
  const auto rows = MakeStore(server.port()).List("ticket/");
  BOOST_REQUIRE(rows.has_value());
  BOOST_REQUIRE(rows->size() == 1U);
  BOOST_TEST(rows->front().version.value() == 3U);
}

BOOST_AUTO_TEST_CASE(invalid_keys_send_no_request) {
  CannedServer server({MakeResponse("200 OK", "Object-Version: 7\r\n", "abc")});
  for (const char* key : {"a b", "a?x=1", "a\r\nX: y", "a%2f"}) {
    const auto read = MakeStore(server.port()).Get(ObjectKey(key));
    BOOST_TEST((read.error().code == ErrorCode::kInvalidArgument));
  }
  BOOST_TEST(server.requests() == 0);
}

}  // namespace
}  // namespace dogwoodrail::objectapi
