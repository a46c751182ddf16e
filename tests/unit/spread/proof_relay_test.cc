// Tests how nodes keep the configuration current and prove it, by the load and
// the faults that they meet.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/unit/spread/relay_fleet.h"

using namespace std::chrono_literals;        // NOLINT
using namespace dogwoodrail::tests::spread;  // NOLINT

namespace dogwoodrail::tests::spread {

// Returns the view of a node that has one source.
inline RelayView MakeView(const base::NodeAddress& source) {
  RelayView view;
  view.sources = {source};
  return view;
}

}  // namespace dogwoodrail::tests::spread

BOOST_AUTO_TEST_SUITE(proof_relay)

// The calls of all nodes together must not grow with their number.
BOOST_DATA_TEST_CASE(store_calls_do_not_grow_with_the_fleet,
                     (std::vector<std::size_t>{12, 95, 300, 1000, 5000}),
                     nodes) {
  RelayFleet fleet(1, nodes);
  fleet.RunFresh(10s);
  BOOST_TEST_MESSAGE("store calls a second "
                     << fleet.store_calls() / 10.0 << ", messages a second "
                     << "and node " << fleet.messages() / 10.0 / nodes);
  BOOST_TEST(fleet.store_calls() <= 40U);
  fleet.Publish();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHave(2); }, kApplyBound));
}

BOOST_DATA_TEST_CASE(change_is_in_force_in_time_under_loss, kRelaySeeds, seed) {
  RelayFleet fleet(seed);
  fleet.loss = 0.05;
  for (std::uint64_t number = 2; number < 12; ++number) {
    fleet.Publish();
    BOOST_TEST(
        fleet.RunUntil([&] { return fleet.AllHave(number); }, kApplyBound));
    fleet.RunFresh(1s);
  }
}

BOOST_DATA_TEST_CASE(lost_reader_leaves_all_nodes_fresh, kRelaySeeds, seed) {
  RelayFleet fleet(seed);
  fleet.Kill({fleet.Readers().front()});
  fleet.Publish();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHave(2); }, kApplyBound));
  fleet.RunFresh(20s);
}

BOOST_DATA_TEST_CASE(frozen_reader_leaves_all_nodes_fresh, kRelaySeeds, seed) {
  RelayFleet fleet(seed);
  const std::size_t reader = fleet.Readers().front();
  fleet[reader].paused = true;
  fleet.Publish();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHave(2); }, kApplyBound));
  fleet.RunFresh(10s);
  fleet[reader].paused = false;
  fleet.RunRevoked(10s);
  BOOST_TEST(fleet.AllHave(2));
}

BOOST_DATA_TEST_CASE(loss_of_all_readers_is_no_outage_and_no_stampede,
                     kRelaySeeds, seed) {
  RelayFleet fleet(seed);
  fleet.Kill(fleet.Readers());
  fleet.RunFresh(20s);
  BOOST_TEST_MESSAGE("worst second " << fleet.worst_second());
  // Each node may ask once, with jitter.
  BOOST_TEST(fleet.worst_second() <= kNodes + kZones);
  fleet.Publish();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHave(2); }, kApplyBound));
}

BOOST_DATA_TEST_CASE(reader_cut_off_from_the_store_is_no_outage, kRelaySeeds,
                     seed) {
  RelayFleet fleet(seed);
  const std::size_t reader = fleet.Readers().front();
  fleet.store_cut = [&](std::size_t n) { return n == reader; };
  fleet.RunFresh(10s);
  fleet.Publish();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHave(2); }, kApplyBound));
}

// Times from the fault to the change.
constexpr int kFaultLeadsMs[] = {0, 250, 900, 1700, 6000};

struct SmallFleet : RelayFleet {
  explicit SmallFleet(std::uint64_t seed) : RelayFleet(seed, 17, 4) {}

  // Returns true for the nodes that others may query, and some others.
  std::function<bool(std::size_t)> RelaysAndSome(std::uint64_t seed) {
    std::vector<bool> chosen(size());
    base::Random random(seed);
    for (std::size_t n = 0; n < size(); ++n) {
      const bool some = base::RandomUnit(random) < 0.2;
      chosen[n] = some || (*this)[n].view.is_reader;
      for (std::size_t it = 0; it < size(); ++it) {
        const auto& sources = (*this)[it].view.sources;
        chosen[n] =
            chosen[n] || std::find(sources.begin(), sources.end(),
                                   (*this)[n].self.address) != sources.end();
      }
    }
    return [chosen](std::size_t n) { return chosen[n]; };
  }
};

