// Tests the overload control of call chains in a fleet, in virtual time: many
// entries share few servers at the far end of a chain, and each entry sees few
// of the callers between.
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/random_type.h"
#include "core/chain/backpressure_map.h"
#include "core/chain/entry_gate.h"
#include "core/chain/load_control.h"

namespace dogwoodrail::core::chain {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration kStep = milliseconds(5);
constexpr double kStepSeconds = 0.005;
constexpr std::size_t kZones = 5;
constexpr int kCallsOfChain = 8;
constexpr std::size_t kSlots = 14;
constexpr std::size_t kQueue = 45;
constexpr base::Duration kCallTime = milliseconds(40);
constexpr auto kImportance = base::Importance::kTracking;

// Entries send chains to callers of their own zone, each of which makes
// kCallsOfChain calls, one after the other, to the servers at the end. A call
// that two servers refuse ends its chain.
class ChainFleet {
 public:
  ChainFleet(std::size_t entries, std::size_t callers, std::size_t servers)
      : callers_(callers), servers_(servers) {
    for (std::size_t it = 0; it < entries; ++it) {
      entries_.push_back(std::make_unique<Entry>(it + 1));
    }
    ChainSettings settings;
    settings.memory = milliseconds(400);
    settings.min_share = 0.15;
    for (Server& it : servers_) {
      it.control = std::make_unique<LoadControl>(settings);
    }
  }

  // Chains per second that the servers can complete.
  double Capacity() const {
    const double seconds = std::chrono::duration<double>(kCallTime).count();
    return static_cast<double>(servers_.size() * kSlots) / seconds /
           kCallsOfChain;
  }

  void Run(double chains_per_s, base::Duration time) {
    const base::TimePoint end = now_ + time;
    for (; now_ < end; now_ += kStep) {
      Arrive(chains_per_s * kStepSeconds);
      for (std::size_t it = 0; it < servers_.size(); ++it) RunServer(it);
    }
  }

  void ResetCounts() { admitted = refused = completed = failed = 0; }
  double admitted = 0;
  double refused = 0;
  double completed = 0;
  double failed = 0;

 private:
  struct Entry {
    explicit Entry(std::uint64_t seed) : gate(seed) {}
    BackpressureMap map;
    EntryGate gate;
  };
  struct Chain {
    std::size_t entry = 0;
    std::size_t caller = 0;
    double share = 1;  // at the entry
    int calls_left = kCallsOfChain;
    bool is_retry = false;
  };
  struct Running {
    Chain chain;
    base::TimePoint ends;
  };
  struct Server {
    std::unique_ptr<LoadControl> control;
    LoadSample sample;
    std::deque<Chain> queue;
    std::deque<Running> running;
  };

  static base::NodeAddress Name(const char* kind, std::size_t n) {
    return base::NodeAddress(kind + std::to_string(n));
  }

  void Arrive(double count) {
    credit_ += count;
    for (; credit_ >= 1; credit_ -= 1) StartChain();
  }

  void StartChain() {
    Chain chain;
    chain.entry = base::RandomBelow(random_, entries_.size());
    Entry& entry = *entries_[chain.entry];
    GateRequest request;
    request.route = list_;
    request.importance = kImportance;
    request.latency_objective = milliseconds(1500);
    const auto decision =
        entry.gate.Decide(request, entry.map.Find(list_, now_));
    if (!decision.admitted) {
      ++refused;
      return;
    }
    ++admitted;
    const std::size_t zone = chain.entry % kZones;
    const std::size_t in_zone = (callers_.size() - zone - 1) / kZones + 1;
    chain.caller = zone + kZones * base::RandomBelow(random_, in_zone);
    chain.share = decision.share;
    Call(chain, servers_.size());
  }

  // Sends the next call of a chain to the emptier of two servers.
  void Call(const Chain& chain, std::size_t excluded) {
    std::size_t choice = Pick(excluded);
    const std::size_t other = Pick(excluded);
    if (servers_[other].queue.size() < servers_[choice].queue.size()) {
      choice = other;
    }
    Server& server = servers_[choice];
    const auto importance = static_cast<std::size_t>(kImportance);
    if (!chain.is_retry) server.sample.offered[importance] += 1 / chain.share;
    if (server.queue.size() < kQueue) {
      server.queue.push_back(chain);
      return;
    }
    if (chain.is_retry) ++server.sample.repeat_refusals;
    Answer(chain, choice);
    if (chain.is_retry) return End(chain, /*success=*/false);
    Chain retry = chain;
    retry.is_retry = true;
    Call(retry, choice);
  }

