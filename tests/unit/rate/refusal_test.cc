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
constexpr double kTarget = 0.001;  // in-rate refusals of in-rate calls

// Returns calls per second now, and the node that the next call reaches.
using DemandHook = std::function<double(TimePoint)>;
using PlaceHook = std::function<std::size_t(TimePoint, Random*)>;

struct Load {
  DemandHook calls_per_s;
  PlaceHook place;
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
      fleet->Call(load.place(time, &fleet->fleet.random), Account());
    }
    SendCalls(fleet, load);
  });
}

std::size_t AnyNode(TimePoint, Random* random) {
  return RandomBelow(*random, kNodes);
}

// Nine in ten calls reach one node.
std::size_t OneNode(TimePoint, Random* random) {
  return RandomBelow(*random, 10) == 0 ? RandomBelow(*random, kNodes) : 3;
}

// All calls reach the nodes of one zone, another one each second.
std::size_t MovingZone(TimePoint now, Random* random) {
  const auto zone =
      static_cast<std::size_t>(now.time_since_epoch() / seconds(1) % 3);
  return zone + 3 * RandomBelow(*random, kNodes / 3);
}

struct Case {
  std::string name;
  RateLimit row;
  DemandHook calls_per_s;
  PlaceHook place;
};

struct Share {
  double refused = 0;
  double held = 0;
  std::uint64_t in_rate = 0;
  double messages_per_call = 0;
};

Share Measure(const Case& it, std::uint64_t seed, Duration span,
              const std::function<void(RateFleet*)>& faults) {
  RateFleet fleet(kNodes, seed, RateFactory(), kShards);
  fleet.AddAccount(Account(), it.row);
  fleet.Run(seconds(10));
  if (faults) faults(&fleet);
  const TimePoint end = fleet.fleet.time.now() + span;
  SendCalls(&fleet, {it.calls_per_s, it.place, end});
  fleet.RunUntil(end);
  fleet.Run(seconds(4));
  const AccountCount& count = fleet.count(Account());
  const auto in_rate = static_cast<double>(count.in_rate);
  const auto admitted = static_cast<double>(count.bound.admitted());
  Share share;
  share.in_rate = count.in_rate;
  share.refused = std::max(0.0, in_rate - admitted) / in_rate;
  share.held =
      static_cast<double>(count.held) / static_cast<double>(count.calls);
  share.messages_per_call = static_cast<double>(fleet.rate_messages()) /
                            static_cast<double>(count.calls);
  BOOST_TEST(count.bound.Excess() < 1e-6);
  BOOST_TEST_MESSAGE(it.name
                     << " rate " << it.row.rate_per_s << " burst "
                     << it.row.burst << " seed " << seed << ": in-rate calls "
                     << share.in_rate << ", refused " << share.refused * 100
                     << " %, held " << share.held * 100
                     << " %, messages per call " << share.messages_per_call);
  return share;
}

DemandHook Constant(double calls_per_s) {
  return [calls_per_s](TimePoint) { return calls_per_s; };
}

// Silent for four seconds, then twice the rate for one.
double Waking(TimePoint now) {
  return now.time_since_epoch() / seconds(1) % 5 == 0 ? 200 : 0;
}

BOOST_AUTO_TEST_SUITE(refusal)

BOOST_AUTO_TEST_CASE(few_calls_within_the_rate_are_refused) {
  const Case cases[] = {
      {"steady", {100, 100}, Constant(80), AnyNode},
      {"steady, small burst", {100, 20}, Constant(80), AnyNode},
      {"steady, small account", {5, 10}, Constant(3), AnyNode},
      {"skewed", {100, 100}, Constant(80), OneNode},
      {"moving", {100, 100}, Constant(80), MovingZone},
      {"moving, small burst", {100, 20}, Constant(80), MovingZone},
      {"waking", {100, 200}, Waking, AnyNode},
      {"large account", {2000, 2000}, Constant(1600), AnyNode},
  };
  for (const Case& it : cases) {
    const Share share = Measure(it, 11, minutes(1), nullptr);
    BOOST_TEST(share.refused < kTarget, it.name << ": " << share.refused);
  }
}

// The platform is away all the time; the grantor dies in the tenth minute.
BOOST_AUTO_TEST_CASE(an_hour_without_the_platform_and_a_lost_grantor) {
  const Case it{"outage", {20, 40}, Constant(16), AnyNode};
  const auto faults = [](RateFleet* fleet) {
    fleet->fleet.faults.platform_up = false;
    fleet->fleet.time.After(minutes(10), [fleet] {
      const auto shard =
          fleet->fleet.nodes[0]->table->ShardFor(Account().value());
      fleet->fleet.Kill(fleet->fleet.Owner(shard));
      fleet->fleet.ShareMembers();
    });
  };
  const Share share = Measure(it, 11, minutes(60), faults);
  BOOST_TEST(share.refused < kTarget);
}

// Without witnesses the standby goes from one recorded epoch to the next.
BOOST_AUTO_TEST_CASE(lost_grantor_of_a_small_fleet_costs_no_lease) {
  for (const std::size_t size : {2, 3, 5}) {
    RateFleet fleet(size, 5, RateFactory(), kShards);
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