// The store refuses the calls of all nodes that relay, and serves others.
BOOST_DATA_TEST_CASE(change_is_in_force_in_time_though_relays_are_refused,
                     kRelaySeeds* boost::unit_test::data::make(kFaultLeadsMs),
                     seed, lead) {
  SmallFleet fleet(seed);
  fleet.store_cut = fleet.RelaysAndSome(seed);
  fleet.Run(std::chrono::milliseconds(lead));
  fleet.Publish();
  BOOST_TEST(
      fleet.RunUntil([&] { return fleet.AllServedHave(2); }, kApplyBound));
}

// As before, but the calls, also the watches in progress, get no answer.
BOOST_DATA_TEST_CASE(change_is_in_force_in_time_though_relays_get_no_answer,
                     kRelaySeeds* boost::unit_test::data::make(kFaultLeadsMs),
                     seed, lead) {
  SmallFleet fleet(seed);
  fleet.store_silent = fleet.RelaysAndSome(seed);
  fleet.Run(std::chrono::milliseconds(lead));
  fleet.Publish();
  BOOST_TEST(
      fleet.RunUntil([&] { return fleet.AllServedHave(2); }, kApplyBound));
}

// Every node's watch in progress is lost; later calls are answered.
BOOST_DATA_TEST_CASE(change_is_in_force_in_time_though_all_watches_are_lost,
                     kRelaySeeds, seed) {
  SmallFleet fleet(seed);
  fleet.store_silent = [](std::size_t) { return true; };
  fleet.Run(RelaySimulation::kStep);
  fleet.store_silent = nullptr;
  fleet.Publish();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHave(2); }, kApplyBound));
}

// A node that reaches neither the store nor others must stop admitting keys.
BOOST_DATA_TEST_CASE(withdrawn_key_stops_on_a_node_that_is_cut_off, kRelaySeeds,
                     seed) {
  RelayFleet fleet(seed);
  const auto is_cut = [](std::size_t n) { return n % 7 == 3; };
  fleet.store_cut = is_cut;
  fleet.cut = [&](std::size_t a, std::size_t b) {
    return is_cut(a) || is_cut(b);
  };
  fleet.Publish();
  fleet.RunRevoked(12s);
  fleet.store_cut = nullptr;
  fleet.cut = nullptr;
  BOOST_TEST(fleet.RunUntil(
      [&] { return fleet.AllHave(2) && fleet.AllFresh(); }, 10s));
}

// Groups that are cut off together tell each other of the configuration, but
// none of them can confirm it.
BOOST_DATA_TEST_CASE(withdrawn_key_stops_in_a_group_that_is_cut_off,
                     kRelaySeeds, seed) {
  RelayFleet fleet(seed);
  const auto is_cut = [](std::size_t n) { return n % kZones < 2; };
  fleet.store_cut = is_cut;
  fleet.cut = [&](std::size_t a, std::size_t b) {
    return is_cut(a) != is_cut(b);
  };
  fleet.Run(1s);
  fleet.Publish();
  fleet.RunRevoked(15s);
}

BOOST_DATA_TEST_CASE(parted_nodes_that_reach_the_store_stay_fresh, kRelaySeeds,
                     seed) {
  RelayFleet fleet(seed);
  const auto side = [](std::size_t n) { return (n / kZones) % 2; };
  fleet.cut = [&](std::size_t a, std::size_t b) { return side(a) != side(b); };
  fleet.RunFresh(10s);
  fleet.Publish();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHave(2); }, kApplyBound));
}

BOOST_DATA_TEST_CASE(return_of_the_store_confirms_at_once, kRelaySeeds, seed) {
  RelayFleet fleet(seed);
  fleet.store_down = true;
  fleet.Run(15s);
  BOOST_TEST(!fleet.AllFresh());
  BOOST_TEST(fleet.store_calls() <= kNodes * 12);
  fleet.store_down = false;
  fleet.ResetCounters();
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllFresh(); }, 2s));
}

