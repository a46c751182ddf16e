#include <algorithm>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/unit/spread/spread_simulation.h"

using namespace std::chrono_literals;        // NOLINT
using namespace dogwoodrail::tests::spread;  // NOLINT

namespace dogwoodrail::tests::spread {

constexpr std::uint64_t kSeeds[] = {1, 2, 3};
constexpr base::Duration kConvergenceLimit = 12s;

// Fleet of two regions with two zones of fifteen nodes each. Starts with three
// tickets in force.
struct Fleet : SpreadSimulation {
  explicit Fleet(std::uint64_t seed) : SpreadSimulation(seed) {
    BOOST_TEST_MESSAGE("seed " << seed);
    member::AddFleet(&sim, 2, 2, 15);
    AddControls();
    for (int it = 0; it < 3; ++it) AcceptTicket();
    BOOST_REQUIRE(sim.RunUntil(
        [&] { return sim.AllSee(60) && AllHave(3) && AllFresh(); }, 20s));
    sim.Run(kWatchTime);
  }
  ~Fleet() { BOOST_TEST(!AnyReverted()); }

  // Runs until every running node has the head in force. Returns false if the
  // limit is reached first.
  bool Converges(base::Duration limit = kConvergenceLimit) {
    return sim.RunUntil([&] { return AllHave(head()); }, limit);
  }
};

Snapshot NoSnapshot() { return {}; }

ConfigurationHooks AcceptAll() {
  return {[](const Ticket&) { return true; },
          [](const Snapshot&) { return true; }, NoSnapshot};
}

// A reader without peers that calls the platform, one call at a time.
struct Reader {
  SpreadControl control{{}, AcceptAll(), 1};
  base::TimePoint now{};

  // Returns the next call to the platform.
  SpreadAction NextCall() {
    for (int it = 0; it < 600; ++it) {
      now += 100ms;
      const auto actions = control.Tick({{}, true}, now);
      if (!actions.empty()) return actions.front();
    }
    return FreshnessChanged{false};
  }
  // Answers the next call, a read or a watch, with a head.
  void AnswerHead(std::uint64_t number) {
    const SpreadAction action = NextCall();
    const auto* read = std::get_if<ReadPlatform>(&action);
    const std::uint64_t call =
        read != nullptr ? read->call : std::get<WatchPlatform>(action).call;
    const base::TicketNumber head(number);
    control.OnPlatformHead(call, {head, "state"}, Ticket{head, "ticket"}, now);
  }
};

}  // namespace dogwoodrail::tests::spread

BOOST_AUTO_TEST_SUITE(spread_control)

BOOST_DATA_TEST_CASE(ticket_reaches_all_nodes_under_packet_loss, kSeeds, seed) {
  Fleet fleet(seed);
  fleet.sim.loss = 0.05;
  fleet.loss = 0.05;
  for (int it = 0; it < 10; ++it) {
    fleet.AcceptTicket();
    BOOST_TEST(fleet.Converges());
  }
}

BOOST_DATA_TEST_CASE(platform_reads_and_peer_queries_are_bounded, kSeeds,
                     seed) {
  Fleet fleet(seed);
  fleet.platform_calls = 0;
  for (std::size_t n = 0; n < fleet.sim.size(); ++n) {
    fleet[n].queries_received = 0;
  }
  fleet.AcceptTicket();
  BOOST_TEST(fleet.Converges());
  // Two regions with two readers each; each reader reads the ticket once and
  // watches twice.
  BOOST_TEST(fleet.platform_calls <= 12u);
  for (std::size_t n = 0; n < fleet.sim.size(); ++n) {
    BOOST_TEST(fleet[n].queries_received <= 15u);
  }
}

