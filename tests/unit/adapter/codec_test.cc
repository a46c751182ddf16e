// Tests decoding of valid and malformed configurations, heartbeats and node
// entries.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <variant>

#include "platform/backend_codec.h"
#include "platform/config_codec.h"
#include "platform/json_fields.h"
#include "platform/node_codec.h"

namespace dogwoodrail::platform {
namespace {

namespace data = boost::unit_test::data;
using core::base::Importance;

const std::string config_json = R"({
  "version": "0000000c",
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 1000,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "small", "api_keys": ["k1", "k2"], "priority": 1,
               "rate_per_s": 61, "burst": 60}],
  "listeners": [{"host": "A.example", "rules": [
    {"name": "r1", "kind": "idempotent", "target_latency_ms": 1500,
     "priority": 2, "public": false, "matcher": {"prefix": "/x/"},
     "action": {"split": [{"service": "s1", "weight": 90},
                          {"service": "s2", "weight": 10}],
                "timeout_ms": 1000, "attempts": 2}},
    {"name": "r2", "kind": "non_idempotent", "priority": 0, "public": true,
     "matcher": {"prefix": "/y/"},
     "action": {"service": "s3", "timeout_ms": 1200, "attempts": 1}}]}],
  "clusters": [{"name": "s1", "health_path": "/healthz"}]})";

core::base::Result<core::config::ConfigState> Decode(const std::string& text) {
  ConfigDecodeOptions options;
  options.retry_percent = 5;
  options.hash_key = [](const std::string& key) {
    return core::config::KeyHash("hash of " + key);
  };
  return DecodeConfig(*ParseBody(text), options);
}

http::Request MakePost(const std::string& target, const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return request;
}

const std::string heartbeat_path = "/dogwoodrail/instances/i-7/heartbeat";

}  // namespace

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_CASE(valid_configuration_is_decoded) {
  const auto state = Decode(config_json);
  BOOST_REQUIRE(state.has_value());
  BOOST_TEST(state->number().value() == 12U);
  BOOST_TEST(state->caller_limits().max_body_bytes == 1000U);
  const auto* route = state->MatchRoute("/x/1", "a.example");
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST(route->split.size() == 2U);
  BOOST_TEST(route->idempotent);
  BOOST_TEST((route->importance == Importance::kTracking));
  BOOST_TEST(route->latency_objective.count() == 1500);
  BOOST_TEST(route->retry_percent == 5U);
  const auto* other = state->MatchRoute("/y/1", "a.example");
  BOOST_REQUIRE(other != nullptr);
  BOOST_TEST(!other->idempotent);
  BOOST_TEST(other->open_to_all);
  BOOST_TEST((other->importance == Importance::kMoney));
  const auto* key = state->FindKey(core::config::KeyHash("hash of k2"));
  BOOST_REQUIRE(key != nullptr);
  BOOST_TEST(state->FindAccount(key->account)->rate_per_s == 61U);
  BOOST_TEST(state->FindService(core::base::ServiceName("s1"))->health_path ==
             "/healthz");
}

BOOST_DATA_TEST_CASE(
    malformed_configuration_is_rejected,
    data::make(
        {R"({})", R"({"version": 12, "listeners": []})",
         R"({"version": "zz", "listeners": []})", R"({"version": "1"})",
         R"({"version": "1", "listeners": [{"host": "a"}]})",
         R"({"version": "1", "listeners": [{"rules": [{"name": "r"}]}]})",
         R"({"version": "1", "tenants": [{"rate_per_s": 1}],
                    "listeners": []})"})) {
  BOOST_TEST(!Decode(sample).has_value());
}

BOOST_AUTO_TEST_CASE(valid_heartbeat_is_parsed) {
  const auto notice = ReadNotice(
      MakePost(heartbeat_path,
               R"({"service":"lots","addr":"10.0.0.1:80","state":"draining",
          "capacity":15,"sequence":4,"born":1700000000000,"cold_left_ms":20})"));
  const auto* heartbeat = std::get_if<core::backend::Heartbeat>(&notice);
  BOOST_REQUIRE(heartbeat != nullptr);
  BOOST_TEST(heartbeat->instance.value() == "i-7");
  BOOST_TEST(heartbeat->draining);
  BOOST_TEST(heartbeat->slots == 15U);
  BOOST_TEST(heartbeat->sequence == 4U);
  BOOST_TEST(*heartbeat->born_ms == 1700000000000);
}

