// Tests how much all nodes together ask of the store after it has lost their
// entries.
#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "core/member/directory.h"

namespace dogwoodrail::core::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{20};
constexpr std::size_t kStepsPerSecond = seconds(1) / kStep;
// One node in so many has drained its instance just before.
constexpr std::size_t kNodesPerMark = 100;
constexpr std::size_t kMaxReads = 300;   // of 2,000 a second
constexpr std::size_t kMaxWrites = 300;  // of 400 a second

struct StoreCalls {
  std::size_t reads = 0;
  std::size_t writes = 0;
};

// Nodes and a store that answers at once. The store comes back without the
// entries and tells all nodes at the same time.
class DirectoryFleet {
 public:
  explicit DirectoryFleet(std::size_t nodes) {
    for (std::size_t it = 0; it < nodes; ++it) {
      nodes_.push_back(MakeNode(it));
      nodes_.back().OnEraChanged(nodes, now_);
    }
  }

  // Runs until the store has all entries again.
  void Run() {
    std::vector<Directory*> waiting;
    for (Directory& it : nodes_) waiting.push_back(&it);
    while (!waiting.empty()) {
      calls_.emplace_back();
      for (Directory* it : waiting) Step(*it);
      const auto done =
          std::remove_if(waiting.begin(), waiting.end(),
                         [](Directory* it) { return it->is_written(); });
      waiting.erase(done, waiting.end());
      now_ += kStep;
    }
  }

  // Time from the drill on.
  milliseconds time() const { return kStep * calls_.size(); }
  // Most reads, and most writes, of any second.
  StoreCalls WorstSecond() const {
    StoreCalls worst;
    StoreCalls sum;
    for (std::size_t it = 0; it < calls_.size(); ++it) {
      sum.reads += calls_[it].reads;
      sum.writes += calls_[it].writes;
      if (it >= kStepsPerSecond) {
        sum.reads -= calls_[it - kStepsPerSecond].reads;
        sum.writes -= calls_[it - kStepsPerSecond].writes;
      }
      worst.reads = std::max(worst.reads, sum.reads);
      worst.writes = std::max(worst.writes, sum.writes);
    }
    return worst;
  }

 private:
  Directory MakeNode(std::size_t number) const {
    const base::NodeAddress address("node-" + std::to_string(number));
    Directory node(DirectorySettings(), address, number);
    node.SetAlone(false);
    node.Next(now_);
    node.OnCreated(true, now_);
    node.Next(now_);
    node.OnList(now_);
    if (number % kNodesPerMark != 0) return node;
    node.SetDrained({backend::InstanceId("i"), 1}, now_);
    node.Next(now_);
    node.OnWritten(now_);
    return node;
  }

  void Step(Directory& node) {
    while (const auto call = node.Next(now_)) {
      if (*call == DirectoryCall::kReadOwn) {
        ++calls_.back().reads;
        node.OnOwn(std::nullopt, now_);
      } else {
        BOOST_REQUIRE((*call == DirectoryCall::kWriteOwn));
        ++calls_.back().writes;
        node.OnWritten(now_);
      }
    }
  }

  base::TimePoint now_{seconds(100)};
  std::vector<Directory> nodes_;
  std::vector<StoreCalls> calls_;  // of each step
};

const std::vector<std::size_t> fleet_sizes = {12, 95, 1000, 22000};

}  // namespace

BOOST_AUTO_TEST_SUITE(directory_load)

BOOST_DATA_TEST_CASE(lost_entries_are_there_again_within_the_rates_of_the_store,
                     boost::unit_test::data::make(fleet_sizes), nodes) {
  DirectoryFleet fleet(nodes);
  fleet.Run();
  const StoreCalls worst = fleet.WorstSecond();
  BOOST_TEST_MESSAGE(nodes << " nodes: all entries after "
                           << fleet.time().count()
                           << " ms; in the worst second " << worst.reads
                           << " reads and " << worst.writes << " writes");
  BOOST_TEST(worst.reads <= kMaxReads);
  BOOST_TEST(worst.writes <= kMaxWrites);
  const DirectorySettings settings;
  const seconds spread(nodes / settings.verify_rate);
  BOOST_TEST((fleet.time() <= spread + seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::member