  std::size_t Pick(std::size_t excluded) {
    std::size_t choice = excluded;
    while (choice == excluded) {
      choice = base::RandomBelow(random_, servers_.size());
    }
    return choice;
  }

  void Answer(const Chain& chain, std::size_t server) {
    Backpressure backpressure;
    backpressure.admit = servers_[server].control->admit();
    const bool full = backpressure.admit == kAllAdmitted;
    backpressure.bottleneck = ServiceHash(full ? 0 : 7);
    callers_[chain.caller].OnAnswer(grade_, Name("s", server), backpressure,
                                    now_);
  }

  void End(const Chain& chain, bool success) {
    ++(success ? completed : failed);
    entries_[chain.entry]->map.OnAnswer(
        list_, Name("c", chain.caller),
        callers_[chain.caller].Find(grade_, now_), now_);
  }

  void RunServer(std::size_t index) {
    Server& server = servers_[index];
    while (!server.running.empty() && server.running.front().ends <= now_) {
      Chain chain = server.running.front().chain;
      server.running.pop_front();
      ++server.sample.finished;
      Answer(chain, index);
      chain.is_retry = false;
      if (--chain.calls_left == 0) {
        End(chain, /*success=*/true);
      } else {
        Call(chain, servers_.size());
      }
    }
    while (server.running.size() < kSlots && !server.queue.empty()) {
      server.running.push_back({server.queue.front(), now_ + kCallTime});
      server.queue.pop_front();
    }
    server.sample.in_flight = server.running.size();
    server.sample.queued = server.queue.size();
    server.sample.limit = kSlots;
    server.control->OnSample(server.sample, now_);
  }

  const base::RouteName list_{"list"};
  const base::RouteName grade_{"grade"};
  base::TimePoint now_{seconds(1)};
  base::Random random_{1};
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<BackpressureMap> callers_;
  std::vector<Server> servers_;
  double credit_ = 0;
};

struct FleetSize {
  std::size_t entries;
  std::size_t callers;
  std::size_t servers;
};

std::ostream& operator<<(std::ostream& out, const FleetSize& size) {
  return out << size.entries << " entries";
}

constexpr FleetSize kFleetSizes[] = {{12, 5, 3}, {95, 27, 7}, {1000, 284, 74}};
constexpr double kLoads[] = {1.7, 5};

}  // namespace

BOOST_AUTO_TEST_SUITE(chain_fleet)

// Work is spent on chains that will fail if the entries learn too little of the
// shares that the servers can handle.
BOOST_DATA_TEST_CASE(chains_beyond_the_capacity_are_refused_at_their_entry,
                     boost::unit_test::data::make(kFleetSizes) *
                         boost::unit_test::data::make(kLoads),
                     size, load) {
  ChainFleet fleet(size.entries, size.callers, size.servers);
  const double capacity = fleet.Capacity();
  fleet.Run(0.5 * capacity, seconds(3));
  fleet.Run(load * capacity, seconds(3));
  fleet.ResetCounts();
  fleet.Run(load * capacity, seconds(10));
  BOOST_TEST_MESSAGE("completed " << fleet.completed / capacity / 10
                                  << " of the capacity, admitted "
                                  << fleet.admitted << ", refused "
                                  << fleet.refused << ", failed "
                                  << fleet.failed);
  BOOST_TEST(fleet.completed > 0.9 * capacity * 10);
  BOOST_TEST(fleet.failed < 0.05 * fleet.admitted);
}

BOOST_DATA_TEST_CASE(entries_admit_all_two_seconds_after_an_overload,
                     boost::unit_test::data::make(kFleetSizes) *
                         boost::unit_test::data::make(kLoads),
                     size, load) {
  ChainFleet fleet(size.entries, size.callers, size.servers);
  const double capacity = fleet.Capacity();
  fleet.Run(load * capacity, seconds(13));
  fleet.Run(0.5 * capacity, seconds(2));
  fleet.ResetCounts();
  fleet.Run(0.5 * capacity, seconds(2));
  BOOST_TEST_MESSAGE("admitted " << fleet.admitted << ", refused "
                                 << fleet.refused);
  BOOST_TEST(fleet.refused < 0.05 * (fleet.refused + fleet.admitted));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::chain