BOOST_DATA_TEST_CASE(ticket_reaches_all_nodes_after_platform_fails, kSeeds,
                     seed) {
  Fleet fleet(seed);
  fleet.AcceptTicket();
  // The platform fails as soon as one reader has the ticket.
  const auto one_has_it = [&] {
    for (std::size_t n = 0; n < fleet.sim.size(); ++n) {
      if (fleet[n].state == fleet.head()) return true;
    }
    return false;
  };
  BOOST_REQUIRE(fleet.sim.RunUntil(one_has_it, 5s));
  fleet.platform_down = true;
  BOOST_TEST(fleet.Converges());
  fleet.sim.Run(60s);
  BOOST_TEST(fleet.AllFresh());  // a platform outage alone makes no node stale
}

BOOST_DATA_TEST_CASE(restart_during_outage_recovers_latest_number, kSeeds,
                     seed) {
  Fleet fleet(seed);
  fleet.platform_down = true;
  fleet.sim.Run(1s);
  fleet.sim.Start(17);
  fleet.Start(17);
  const auto ready = [&] { return fleet.IsFresh(17); };
  BOOST_TEST(fleet.sim.RunUntil(ready, 5s));
  BOOST_TEST(fleet[17].state == 3u);
}

BOOST_DATA_TEST_CASE(paused_node_confirms_before_serving, kSeeds, seed) {
  Fleet fleet(seed);
  fleet.sim[9].paused = true;
  fleet.AcceptTicket();
  BOOST_REQUIRE(fleet.Converges());
  fleet.platform_down = true;
  fleet.sim.Run(10s);
  BOOST_TEST(!fleet.IsFresh(9));  // before the node runs any code
  fleet.sim[9].paused = false;
  const auto fresh = [&] { return fleet.IsFresh(9); };
  BOOST_TEST(fleet.sim.RunUntil(fresh, 5s));
  BOOST_TEST(fleet[9].state == fleet.head());
}

BOOST_DATA_TEST_CASE(partitioned_node_goes_stale_and_recovers, kSeeds, seed) {
  Fleet fleet(seed);
  fleet.sim.cut = [](std::size_t a, std::size_t b) { return a == 9 || b == 9; };
  fleet.platform_unreachable = [](std::size_t n) { return n == 9; };
  fleet.AcceptTicket();
  fleet.sim.Run(fleet.settings.stale_after + 1s);
  BOOST_TEST(!fleet.IsFresh(9));
  BOOST_TEST(fleet.IsFresh(10));
  fleet.sim.cut = nullptr;
  fleet.platform_unreachable = nullptr;
  BOOST_TEST(fleet.sim.RunUntil(
      [&] { return fleet.AllFresh() && fleet.AllHave(fleet.head()); }, 15s));
}

BOOST_DATA_TEST_CASE(short_partition_misses_no_number, kSeeds, seed) {
  Fleet fleet(seed);
  fleet.sim.cut = [](std::size_t a, std::size_t b) { return a == 9 || b == 9; };
  fleet.platform_unreachable = [](std::size_t n) { return n == 9; };
  fleet.AcceptTicket();
  fleet.sim.Run(8s);
  fleet.sim.cut = nullptr;
  fleet.platform_unreachable = nullptr;
  BOOST_TEST(fleet.Converges(4s));
}

BOOST_DATA_TEST_CASE(partitioned_regions_each_follow_the_platform, kSeeds,
                     seed) {
  Fleet fleet(seed);
  fleet.sim.cut = [&](std::size_t a, std::size_t b) {
    return fleet.sim.region(a) != fleet.sim.region(b);
  };
  fleet.sim.Run(5s);
  fleet.AcceptTicket();
  BOOST_TEST(fleet.Converges());
}

BOOST_DATA_TEST_CASE(healed_partition_converges_on_highest_number, kSeeds,
                     seed) {
  Fleet fleet(seed);
  fleet.sim.cut = [&](std::size_t a, std::size_t b) {
    return fleet.sim.region(a) != fleet.sim.region(b);
  };
  fleet.platform_unreachable = [&](std::size_t n) {
    return fleet.sim.region(n) == "r1";
  };
  fleet.AcceptTicket();
  fleet.sim.Run(60s);
  BOOST_TEST(!fleet.AllHave(fleet.head()));
  fleet.sim.cut = nullptr;
  BOOST_TEST(fleet.Converges(30s));  // r1 still can't reach the platform
}

