// Entries and heartbeats of another writer that no node can use.
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kCallers = 12;

struct OddText {
  std::string name;
  std::string text;
};

std::string Nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

// Ids of one path segment that name no instance.
std::vector<std::string> OddIds() {
  return {"i-k\xe4rdla",        "\xff\xfe",   "i-\xc3",
          "i-\xed\xa0\x80",     "i-\xc0\x80", "i-\xf5\x80\x80\x80",
          std::string(300, 'i')};
}

// Returns a heartbeat with the service and address of the instance beside the
// first node.
std::string HeartbeatOf(const PlatformFleet& fleet, const std::string& state) {
  return R"({"service":"lots","addr":"127.0.0.1:)" +
         std::to_string(fleet.instance_port(0)) +
         R"(","zone":"a","version":"v1","capacity":20,"state":")" + state +
         R"(","born":1,"cold_left_ms":0,"sequence":1})";
}

// Texts of one `spec`; its brackets and quotes match.
std::vector<OddText> OddSpecs() {
  const auto peer = [](const std::string& value) {
    return R"({"peer":)" + value + "}";
  };
  return {{"odd-deep-2", Nested(100)},
          {"odd-deep-4", Nested(10'000)},
          {"odd-deep-5", peer(Nested(200'000))},
          {"odd-large", peer("1e400")},
          {"odd-digits", peer(std::string(500, '9'))},
          {"odd-nan", peer("NaN")},
          {"odd-exponent", peer("1e5")},
          {"odd-negative", peer("-1")},
          {"odd-port-0", peer(R"("127.0.0.1:0")")},
          {"odd-port-65536", peer(R"("127.0.0.1:65536")")},
          {"odd-port-80x", peer(R"("127.0.0.1:80x")")},
          {"odd-type", peer("[1,2]")},
          {"odd-empty", "{}"},
          {"odd-null", "null"},
          {"odd-bytes", peer("\"\xff\xfe\x80\"")},
          {"a-huge", peer("\"" + std::string(950'000, 'x') + "\"")}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(odd_entry)

// A node that starts while they are there finds the others by the list.
BOOST_AUTO_TEST_CASE(odd_entries_end_no_node_and_the_list_is_followed) {
  PlatformFleet fleet("odd_entries", {"lots", "lots", "lots"});
  for (const OddText& it : OddSpecs()) {
    fleet.store().Put("dogwoodrail-nodes", it.name, it.text);
    fleet.store().Put("config", it.name, it.text);
  }
  std::this_thread::sleep_for(seconds(2));
  for (std::size_t it = 0; it < fleet.size(); ++it) fleet.StartNode(it);
  BOOST_TEST(fleet.WaitServing(seconds(15)));
  fleet.store().Put("config", "main", fleet.ConfigText(2));
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    BOOST_TEST(WaitUntil(seconds(4), [&] {
      return fleet.Metric(it, "dogwoodrail_configuration_number") == 2;
    }));
    BOOST_TEST(fleet.node(it).IsRunning());
    BOOST_TEST(!fleet.WaitLogLine(it, " 606 ", "name=odd-large").empty());
    BOOST_TEST(fleet.LogLine(it, " 603 ", "cause=").empty());
    BOOST_TEST(fleet.Send(it, "GET", "/read/after").status == 200);
  }
}

BOOST_AUTO_TEST_CASE(odd_heartbeats_end_no_node_and_change_nothing) {
  PlatformFleet fleet("odd_heartbeats", {"lots", "lots"});
  const std::string head =
      R"({"service":"lots","zone":"a","version":"v1","state":"ready",)"
      R"("sequence":99999,"addr":)";
  std::vector<std::string> bodies = {"", "[]", "{", Nested(1'000'000)};
  for (const OddText& it : OddSpecs()) bodies.push_back(it.text);
  for (const char* address : {R"("127.0.0.1:0")", R"("127.0.0.1:99999")",
                              R"("127.0.0.1:80x")", "1e400", "-1", "null"}) {
    bodies.push_back(head + address + "}");
  }
  bodies.push_back(head + R"("127.0.0.1:1","cold_left_ms":1e300})");
  for (const std::string& it : bodies) {
    fleet.PostControl(0, "/dogwoodrail/instances/i-odd/heartbeat", it);
    BOOST_TEST(fleet.node(0).IsRunning());
  }
  std::this_thread::sleep_for(milliseconds(500));
  for (std::size_t n = 0; n < 4; ++n) {
    BOOST_TEST(fleet.Send(0, "GET", "/read/after").status == 200);
    BOOST_TEST(fleet.Send(1, "GET", "/read/after").status == 200);
  }
}

// A heartbeat with an id that is not UTF-8 ended the process, and with it the
// requests of all clients of the node.
BOOST_AUTO_TEST_CASE(heartbeat_with_an_unreadable_id_ends_no_request) {
  PlatformFleet fleet("odd_ids", {"lots", "lots"});
  for (std::size_t it = 0; it < fleet.size(); ++it) {
    fleet.instance(it).SetScript([](const InstanceRequest& request) {
      return InstanceAnswer{
          true, {{milliseconds(900), PlatformInstance::SuccessText(request)}}};
    });
  }
  std::atomic<int> served{0};
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int it = 0; it < kCallers; ++it) {
    callers.emplace_back([&fleet, &served, it] {
      const std::string path = "/read/held-" + std::to_string(it);
      if (fleet.Send(0, "GET", path).status == 200) ++served;
    });
  }
  std::this_thread::sleep_for(milliseconds(300));
  for (const std::string& id : OddIds()) {
    BOOST_TEST_CONTEXT("id " << id) {
      const std::string path = "/dogwoodrail/instances/" + id;
      for (const char* state : {"ready", "draining"}) {
        fleet.PostControl(0, path + "/heartbeat", HeartbeatOf(fleet, state));
      }
      fleet.PostControl(0, path + "/leave", "{}");
      BOOST_TEST(fleet.node(0).IsRunning());
    }
  }
  for (std::thread& it : callers) it.join();
  BOOST_TEST(served == kCallers);
  BOOST_TEST(!fleet.WaitLogLine(0, " 507 ", "cause=unreadable").empty());
  BOOST_TEST(fleet.Metric(0, "dogwoodrail_handler_failures_total") == 0);
  const std::size_t before = fleet.instance(0).RunsByTarget().size();
  for (int it = 0; it < kCallers; ++it) {
    const std::string path = "/read/later-" + std::to_string(it);
    BOOST_TEST(fleet.Send(0, "GET", path).status == 200);
  }
  BOOST_TEST(fleet.instance(0).RunsByTarget().size() > before);
}

// The same among the crashes that nodes keep.
BOOST_AUTO_TEST_CASE(odd_crashes_end_no_node_and_are_reported) {
  PlatformFleet fleet("odd_crashes", {"lots", "lots"});
  std::vector<OddText> specs = OddSpecs();
  specs.push_back(
      {"odd-number",
       R"({"peer":"127.0.0.1:1","cleared":[],"records":[{"cleared_mask":0,)"
       R"("observer":"0000000000000001","number":1e400,"ended_ms":-1,)"
       R"("requests":[]}]})"});
  for (const OddText& it : specs) {
    fleet.store().Put("dogwoodrail-crashes", it.name, it.text);
  }
  fleet.node(0).Kill();
  fleet.StartNode(0);
  BOOST_TEST(fleet.WaitServing(seconds(10)));
  BOOST_TEST(!fleet.WaitLogLine(0, " 704 ", "by=store records=0").empty());
  for (const OddText& it : specs) {
    BOOST_TEST_CONTEXT(it.name) {
      const std::string line =
          fleet.WaitLogLine(0, "kind=dogwoodrail-crashes", "name=" + it.name);
      BOOST_TEST(line.find(" 606 ") != std::string::npos);
    }
  }
}

// The mark of an instance that leaves is read at the start of the node beside
// it.
BOOST_AUTO_TEST_CASE(odd_mark_in_its_own_entry_ends_no_node) {
  PlatformFleet fleet("odd_mark", {"lots", "lots"});
  fleet.node(0).Kill();
  for (const char* instance :
       {R"("\u0000\r\nx")", "\"\xe4\"", "7", R"("")", "{}", "null"}) {
    BOOST_TEST_CONTEXT("instance " << instance) {
      fleet.store().Put("dogwoodrail-nodes", "node-0",
                        R"({"peer":"127.0.0.1:1","drained":{"instance":)" +
                            std::string(instance) + "}}");
      fleet.StartNode(0);
      BOOST_TEST(fleet.WaitServing(seconds(10)));
      BOOST_TEST(fleet.node(0).IsRunning());
      fleet.node(0).Kill();
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
