// Prints the cost of configuration dissemination: time until a ticket is in
// force on all nodes, calls to the platform, queries to the most loaded peer,
// and time of one decision.
#include <algorithm>
#include <chrono>
#include <cstdio>

#include "tests/unit/spread/spread_simulation.h"

namespace {

using namespace std::chrono_literals;        // NOLINT
using namespace dogwoodrail::tests::spread;  // NOLINT
using WallClock = std::chrono::steady_clock;

constexpr int kTickets = 20;

double Seconds(base::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void MeasureFleet(std::size_t regions, std::size_t zones, std::size_t per_zone,
                  double loss) {
  SpreadSimulation fleet(1);
  dogwoodrail::tests::member::AddFleet(&fleet.sim, regions, zones, per_zone);
  const std::size_t size = fleet.sim.size();
  fleet.AddControls();
  fleet.AcceptTicket();
  fleet.sim.RunUntil(
      [&] {
        return fleet.sim.AllSee(size) && fleet.AllHave(1) && fleet.AllFresh();
      },
      300s);
  fleet.sim.Run(2 * SpreadSimulation::kWatchTime);
  fleet.sim.loss = loss;
  fleet.loss = loss;
  std::vector<double> times;
  std::size_t max_queries = 0;
  std::size_t calls = 0;
  for (int it = 0; it < kTickets; ++it) {
    for (std::size_t n = 0; n < size; ++n) fleet[n].queries_received = 0;
    fleet.platform_calls = 0;
    const base::TimePoint start = fleet.sim.now();
    fleet.AcceptTicket();
    fleet.sim.RunUntil([&] { return fleet.AllHave(fleet.head()); }, 60s);
    times.push_back(Seconds(fleet.sim.now() - start));
    calls += fleet.platform_calls;
    for (std::size_t n = 0; n < size; ++n) {
      max_queries = std::max(max_queries, fleet[n].queries_received);
    }
  }
  std::sort(times.begin(), times.end());
  std::printf("%8zu %6.0f%% %10.1f %10.1f %12.1f %10zu\n", size, loss * 100,
              times[times.size() / 2], times.back(),
              static_cast<double>(calls) / kTickets, max_queries);
}

void MeasureDecisions() {
  ConfigurationHooks hooks{[](const Ticket&) { return true; },
                           [](const Snapshot&) { return true; },
                           [] { return Snapshot(); }};
  SpreadControl control({}, hooks, 1);
  const base::NodeAddress peer("10.0.0.1:7001");
  base::TimePoint now{};
  constexpr std::size_t kRounds = 100000;
  const auto measure = [&](const char* name, auto fn) {
    const auto start = WallClock::now();
    for (std::size_t it = 1; it <= kRounds; ++it) fn(it);
    const std::chrono::duration<double, std::nano> elapsed =
        WallClock::now() - start;
    std::printf("%-28s %8.0f ns\n", name, elapsed.count() / kRounds);
  };
  const std::string body(300, 'x');
  measure("ticket applied", [&](std::size_t it) {
    PeerAnswer answer;
    answer.in_force = base::TicketNumber(it);
    answer.tickets.push_back({base::TicketNumber(it), body});
    control.OnAnswer(peer, answer, now);
  });
  measure("known number heard", [&](std::size_t it) {
    control.OnPeerNumber(peer, base::TicketNumber(it), now);
  });
  measure("question answered", [&](std::size_t) {
    now += 50ms;
    control.OnQuery(peer, {1, base::TicketNumber(kRounds - 1), false}, now);
  });
  const PeerView view{{peer}, false};
  measure("tick", [&](std::size_t) {
    now += 100ms;
    control.OnPeerContact(now);
    control.Tick(view, now);
  });
}

}  // namespace

int main() {
  std::printf(
      "Time to be in force everywhere, %d tickets each (seed 1)\n"
      "%8s %7s %10s %10s %12s %10s\n",
      kTickets, "members", "loss", "s median", "s worst", "calls/ticket",
      "most asks");
  for (const double loss : {0.0, 0.05}) {
    MeasureFleet(2, 2, 8, loss);
    MeasureFleet(3, 3, 11, loss);
    MeasureFleet(5, 2, 30, loss);
    MeasureFleet(5, 2, 60, loss);
  }
  std::printf("\nOne node's decisions\n");
  MeasureDecisions();
  return 0;
}