BOOST_DATA_TEST_CASE(
    malformed_heartbeat_is_ignored,
    data::make(
        {"", "[", "[]", "7",
         R"({"service":"l","addr":"a","state":"odd","sequence":1})",
         R"({"service":"l","addr":"a","state":"ready"})",
         R"({"service":7,"addr":"a","state":"ready","sequence":1})",
         R"({"service":"l","addr":"a","state":"ready","sequence":-1})",
         R"({"service":"l","addr":"a","state":"ready","born":"7","sequence":1})",
         R"({"service":"l","state":"ready","sequence":1})"})) {
  const auto notice = ReadNotice(MakePost(heartbeat_path, sample));
  BOOST_TEST(std::holds_alternative<std::monostate>(notice));
}

// Writing such an id to the store threw an exception.
BOOST_DATA_TEST_CASE(notice_with_an_unreadable_id_is_ignored,
                     data::make({"i-k\xe4rdla", "\xff", "\xc3", "a b", "\x7f",
                                 "\xc0\x80", "\xed\xa0\x80"})) {
  const std::string path = "/dogwoodrail/instances/" + std::string(sample);
  const auto heartbeat = ReadNotice(MakePost(
      path + "/heartbeat",
      R"({"service":"l","addr":"a","state":"draining","sequence":1})"));
  BOOST_TEST(std::holds_alternative<std::monostate>(heartbeat));
  const auto leave = ReadNotice(MakePost(path + "/leave", "{}"));
  BOOST_TEST(std::holds_alternative<std::monostate>(leave));
}

BOOST_AUTO_TEST_CASE(id_beyond_ascii_is_read) {
  const std::string id = "i-k\xc3\xa4rdla";
  const auto notice =
      ReadNotice(MakePost("/dogwoodrail/instances/" + id + "/leave", ""));
  const auto* leave = std::get_if<node::LeaveNotice>(&notice);
  BOOST_REQUIRE(leave != nullptr);
  BOOST_TEST(leave->process.instance.value() == id);
}

BOOST_AUTO_TEST_CASE(body_that_is_not_utf_8_is_written_all_the_same) {
  BOOST_TEST(FormatBody(Json{{"a", "\xe4"}}) == "{\"a\":\"\xef\xbf\xbd\"}");
}

BOOST_AUTO_TEST_CASE(leave_notice_contains_the_instance) {
  const auto notice =
      ReadNotice(MakePost("/dogwoodrail/instances/i-7/leave", ""));
  const auto* leave = std::get_if<node::LeaveNotice>(&notice);
  BOOST_REQUIRE(leave != nullptr);
  BOOST_TEST(leave->process.instance.value() == "i-7");
  BOOST_TEST(std::holds_alternative<std::monostate>(
      ReadNotice(MakePost("/dogwoodrail/instances/a/b/leave", ""))));
}

// The start time was dropped, so that a process could not be told from one
// before it under the same id.
BOOST_AUTO_TEST_CASE(leave_notice_contains_the_start_time) {
  const char* path = "/dogwoodrail/instances/i-7/leave";
  const auto notice = ReadNotice(MakePost(path, R"({"born":1700000000000})"));
  const auto* leave = std::get_if<node::LeaveNotice>(&notice);
  BOOST_REQUIRE(leave != nullptr);
  BOOST_TEST(*leave->process.born_ms == 1700000000000);
  const auto none = ReadNotice(MakePost(path, "{}"));
  BOOST_REQUIRE(std::holds_alternative<node::LeaveNotice>(none));
  BOOST_TEST(!std::get<node::LeaveNotice>(none).process.born_ms.has_value());
}

BOOST_DATA_TEST_CASE(malformed_leave_notice_is_ignored,
                     data::make({"[", R"({"born":"1700"})", R"({"born":1.5})",
                                 R"({"born":null})"})) {
  const auto notice =
      ReadNotice(MakePost("/dogwoodrail/instances/i-7/leave", sample));
  BOOST_TEST(std::holds_alternative<std::monostate>(notice));
}

BOOST_AUTO_TEST_CASE(node_entry_round_trip) {
  core::member::DirectoryEntry entry;
  entry.address = core::base::NodeAddress("10.0.0.1:7000");
  entry.drained =
      core::backend::DrainMark{core::backend::InstanceId("i-7"), 1700};
  entry.drained_before = {{core::backend::InstanceId("i-5"), std::nullopt},
                          {core::backend::InstanceId("i-6"), 1600}};
  const auto read = DecodeNode(EncodeNode(entry));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->drained_before == entry.drained_before));
  BOOST_TEST(read->address.value() == "10.0.0.1:7000");
  BOOST_TEST(read->drained->instance.value() == "i-7");
  BOOST_TEST(*read->drained->born_ms == 1700);
  BOOST_TEST(!DecodeNode(*ParseBody(R"({"peer": 7})")).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::platform
