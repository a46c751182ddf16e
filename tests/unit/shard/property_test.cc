#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <memory>

#include "tests/unit/common/random_faults.h"

namespace dogwoodrail::test {
namespace {

constexpr std::uint32_t kShards = 3;
constexpr Duration kSpan = std::chrono::minutes(3);
constexpr std::uint64_t kSeeds = 60;

std::unique_ptr<ShardTable> MakeTable(core::shard::ShardSettings settings,
                                      const core::shard::Member& self,
                                      TimePoint now) {
  return std::make_unique<ShardTable>(settings, self, now);
}

// Fault: the standby takes over before the primary's lease has expired.
class StandbyWithShortWait : public ShardTable {
 public:
  using ShardTable::ShardTable;

 protected:
  Duration PairWait() const override { return std::chrono::milliseconds(300); }
};

// Fault: the successor takes over before the witness leases have expired.
class SuccessorWithoutWait : public ShardTable {
 public:
  using ShardTable::ShardTable;

 protected:
  Duration WitnessLeaseWait() const override { return Duration(0); }
};

struct Outcome {
  std::uint64_t conflicts = 0;
  std::uint64_t owned_samples = 0;
  std::uint64_t samples = 0;
};

// Runs one cluster under random faults. Counts the samples in which a shard has
// one owner, and those in which it has several.
Outcome RunSeed(std::uint64_t seed, const TableFactory& factory) {
  core::shard::ShardSettings settings;
  settings.shard_count = kShards;
  const std::size_t size = 2 + seed % 6;
  ShardFleet fleet(settings, size, seed, factory);
  RandomFaults faults(&fleet, [&](std::size_t node) { fleet.Start(node); });
  Outcome outcome;
  const auto check = [&] {
    for (std::uint32_t it = 0; it < kShards; ++it) {
      const std::size_t owners = fleet.OwnerCount(ShardIndex(it));
      if (owners > 1) ++outcome.conflicts;
      if (owners == 1) ++outcome.owned_samples;
      ++outcome.samples;
    }
  };
  const TimePoint end = fleet.time.now() + kSpan;
  faults.Plan(end);
  fleet.time.RunUntil(end, check);
  return outcome;
}

std::uint64_t CountConflicts(const TableFactory& factory) {
  std::uint64_t conflicts = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds && conflicts == 0; ++seed) {
    conflicts += RunSeed(seed, factory).conflicts;
  }
  return conflicts;
}

template <typename Table>
std::unique_ptr<ShardTable> MakeTableOf(core::shard::ShardSettings settings,
                                        const core::shard::Member& self,
                                        TimePoint now) {
  return std::make_unique<Table>(settings, self, now);
}

BOOST_AUTO_TEST_SUITE(property)

// The environment variable SHARD_SEEDS=first:count selects other seeds.
BOOST_AUTO_TEST_CASE(never_two_owners_under_random_faults) {
  std::uint64_t first = 1;
  std::uint64_t count = kSeeds;
  if (const char* seeds = std::getenv("SHARD_SEEDS")) {
    char* rest = nullptr;
    first = std::strtoull(seeds, &rest, 10);
    count = std::strtoull(rest + 1, nullptr, 10);
  }
  Outcome total;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const Outcome outcome = RunSeed(seed, MakeTable);
    BOOST_TEST(outcome.conflicts == 0U, "seed "
                                            << seed << ": " << outcome.conflicts
                                            << " samples with several owners");
    total.owned_samples += outcome.owned_samples;
    total.samples += outcome.samples;
  }
  BOOST_TEST_MESSAGE("seeds " << first << " to " << first + count - 1
                              << ", shard with one owner in "
                              << 100 * total.owned_samples / total.samples
                              << " % of the samples");
}

BOOST_AUTO_TEST_CASE(standby_with_short_wait_is_detected) {
  BOOST_TEST(CountConflicts(MakeTableOf<StandbyWithShortWait>) > 0U);
}

BOOST_AUTO_TEST_CASE(successor_without_wait_is_detected) {
  BOOST_TEST(CountConflicts(MakeTableOf<SuccessorWithoutWait>) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::test
