// The control of whole chains against a replayed overload, in virtual time.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>

#include "core/chain/backpressure_map.h"
#include "core/chain/entry_gate.h"
#include "core/chain/load_control.h"

namespace dogwoodrail::core::chain {
namespace {

using base::Importance;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTracking = static_cast<std::size_t>(Importance::kTracking);
constexpr auto kMoney = static_cast<std::size_t>(Importance::kMoney);

base::TimePoint At(base::Duration time) { return base::TimePoint(time); }

// A server of 20 slots that takes 50 ms for a call, at the end of chains that
// take 300 ms to reach it. Requests of two importances make calls there.
class Bottleneck {
 public:
  // Runs one step of 5 ms with so many requests a second at the entry.
  void Step(double tracking_per_s, double money_per_s, base::TimePoint now) {
    Arrive(kTracking, tracking_per_s);
    Arrive(kMoney, money_per_s);
    while (!on_the_way_.empty() && on_the_way_.front().at <= now) {
      Offer(on_the_way_.front());
      on_the_way_.pop_front();
    }
    Run();
    control.OnSample(sample, now);
    now_ = now;
  }

  LoadControl control{ChainSettings()};
  LoadSample sample;
  double refused = 0;
  double let_in[base::kImportanceCount] = {};

 private:
  static constexpr double kStepSeconds = 0.005;
  static constexpr std::size_t kSlots = 20;
  static constexpr std::size_t kQueue = 20;
  static constexpr double kCallSeconds = 0.05;

  struct Calls {
    base::TimePoint at;
    std::size_t importance;
    double n;
    double share;
  };

  void Arrive(std::size_t importance, double per_s) {
    const double share = control.admit()[importance];
    const double n = per_s * kStepSeconds * share;
    let_in[importance] += n;
    on_the_way_.push_back({now_ + milliseconds(300), importance, n, share});
  }

  void Offer(const Calls& calls) {
    sample.offered[calls.importance] += calls.n / calls.share;
    waiting_ += calls.n;
    if (waiting_ <= kSlots + kQueue) return;
    refused += waiting_ - (kSlots + kQueue);
    waiting_ = kSlots + kQueue;
  }

  void Run() {
    const double busy = std::min<double>(waiting_, kSlots);
    const double done = busy * kStepSeconds / kCallSeconds;
    waiting_ -= done;
    finished_ += done;
    sample.limit = kSlots;
    sample.in_flight =
        static_cast<std::size_t>(std::min<double>(waiting_, kSlots));
    sample.queued = static_cast<std::size_t>(
        waiting_ - static_cast<double>(sample.in_flight));
    sample.finished = static_cast<std::uint64_t>(finished_);
  }

  base::TimePoint now_{seconds(1)};
  std::deque<Calls> on_the_way_;
  double waiting_ = 0;
  double finished_ = 0;
};

// Runs a load for some time.
void RunLoad(Bottleneck& server, double tracking, double money,
             base::TimePoint& now, base::Duration time) {
  const base::TimePoint end = now + time;
  for (; now < end; now += milliseconds(5)) server.Step(tracking, money, now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(chain_control)

// The capacity is 400 calls a second; 800 come for ten seconds.
BOOST_AUTO_TEST_CASE(a_burst_is_cut_to_the_capacity_without_swinging) {
  Bottleneck server;
  base::TimePoint now = At(seconds(1));
  RunLoad(server, 200, 100, now, seconds(5));
  BOOST_TEST(server.control.admit()[kTracking] > 0.99);
  RunLoad(server, 600, 200, now, seconds(3));
  const std::uint64_t finished = server.sample.finished;
  const double refused = server.refused;
  double least = 1;
  double most = 0;
  for (int it = 0; it < 70; ++it) {
    RunLoad(server, 600, 200, now, milliseconds(100));
    least = std::min(least, server.control.admit()[kTracking]);
    most = std::max(most, server.control.admit()[kTracking]);
  }
  const auto served = static_cast<double>(server.sample.finished - finished);
  BOOST_TEST(served > 0.85 * 400 * 7);
  BOOST_TEST(server.refused - refused < 0.02 * served);
  BOOST_TEST(most - least < 0.15);
}

BOOST_AUTO_TEST_CASE(the_important_are_let_in_whole) {
  Bottleneck server;
  base::TimePoint now = At(seconds(1));
  RunLoad(server, 600, 200, now, seconds(10));
  BOOST_TEST(server.control.admit()[kMoney] > 0.99);
  BOOST_TEST(server.control.admit()[kTracking] < 0.5);
}

BOOST_AUTO_TEST_CASE(all_is_let_in_again_soon_after_a_burst) {
  Bottleneck server;
  base::TimePoint now = At(seconds(1));
  RunLoad(server, 900, 200, now, seconds(10));
  RunLoad(server, 150, 100, now, seconds(2));
  BOOST_TEST(server.control.admit()[kTracking] > 0.95);
}

BOOST_AUTO_TEST_CASE(no_importance_starves) {
  Bottleneck server;
  base::TimePoint now = At(seconds(1));
  RunLoad(server, 500, 900, now, seconds(10));
  BOOST_TEST(server.control.admit()[kTracking] > 0.02);
  BOOST_TEST(server.control.admit()[kMoney] > 0.3);
}

BOOST_AUTO_TEST_CASE(the_gate_lets_in_just_the_share) {
  EntryGate gate(1);
  Backpressure pressure;
  pressure.bottleneck = ServiceHash(5);
  pressure.admit[kTracking] = 0.25;
  GateRequest request;
  request.route = base::RouteName("list");
  request.importance = Importance::kTracking;
  request.latency_objective = milliseconds(1000);
  int admitted = 0;
  for (int it = 0; it < 400; ++it) {
    const GateDecision verdict = gate.Decide(request, pressure);
    admitted += verdict.admitted ? 1 : 0;
    if (verdict.admitted) continue;
    BOOST_TEST(verdict.retry_after.count() >= 200'000);
    BOOST_TEST(verdict.retry_after.count() <= 500'000);
  }
  BOOST_TEST(admitted >= 99);
  BOOST_TEST(admitted <= 101);
  request.importance = Importance::kMoney;
  BOOST_TEST(gate.Decide(request, pressure).admitted);
}

// One endpoint that cannot follow is no reason to refuse while others can.
BOOST_AUTO_TEST_CASE(pressure_is_the_mean_over_the_endpoints) {
  BackpressureMap map;
  const base::RouteName route("grade");
  Backpressure pressure;
  pressure.bottleneck = ServiceHash(5);
  pressure.admit = {0.1, 0.1, 0.1, 0.1};
  map.OnAnswer(route, base::NodeAddress("a"), 3, pressure, At(seconds(1)));
  map.OnAnswer(route, base::NodeAddress("b"), 3, Backpressure(),
               At(seconds(1)));
  BOOST_TEST(map.Find(route, At(seconds(1))).admit[0] == 0.7,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(map.Find(route, At(seconds(9))).AdmitsAll());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::chain
