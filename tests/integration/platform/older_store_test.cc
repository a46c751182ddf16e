// The store comes back from an older copy: what it has acknowledged since is
// lost, and its revisions are given out again.
#include <boost/algorithm/string/replace.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "tests/integration/platform/common/fleet.h"

namespace dogwoodrail::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time for which the store is away.
constexpr milliseconds kAway{1000};
// Bound for a withdrawn key, and for a change after the store has been away.
constexpr seconds kBound{5};
constexpr seconds kFollowTimeout{4};
constexpr seconds kExitTimeout{20};
constexpr int kCallsPerNode = 10;
constexpr std::size_t kCalls = 40;  // to all four nodes
constexpr const char* kOldService = "lots";
constexpr const char* kNodeEntries = "dogwoodrail-nodes";

// Two nodes of each of two services, and the store.
class OlderStoreFixture {
 public:
  explicit OlderStoreFixture(const std::string& name)
      : fleet(name, {kOldService, kOldService, "wages", "wages"}) {
    Put(Config(2));
    BOOST_TEST(Follows(2));
  }

  // Returns a configuration with both keys, in which /write/ goes to the old
  // service.
  std::string Config(std::uint32_t version) const {
    std::string config = fleet.ConfigText(version);
    boost::algorithm::replace_first(
        config, R"("clusters":[)",
        R"("clusters":[{"name":"wages","health_path":"/healthz"},)");
    boost::algorithm::replace_first(config, R"(["test-key-1"])",
                                    R"(["test-key-1","test-key-2"])");
    return config;
  }
  // The same, with /write/ at the new service.
  std::string MovedConfig(std::uint32_t version) const {
    std::string config = Config(version);
    const std::size_t start = config.find("/write/");
    const std::size_t service = config.find(kOldService, start);
    return config.replace(service, std::string(kOldService).size(), "wages");
  }
  // The same, without the second key.
  std::string WithdrawnConfig(std::uint32_t version) const {
    std::string config = Config(version);
    boost::algorithm::replace_first(config, R"(,"test-key-2")", "");
    return config;
  }

  void Put(const std::string& config) {
    fleet.store().Put("config", "main", config);
  }
  // Waits until all nodes have a version.
  bool Follows(double version) {
    return WaitUntil(kFollowTimeout, [&] {
      for (std::size_t it = 0; it < fleet.size(); ++it) {
        const double number =
            fleet.Metric(it, "dogwoodrail_configuration_number");
        if (number != version) return false;
      }
      return true;
    });
  }
  // The store is away and comes back from its copy; what `writes` puts is there
  // before it serves the first node.
  template <typename Writes>
  void Drill(Writes writes) {
    fleet.store().GoAway();
    std::this_thread::sleep_for(kAway);
    fleet.store().RestoreCopy();
    writes();
    fleet.store().Return();
  }
  // Loses two revisions that are then given out again: version 3 is written
  // before and after, and `last` gets the revision of an object that is lost.
  void LoseTwoRevisions(const std::string& last) {
    fleet.store().TakeCopy();
    Put(Config(3));
    fleet.store().Put("notes", "of-another-writer", "{}");
    BOOST_TEST(Follows(3));
    // A watch that began after the last revision.
    std::this_thread::sleep_for(seconds(2));
    Drill([&] {
      Put(Config(3));
      Put(last);
    });
  }
  // Sends requests with a key to all nodes; returns how many of them were run
  // by instances of the old service.
  std::size_t CountRunsByOldService(const std::string& path,
                                    const std::string& key) {
    for (int n = 0; n < kCallsPerNode; ++n) {
      for (std::size_t it = 0; it < fleet.size(); ++it) {
        RawRequest request = fleet.MakeRequest("POST", path);
        for (auto& header : request.headers) {
          if (header.name == "X-Api-Key") header.value = key;
        }
        SendRequest(fleet.caller_port(it), request);
      }
    }
    return fleet.instance(0).CountRuns(path) +
           fleet.instance(1).CountRuns(path);
  }

  // Number of runs of a path by instances of the new service.
  std::size_t CountRunsByNewService(const std::string& path) {
    return fleet.instance(2).CountRuns(path) +
           fleet.instance(3).CountRuns(path);
  }