// The first configuration of a process comes from the store, even while other
// nodes offer theirs.
BOOST_DATA_TEST_CASE(restarted_node_takes_no_older_configuration, kRelaySeeds,
                     seed) {
  RelayFleet fleet(seed);
  const std::size_t restarted = 17;
  fleet.cut = [](std::size_t, std::size_t) { return true; };
  fleet.Publish();
  fleet.Run(3s);
  fleet.store_down = true;
  fleet.cut = nullptr;
  fleet.Restart(restarted);
  fleet.Run(3s);
  BOOST_TEST(fleet[restarted].relay->in_force().value() == 0U);
  fleet.store_down = false;
  BOOST_TEST(fleet.RunUntil([&] { return fleet.AllHave(2); }, kApplyBound));
}

BOOST_DATA_TEST_CASE(restarted_fleet_is_fresh_within_seconds, kRelaySeeds,
                     seed) {
  RelayFleet fleet(seed);
  for (std::size_t n = 0; n < fleet.size(); ++n) fleet.Restart(n);
  BOOST_TEST(
      fleet.RunUntil([&] { return fleet.AllHave(1) && fleet.AllFresh(); }, 1s));
  fleet.RunFresh(10s);
}

// A confirmation is counted from the query, so an answer that was delayed on
// the way is not taken for younger than it is.
BOOST_AUTO_TEST_CASE(delayed_answer_is_not_taken_for_younger_than_it_is) {
  config::FollowSettings follow;
  ProofRelay relay(
      {}, follow, [](const Snapshot&) { return true; }, 1);
  const base::NodeAddress source("a");
  const base::TimePoint start{100s};
  const base::TicketNumber number(3);
  relay.Tick(MakeView(source), start);
  relay.OnStoreResult(1, config::FollowResult::kRead,
                      {{}, config::StoreRevision(1)}, Snapshot{number, "body"},
                      start);
  const auto actions = relay.Tick(MakeView(source), start + 10ms);
  BOOST_REQUIRE(actions.queries.size() == 1U);
  PeerAnswer answer;
  answer.sequence = actions.queries.front().query.sequence;
  answer.in_force = number;
  answer.confirmed_age = 1s;
  const base::TimePoint arrival = start + 800ms;
  relay.OnAnswer(source, answer, arrival);
  BOOST_TEST((relay.Age(arrival) == 800ms));  // the store's own answer
  const auto later = relay.Tick(MakeView(source), start + 1s);
  BOOST_REQUIRE(later.queries.size() == 1U);
  answer.sequence = later.queries.front().query.sequence;
  answer.confirmed_age = 200ms;
  relay.OnAnswer(source, answer, start + 1800ms);
  BOOST_TEST((relay.Age(start + 1800ms) == 1s));
}

// Node with one source that has just read its first configuration, number 3.
struct StartedRelay {
  explicit StartedRelay(std::size_t others = 1) {
    view.sources = {source};
    view.witnesses = {source};
    view.others = others;
    relay.Tick(view, start);
    relay.OnStoreResult(1, config::FollowResult::kRead,
                        {{}, config::StoreRevision(1)},
                        Snapshot{base::TicketNumber(3), "body"}, start);
  }
  // Runs the timers for a time, in which the store answers nothing; returns the
  // end of it.
  base::TimePoint Run(base::TimePoint from, base::Duration time) {
    base::TimePoint now = from;
    for (; now < from + time; now += 20ms) {
      const auto call = relay.Tick(view, now).store_call;
      if (!call) continue;
      relay.OnStoreResult(call->id, config::FollowResult::kFailed, {},
                          std::nullopt, now);
    }
    return now;
  }
  // Hands over an answer of a node, unasked.
  void Hear(const base::NodeAddress& peer, std::uint64_t number, bool settled,
            base::TimePoint now) {
    PeerAnswer answer;
    answer.in_force = base::TicketNumber(number);
    answer.settled = settled;
    relay.OnAnswer(peer, answer, now);
  }

  const base::NodeAddress source{"a"};
  const base::TimePoint start{100s};
  RelayView view;
  ProofRelay relay{
      {}, config::FollowSettings(), [](const Snapshot&) { return true; }, 1};
};

BOOST_AUTO_TEST_CASE(start_ends_with_the_answer_of_a_node_that_has_run) {
  StartedRelay node;
  BOOST_TEST(!node.relay.IsFresh(node.start));
  node.Hear(node.source, 2, true, node.start + 10ms);
  BOOST_TEST(!node.relay.is_settled());  // knows less than this node
  node.Hear(node.source, 3, false, node.start + 20ms);
  BOOST_TEST(!node.relay.is_settled());  // has just started, too
  node.Hear(node.source, 3, true, node.start + 30ms);
  BOOST_TEST(node.relay.IsFresh(node.start + 30ms));
}

