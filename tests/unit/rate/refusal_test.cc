#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <string>

#include "tests/unit/common/rate_fleet.h"

namespace dogwoodrail::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

AccountName Account() { return AccountName("account"); }
constexpr std::size_t kNodes = 12;
constexpr std::uint32_t kShards = 2;
// Maximum fraction of the calls within the rate that may be refused.
constexpr double kMaxRefusedShare = 0.001;

// Returns the calls per second at a time.
using DemandFn = std::function<double(TimePoint)>;
// Returns the node that receives the next call.
using PickNodeFn = std::function<std::size_t(TimePoint, Random*)>;

struct Load {
  DemandFn calls_per_s;
  PickNodeFn pick_node;
  TimePoint end;
};

void SendCalls(RateFleet* fleet, const Load& load) {
  auto& random = fleet->fleet.random;
  const TimePoint now = fleet->fleet.time.now();
  const double rate = load.calls_per_s(now);
  const double gap = rate > 0 ? -std::log(1 - RandomUnit(random)) / rate : 0.01;
  const Duration pause(static_cast<std::int64_t>(gap * 1e6));
  fleet->fleet.time.After(pause, [fleet, load, rate] {
    const TimePoint time = fleet->fleet.time.now();
    if (time >= load.end) return;
    if (rate > 0) {
      fleet->Call(load.pick_node(time, &fleet->fleet.random), Account());
    }
    SendCalls(fleet, load);
  });
}

std::size_t AnyNode(TimePoint, Random* random) {
  return RandomBelow(*random, kNodes);
}

// Sends about nine in ten calls to one node.
std::size_t OneNode(TimePoint, Random* random) {
  return RandomBelow(*random, 10) == 0 ? RandomBelow(*random, kNodes) : 3;
}

// Sends all calls to the nodes of one zone, which changes every second.
std::size_t MovingZone(TimePoint now, Random* random) {
  const auto zone =
      static_cast<std::size_t>(now.time_since_epoch() / seconds(1) % 3);
  return zone + 3 * RandomBelow(*random, kNodes / 3);
}

struct Scenario {
  std::string name;
  RateLimit limit;
  DemandFn calls_per_s;
  PickNodeFn pick_node;
};

struct Measurement {
  double refused = 0;
  double held = 0;
  std::uint64_t in_rate = 0;
  double messages_per_call = 0;
};

Measurement Measure(const Scenario& it, std::uint64_t seed, Duration span,
                    const std::function<void(RateFleet*)>& faults) {
  RateFleet fleet(kNodes, seed, RateComponentFactory(), kShards);
  fleet.AddAccount(Account(), it.limit);
  fleet.Run(seconds(10));
  if (faults) faults(&fleet);
  const TimePoint end = fleet.fleet.time.now() + span;
  SendCalls(&fleet, {it.calls_per_s, it.pick_node, end});
  fleet.RunUntil(end);
  fleet.Run(seconds(4));
  const AccountStats& count = fleet.count(Account());
  const auto in_rate = static_cast<double>(count.in_rate);
  const auto admitted = static_cast<double>(count.bound.admitted());
  Measurement result;
  result.in_rate = count.in_rate;
  result.refused = std::max(0.0, in_rate - admitted) / in_rate;
  result.held =
      static_cast<double>(count.held) / static_cast<double>(count.calls);
  result.messages_per_call = static_cast<double>(fleet.rate_messages()) /
                             static_cast<double>(count.calls);
  BOOST_TEST(count.bound.Excess() < 1e-6);
  BOOST_TEST_MESSAGE(it.name
                     << " rate " << it.limit.rate_per_s << " burst "
                     << it.limit.burst << " seed " << seed << ": in-rate calls "
                     << result.in_rate << ", refused " << result.refused * 100
                     << " %, held " << result.held * 100
                     << " %, messages per call " << result.messages_per_call);
  return result;
}

DemandFn Constant(double calls_per_s) {
  return [calls_per_s](TimePoint) { return calls_per_s; };
}

// No calls for four seconds, then twice the rate for one second.
double Bursty(TimePoint now) {
  return now.time_since_epoch() / seconds(1) % 5 == 0 ? 200 : 0;
}

BOOST_AUTO_TEST_SUITE(refusal)

BOOST_AUTO_TEST_CASE(few_calls_within_the_rate_are_refused) {
  const Scenario cases[] = {
      {"steady", {100, 100}, Constant(80), AnyNode},
      {"steady, small burst", {100, 20}, Constant(80), AnyNode},
      {"steady, small account", {5, 10}, Constant(3), AnyNode},
      {"skewed", {100, 100}, Constant(80), OneNode},
      {"moving", {100, 100}, Constant(80), MovingZone},
      {"moving, small burst", {100, 20}, Constant(80), MovingZone},
      {"waking", {100, 200}, Bursty, AnyNode},
      {"large account", {2000, 2000}, Constant(1600), AnyNode},
  };
  for (const Scenario& it : cases) {
    const Measurement result = Measure(it, 11, minutes(1), nullptr);
    BOOST_TEST(result.refused < kMaxRefusedShare,
               it.name << ": " << result.refused);
  }
}

// The platform is unreachable throughout, and the grantor is killed after ten
// minutes.
BOOST_AUTO_TEST_CASE(platform_outage_and_lost_grantor_refuse_few_calls) {
  const Scenario it{"outage", {20, 40}, Constant(16), AnyNode};
  const auto faults = [](RateFleet* fleet) {
    fleet->fleet.faults.platform_up = false;
    fleet->fleet.time.After(minutes(10), [fleet] {
      const auto shard =
          fleet->fleet.nodes[0]->table->ShardFor(Account().value());
      fleet->fleet.Kill(fleet->fleet.Owner(shard));
      fleet->fleet.ShareMembers();
    });
  };
  const Measurement result = Measure(it, 11, minutes(60), faults);
  BOOST_TEST(result.refused < kMaxRefusedShare);
}

// A small fleet has no witnesses, so the standby takes over with the next
// recorded epoch. It must not wait for the lease of the old grants.
BOOST_AUTO_TEST_CASE(takeover_in_a_small_fleet_does_not_wait_for_the_lease) {
  for (const std::size_t size : {2, 3, 5}) {
    RateFleet fleet(size, 5, RateComponentFactory(), kShards);
    fleet.AddAccount(Account(), {100, 100});
    fleet.Run(seconds(10));
    const auto shard = fleet.fleet.nodes[0]->table->ShardFor(Account().value());
    const std::size_t owner = fleet.fleet.Owner(shard);
    const std::size_t other = owner == 0 ? 1 : 0;
    fleet.Call(other, Account());
    fleet.Run(seconds(1));
    fleet.fleet.Kill(owner);
    fleet.Run(milliseconds(1500));
    const auto before = fleet.count(Account()).bound.admitted();
    for (int n = 0; n < 20; ++n) fleet.Call(other, Account());
    fleet.Run(milliseconds(200));
    BOOST_TEST(fleet.count(Account()).bound.admitted() == before + 20U,
               size << " nodes");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::test