  PlatformFleet fleet;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(older_store)

// The whole fleet ran requests by the service of an older version: the new one
// had been given a revision that the nodes knew already.
BOOST_AUTO_TEST_CASE(moved_route_is_in_force_though_its_revision_was_known) {
  OlderStoreFixture it("older_store_route");
  it.LoseTwoRevisions(it.MovedConfig(4));
  std::this_thread::sleep_for(kBound);
  BOOST_TEST(it.CountRunsByOldService("/write/late", "test-key-1") == 0U);
  BOOST_TEST(it.CountRunsByNewService("/write/late") == kCalls);
  BOOST_TEST(it.Follows(4));
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stops_though_its_revision_was_known) {
  OlderStoreFixture it("older_store_key");
  it.LoseTwoRevisions(it.WithdrawnConfig(4));
  std::this_thread::sleep_for(kBound);
  BOOST_TEST(it.CountRunsByOldService("/write/late", "test-key-2") == 0U);
  BOOST_TEST(it.CountRunsByOldService("/write/valid", "test-key-1") == kCalls);
  BOOST_TEST(it.Follows(4));
}

BOOST_AUTO_TEST_CASE(change_after_two_losses_within_seconds_is_in_force) {
  OlderStoreFixture it("older_store_twice");
  it.LoseTwoRevisions(it.Config(4));
  it.Drill([&] {
    it.Put(it.Config(3));
    it.Put(it.MovedConfig(5));
  });
  std::this_thread::sleep_for(kBound);
  BOOST_TEST(it.CountRunsByOldService("/write/late", "test-key-1") == 0U);
  BOOST_TEST(it.CountRunsByNewService("/write/late") == kCalls);
  BOOST_TEST(it.Follows(5));
}

// A node that starts while the store holds an older version ran requests with a
// key that the others knew to be withdrawn.
BOOST_AUTO_TEST_CASE(
    node_that_starts_on_an_older_copy_admits_no_withdrawn_key) {
  OlderStoreFixture it("older_store_start");
  it.fleet.store().TakeCopy();
  it.Put(it.WithdrawnConfig(3));
  BOOST_TEST(it.Follows(3));
  it.fleet.node(0).Kill();
  std::this_thread::sleep_for(kBound);
  it.Drill([] {});
  it.fleet.StartNode(0);
  std::size_t runs = 0;
  BOOST_TEST(WaitUntil(kFollowTimeout, [&] {
    RawRequest request = it.fleet.MakeRequest("POST", "/write/withdrawn");
    for (auto& header : request.headers) {
      if (header.name == "X-Api-Key") header.value = "test-key-2";
    }
    SendRequest(it.fleet.caller_port(0), request);
    runs = it.fleet.instance(0).CountRuns("/write/withdrawn") +
           it.fleet.instance(1).CountRuns("/write/withdrawn");
    return it.fleet.Metric(0, "dogwoodrail_configuration_number") == 3;
  }));
  BOOST_TEST(runs == 0U);
  BOOST_TEST(it.fleet.Send(0, "POST", "/write/valid").status == 200);
}

// The operator needs a while to write again what is lost. Valid keys work on,
// longer than the lease of a confirmation.
BOOST_AUTO_TEST_CASE(valid_key_works_while_the_store_holds_an_older_version) {
  OlderStoreFixture it("older_store_valid");
  it.fleet.store().TakeCopy();
  it.Put(it.WithdrawnConfig(3));
  BOOST_TEST(it.Follows(3));
  it.Drill([] {});
  for (int n = 0; n < 8; ++n) {
    std::this_thread::sleep_for(seconds(1));
    for (std::size_t node = 0; node < it.fleet.size(); ++node) {
      BOOST_TEST(it.fleet.Send(node, "POST", "/write/valid").status == 200);
    }
  }
  BOOST_TEST(it.CountRunsByOldService("/write/withdrawn", "test-key-2") == 0U);
  BOOST_TEST(it.Follows(3));
}

// Nodes did not write their entries again. One that started later stayed alone,
// refused requests for the services of others and granted whole rates.
BOOST_AUTO_TEST_CASE(
    node_that_starts_after_the_loss_of_all_entries_finds_the_others) {
  OlderStoreFixture it("older_store_entries");
  it.fleet.store().TakeCopyWithout(kNodeEntries);
  it.Drill([&] { it.Put(it.MovedConfig(3)); });
  BOOST_TEST(it.Follows(3));
  BOOST_TEST(WaitUntil(kBound, [&] {
    return it.fleet.store().Count(kNodeEntries) == it.fleet.size();
  }));
  for (std::size_t node = 0; node < it.fleet.size(); ++node) {
    const std::string line = it.fleet.WaitLogLine(
        node, "directory_entry_rewritten", "found=missing");
    BOOST_TEST(!line.empty());
  }
  // The last node that started: the others have not listed it.
  const std::size_t last = it.fleet.size() - 1;
  it.fleet.node(last).SendSignal(SIGTERM);
  BOOST_TEST(it.fleet.node(last).WaitExit(kExitTimeout).has_value());
  it.fleet.StartNode(last);
  // Only others have an instance of the service.
  BOOST_TEST(WaitUntil(kBound, [&] {
    return it.fleet.Send(last, "GET", "/read/found").status == 200;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::integration
