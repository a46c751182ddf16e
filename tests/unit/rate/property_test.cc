#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <memory>
#include <string>

#include "tests/unit/common/random_faults.h"
#include "tests/unit/common/rate_fleet.h"

namespace dogwoodrail::test {
namespace {

using core::rate::RateLedger;

constexpr Duration kSpan = std::chrono::minutes(2);
constexpr std::uint64_t kSeeds = 20;
constexpr std::uint64_t kMaxDetectionSeeds = 120;
AccountName Large() { return AccountName("large"); }
AccountName Small() { return AccountName("small"); }
constexpr RateLimit kLargeLimit{200, 40};
constexpr RateLimit kSmallLimit{5, 3};
constexpr double kRounding = 1e-6;

// Grants tokens at once after a takeover, although unknown grants of the
// predecessor may still be valid.
class EagerLedger : public RateLedger {
 public:
  using RateLedger::RateLedger;
  void AssumeFullyGranted(TimePoint) override {}
};

class EagerGrantor : public RateGrantor {
 public:
  using RateGrantor::RateGrantor;

 protected:
  std::unique_ptr<RateLedger> MakeLedger(RateLimit limit,
                                         TimePoint now) override {
    return std::make_unique<EagerLedger>(limit, RateSettings(), now);
  }
};

// Expires grants after 500 ms instead of the full lease.
class EarlyExpiryLedger : public RateLedger {
 public:
  using RateLedger::RateLedger;
  void Expire(TimePoint now) override {
    for (auto& [id, holder] : holders_) {
      holder.expires_at =
          std::min(holder.expires_at, now + std::chrono::milliseconds(500));
    }
    next_expiry_ = std::min(next_expiry_, now);
    RateLedger::Expire(now);
  }
};

class EarlyExpiryGrantor : public RateGrantor {
 public:
  using RateGrantor::RateGrantor;

 protected:
  std::unique_ptr<RateLedger> MakeLedger(RateLimit limit,
                                         TimePoint now) override {
    return std::make_unique<EarlyExpiryLedger>(limit, RateSettings(), now);
  }
};

// Spends tokens whose lease has expired.
class LeaseIgnoringLimiter : public RateLimiter {
 public:
  using RateLimiter::RateLimiter;

 protected:
  void DropExpired(Account*, TimePoint) const override {}
};

struct Outcome {
  double excess = 0;
  std::uint64_t admitted = 0;
  std::uint64_t in_rate = 0;
};

// Alternates between low load, in which nodes hold unspent tokens, and load of
// several times the rate, in which every granted token is spent.
double Demand(const RateFleet& fleet, double rate_per_s) {
  const auto phase =
      fleet.fleet.time.now().time_since_epoch() / std::chrono::seconds(3);
  return rate_per_s * (phase % 2 == 0 ? 0.3 : 5.0);
}

void SendCalls(RateFleet* fleet, const AccountName& name, double rate_per_s,
               TimePoint end) {
  auto& random = fleet->fleet.random;
  const double gap =
      -std::log(1 - RandomUnit(random)) / Demand(*fleet, rate_per_s);
  fleet->fleet.time.After(Duration(static_cast<std::int64_t>(gap * 1e6)), [=] {
    if (fleet->fleet.time.now() >= end) return;
    const std::size_t n = fleet->fleet.nodes.size();
    // Two nodes receive most calls, and the pair changes over time.
    const auto turn = static_cast<std::size_t>(
        fleet->fleet.time.now().time_since_epoch() / std::chrono::seconds(7));
    const bool skewed = RandomBelow(fleet->fleet.random, 3) != 0;
    const std::size_t any = RandomBelow(fleet->fleet.random, n);
    fleet->Call(skewed ? (turn + any % 2) % n : any, name);
    SendCalls(fleet, name, rate_per_s, end);
  });
}

Outcome RunSeed(std::uint64_t seed, const RateComponentFactory& factory) {
  RateFleet fleet(3 + seed % 5, seed, factory, 2);
  fleet.AddAccount(Large(), kLargeLimit);
  fleet.AddAccount(Small(), kSmallLimit);
  RandomFaults faults(&fleet.fleet,
                      [&](std::size_t node) { fleet.Restart(node); });
  const TimePoint end = fleet.fleet.time.now() + kSpan;
  faults.Plan(end);
  SendCalls(&fleet, Large(), kLargeLimit.rate_per_s, end);
  SendCalls(&fleet, Small(), kSmallLimit.rate_per_s, end);
  fleet.RunUntil(end);
  Outcome outcome;
  for (const AccountName& name : {Large(), Small()}) {
    const AccountStats& count = fleet.count(name);
    outcome.excess = std::max(outcome.excess, count.bound.Excess());
    outcome.admitted += count.bound.admitted();
    outcome.in_rate += count.in_rate;
  }
  return outcome;
}

bool IsDetected(const RateComponentFactory& factory) {
  for (std::uint64_t seed = 1; seed <= kMaxDetectionSeeds; ++seed) {
    const Outcome outcome = RunSeed(seed, factory);
    if (outcome.excess > kRounding) {
      BOOST_TEST_MESSAGE("detected with seed " << seed << ": " << outcome.excess
                                               << " calls above the limit");
      return true;
    }
  }
  return false;
}

BOOST_AUTO_TEST_SUITE(property)

// Set RATE_SEEDS=first:count to run other seeds.
BOOST_AUTO_TEST_CASE(rate_and_burst_hold_in_every_window) {
  std::uint64_t first = 1;
  std::uint64_t count = kSeeds;
  if (const char* seeds = std::getenv("RATE_SEEDS")) {
    char* rest = nullptr;
    first = std::strtoull(seeds, &rest, 10);
    count = std::strtoull(rest + 1, nullptr, 10);
  }
  Outcome total;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const Outcome outcome = RunSeed(seed, RateComponentFactory());
    BOOST_TEST(
        outcome.excess <= kRounding,
        "seed " << seed << ": " << outcome.excess << " calls above the limit");
    total.admitted += outcome.admitted;
    total.in_rate += outcome.in_rate;
  }
  BOOST_TEST_MESSAGE("seeds " << first << " to " << first + count - 1
                              << ", admitted " << total.admitted << " of "
                              << total.in_rate << " calls within the rate");
}

BOOST_AUTO_TEST_CASE(grantor_that_ignores_unknown_grants_is_detected) {
  RateComponentFactory factory;
  factory.grantor = [](RateSettings settings, auto authority) {
    return std::make_unique<EagerGrantor>(settings, std::move(authority));
  };
  BOOST_TEST(IsDetected(factory));
}

BOOST_AUTO_TEST_CASE(grantor_that_expires_leases_early_is_detected) {
  RateComponentFactory factory;
  factory.grantor = [](RateSettings settings, auto authority) {
    return std::make_unique<EarlyExpiryGrantor>(settings, std::move(authority));
  };
  BOOST_TEST(IsDetected(factory));
}

BOOST_AUTO_TEST_CASE(limiter_that_ignores_its_lease_is_detected) {
  RateComponentFactory factory;
  factory.limiter = [](RateSettings settings, std::uint32_t shards) {
    return std::make_unique<LeaseIgnoringLimiter>(settings, shards);
  };
  BOOST_TEST(IsDetected(factory));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::test