BOOST_DATA_TEST_CASE(stale_reads_do_not_revert_the_number, kSeeds, seed) {
  Fleet fleet(seed);
  fleet.stale_head = 1;
  fleet.sim.Start(4);
  fleet.Start(4);
  fleet.sim.Run(10s);
  BOOST_TEST(fleet.AllHave(3));
}

BOOST_DATA_TEST_CASE(failed_readers_are_replaced, kSeeds, seed) {
  Fleet fleet(seed);
  for (std::size_t n = 0; n < fleet.sim.size(); ++n) {
    if (fleet[n].watch_call != 0) fleet.sim[n].gone = true;
  }
  fleet.AcceptTicket();
  BOOST_TEST(fleet.Converges(30s));
}

BOOST_AUTO_TEST_CASE(corrupt_ticket_is_rejected) {
  ConfigurationHooks hooks = AcceptAll();
  hooks.apply_ticket = [](const Ticket& it) { return it.body != "corrupt"; };
  SpreadControl control({}, hooks, 1);
  const base::TimePoint now{};
  control.OnPlatformTickets(1, {{base::TicketNumber(1), "corrupt"}}, now);
  BOOST_TEST(control.in_force().value() == 0u);
  control.OnPlatformTickets(1, {{base::TicketNumber(1), "ticket"}}, now);
  BOOST_TEST(control.in_force().value() == 1u);
}

BOOST_AUTO_TEST_CASE(full_state_is_applied_only_when_far_behind) {
  std::size_t snapshots = 0;
  ConfigurationHooks hooks = AcceptAll();
  hooks.apply_snapshot = [&](const Snapshot&) {
    ++snapshots;
    return true;
  };
  SpreadControl control({}, hooks, 1);
  const base::TimePoint now{};
  const auto take = [&](std::uint64_t number) {
    const base::TicketNumber head(number);
    control.OnPlatformHead(0, {head, "state"}, Ticket{head, "ticket"}, now);
    return control.in_force().value();
  };
  BOOST_TEST(take(5) == 5u);  // nothing was in force
  BOOST_TEST(snapshots == 1u);
  BOOST_TEST(take(6) == 6u);  // applied as a ticket
  BOOST_TEST(snapshots == 1u);
  BOOST_TEST(take(8) == 6u);  // ticket 7 is missing and has to be read first
  BOOST_TEST(take(100) == 100u);
  BOOST_TEST(snapshots == 2u);
  BOOST_TEST(take(4) == 100u);
}

// Peers must not apply the ticket either: they get the state.
BOOST_AUTO_TEST_CASE(state_replaces_a_ticket_that_does_not_continue) {
  std::size_t snapshots = 0;
  ConfigurationHooks hooks = AcceptAll();
  hooks.apply_snapshot = [&](const Snapshot&) {
    ++snapshots;
    return true;
  };
  hooks.make_snapshot = [] { return Snapshot{base::TicketNumber(3), "state"}; };
  SpreadControl control({}, hooks, 1);
  const base::TimePoint now{};
  const base::TicketNumber second(2);
  const base::TicketNumber third(3);
  control.OnPlatformTickets(0, {{base::TicketNumber(1), "ticket"}}, now);
  control.OnPlatformTickets(0, {{second, "ticket"}}, now);
  control.OnPlatformHead(0, {second, "state"}, std::nullopt, now);
  BOOST_TEST(snapshots == 0u);  // never for the number in force
  control.OnPlatformHead(0, {third, "state"}, std::nullopt, now);
  BOOST_TEST(snapshots == 1u);
  PeerQuery query;
  query.after = second;
  const auto actions = control.OnQuery(base::NodeAddress("a"), query, now);
  const PeerAnswer& answer = std::get<SendAnswer>(actions.front()).answer;
  BOOST_TEST(answer.has_snapshot);
  BOOST_TEST(answer.tickets.empty());
}