// Nodes that start together end their comparison without one that has run.
BOOST_AUTO_TEST_CASE(start_ends_in_time_once_some_nodes_have_answered) {
  StartedRelay node(2);
  node.Run(node.start, 100ms);
  node.Hear(node.source, 3, false, node.start + 100ms);
  node.Run(node.start + 100ms, 600ms);
  BOOST_TEST(!node.relay.is_settled());
  node.Hear(base::NodeAddress("b"), 3, false, node.start + 700ms);
  node.Run(node.start + 700ms, 40ms);
  BOOST_TEST(node.relay.is_settled());
}

BOOST_AUTO_TEST_CASE(start_without_any_answer_ends) {
  StartedRelay node;
  node.Run(node.start, 2900ms);
  BOOST_TEST(!node.relay.is_settled());
  node.Run(node.start + 2900ms, 200ms);
  BOOST_TEST(node.relay.is_settled());
}

// The time for which a process stood still is none in which it could ask.
BOOST_AUTO_TEST_CASE(start_is_not_ended_by_a_pause_of_the_process) {
  StartedRelay node;
  node.Run(node.start, 100ms);
  node.Hear(node.source, 3, false, node.start + 100ms);
  node.Run(node.start + 1500ms, 100ms);
  BOOST_TEST(!node.relay.is_settled());
}

// It has been told of a newer one that does not arrive.
BOOST_AUTO_TEST_CASE(start_that_ends_behind_admits_no_keys) {
  StartedRelay node;
  node.Hear(node.source, 4, true, node.start + 10ms);
  const base::TimePoint end = node.Run(node.start, 3100ms);
  BOOST_TEST(node.relay.is_settled());
  BOOST_TEST(!node.relay.IsFresh(end));
}

// A node that knows of a newer configuration took another's confirmation of
// the older one.
BOOST_AUTO_TEST_CASE(node_that_is_behind_takes_no_confirmation) {
  StartedRelay node;
  node.Hear(node.source, 3, true, node.start);
  node.Hear(base::NodeAddress("b"), 4, true, node.start);
  const auto actions = node.relay.Tick(node.view, node.start + 3s);
  BOOST_REQUIRE(!actions.queries.empty());
  PeerAnswer answer;
  answer.sequence = actions.queries.front().query.sequence;
  answer.in_force = base::TicketNumber(3);
  answer.confirmed_age = 0s;
  node.relay.OnAnswer(node.source, answer, node.start + 3s);
  BOOST_TEST(!node.relay.IsFresh(node.start + 5s));
}

BOOST_AUTO_TEST_CASE(number_that_no_node_states_any_more_is_forgotten) {
  StartedRelay node;
  node.Hear(node.source, 3, true, node.start);
  node.Hear(base::NodeAddress("b"), 4, true, node.start);
  base::TimePoint now = node.Run(node.start, 31s);
  std::optional<config::FollowCall> call;
  while (!call && now < node.start + 60s) {
    now += 20ms;
    call = node.relay.Tick(node.view, now).store_call;
  }
  BOOST_REQUIRE(call.has_value());
  node.relay.OnStoreResult(call->id, config::FollowResult::kRead,
                           {{}, config::StoreRevision(1)},
                           Snapshot{base::TicketNumber(3), "body"}, now);
  BOOST_TEST(node.relay.IsFresh(now));
}

BOOST_AUTO_TEST_CASE(answer_to_no_query_confirms_nothing) {
  config::FollowSettings follow;
  ProofRelay relay(
      {}, follow, [](const Snapshot&) { return true; }, 1);
  const base::NodeAddress source("a");
  const base::TimePoint start{100s};
  relay.Tick(MakeView(source), start);
  relay.OnStoreResult(1, config::FollowResult::kRead,
                      {{}, config::StoreRevision(1)},
                      Snapshot{base::TicketNumber(3), "body"}, start);
  relay.Tick(MakeView(source), start + 10ms);
  PeerAnswer answer;
  answer.in_force = base::TicketNumber(3);
  answer.confirmed_age = 0s;
  relay.OnAnswer(source, answer, start + 3s);
  answer.sequence = 12345;
  relay.OnAnswer(source, answer, start + 3s);
  BOOST_TEST((relay.Age(start + 3s) == 3s));
}

BOOST_AUTO_TEST_SUITE_END()