BOOST_AUTO_TEST_CASE(lower_snapshots_and_gaps_are_ignored) {
  SpreadControl control({}, AcceptAll(), 1);
  const base::TimePoint now{};
  PeerAnswer answer;
  answer.has_snapshot = true;
  answer.snapshot.number = base::TicketNumber(7);
  control.OnAnswer(base::NodeAddress("a"), answer, now);
  BOOST_TEST(control.in_force().value() == 7u);
  answer.snapshot.number = base::TicketNumber(5);
  control.OnAnswer(base::NodeAddress("a"), answer, now);
  control.OnPlatformTickets(0, {{base::TicketNumber(9), "gap"}}, now);
  control.OnPlatformTickets(0, {{base::TicketNumber(6), "old"}}, now);
  BOOST_TEST(control.in_force().value() == 7u);
}

// The platform may have come back from an older copy, where the version that a
// watch would start from stands for another head.
BOOST_AUTO_TEST_CASE(head_is_read_anew_after_a_failed_watch) {
  Reader reader;
  reader.AnswerHead(5);
  const SpreadAction watch = reader.NextCall();
  BOOST_REQUIRE(std::holds_alternative<WatchPlatform>(watch));
  reader.control.OnPlatformFailed(std::get<WatchPlatform>(watch).call,
                                  reader.now);
  BOOST_TEST(std::holds_alternative<ReadPlatform>(reader.NextCall()));
}

BOOST_AUTO_TEST_CASE(tickets_that_the_platform_lost_are_not_asked_for_forever) {
  Reader reader;
  reader.AnswerHead(5);
  reader.AnswerHead(7);
  const auto tickets = std::get<ReadPlatformTickets>(reader.NextCall());
  BOOST_TEST(tickets.first.value() == 6u);
  reader.control.OnPlatformFailed(tickets.call, reader.now);
  reader.AnswerHead(5);
  BOOST_TEST(std::holds_alternative<WatchPlatform>(reader.NextCall()));
}

BOOST_AUTO_TEST_CASE(head_is_read_anew_after_a_pause) {
  Reader reader;
  reader.AnswerHead(5);
  reader.now += 5s;
  BOOST_TEST(std::holds_alternative<ReadPlatform>(reader.NextCall()));
}

// The head may be a stale read, or that of a platform which came back from an
// older copy: newer tickets may be in force elsewhere.
BOOST_AUTO_TEST_CASE(lower_head_does_not_confirm_the_number_after_a_pause) {
  Reader reader;
  reader.AnswerHead(5);
  BOOST_REQUIRE(reader.control.IsFresh(reader.now));
  reader.now += 60s;
  reader.AnswerHead(4);
  BOOST_TEST(!reader.control.IsFresh(reader.now));
  reader.AnswerHead(5);
  BOOST_TEST(reader.control.IsFresh(reader.now));
}

BOOST_AUTO_TEST_CASE(answer_to_query_from_before_pause_confirms_nothing) {
  SpreadSettings settings;
  SpreadControl control(settings, AcceptAll(), 1);
  const base::NodeAddress peer("a");
  base::TimePoint now{};
  const auto actions = control.Tick({{peer}, false}, now);
  const auto* query = std::get_if<SendQuery>(&actions.front());
  BOOST_REQUIRE(query != nullptr);
  PeerAnswer answer;
  answer.sequence = query->query.sequence;
  answer.fresh = true;
  now += 60s;
  control.OnAnswer(peer, answer, now);
  now += 1500ms;
  control.Tick({{peer}, false}, now);
  BOOST_TEST(!control.IsFresh(now));
}

BOOST_AUTO_TEST_SUITE_END()
