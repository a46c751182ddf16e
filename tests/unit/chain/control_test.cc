// Tests the overload control of call chains against a simulated overload in
// virtual time.
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

// Simulates a server with 20 slots and a service time of 50 ms, which calls
// reach 300 ms after their request was admitted. Requests have one of two
// importances.
class Bottleneck {
 public:
  // Runs one step of 5 ms with the given request rates at the entry.
  void Step(double tracking_per_s, double money_per_s, base::TimePoint now) {
    Arrive(kTracking, tracking_per_s);
    Arrive(kMoney, money_per_s);
    while (!in_transit_.empty() && in_transit_.front().at <= now) {
      Offer(in_transit_.front());
      in_transit_.pop_front();
    }
    Run();
    control.OnSample(sample, now);
    now_ = now;
  }

  LoadControl control{ChainSettings()};
  LoadSample sample;
  double refused = 0;
  double admitted_calls[base::kImportanceCount] = {};

 private:
  static constexpr double kStepSeconds = 0.005;
  static constexpr std::size_t kSlots = 20;
  static constexpr std::size_t kQueue = 20;
  static constexpr double kCallSeconds = 0.05;

  struct CallBatch {
    base::TimePoint at;
    std::size_t importance;
    double count;
    double admitted_share;
  };

  void Arrive(std::size_t importance, double per_s) {
    const double admitted_share = control.admit()[importance];
    const double count = per_s * kStepSeconds * admitted_share;
    admitted_calls[importance] += count;
    in_transit_.push_back(
        {now_ + milliseconds(300), importance, count, admitted_share});
  }

  void Offer(const CallBatch& calls) {
    sample.offered[calls.importance] += calls.count / calls.admitted_share;
    backlog_ += calls.count;
    if (backlog_ <= kSlots + kQueue) return;
    refused += backlog_ - (kSlots + kQueue);
    backlog_ = kSlots + kQueue;
  }

  void Run() {
    const double busy = std::min<double>(backlog_, kSlots);
    const double done = busy * kStepSeconds / kCallSeconds;
    backlog_ -= done;
    finished_ += done;
    sample.limit = kSlots;
    sample.in_flight =
        static_cast<std::size_t>(std::min<double>(backlog_, kSlots));
    sample.queued = static_cast<std::size_t>(
        backlog_ - static_cast<double>(sample.in_flight));
    sample.finished = static_cast<std::uint64_t>(finished_);
  }

  base::TimePoint now_{seconds(1)};
  std::deque<CallBatch> in_transit_;
  double backlog_ = 0;
  double finished_ = 0;
};

// Applies a constant load for `time`.
void RunLoad(Bottleneck& server, double tracking, double money,
             base::TimePoint& now, base::Duration time) {
  const base::TimePoint end = now + time;
  for (; now < end; now += milliseconds(5)) server.Step(tracking, money, now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(chain_control)

// Demand is 800 calls per second for ten seconds, the capacity 400.
BOOST_AUTO_TEST_CASE(overload_is_reduced_to_the_capacity_without_oscillation) {
  Bottleneck server;
  base::TimePoint now = At(seconds(1));
  RunLoad(server, 200, 100, now, seconds(5));
  BOOST_TEST(server.control.admit()[kTracking] > 0.99);
  RunLoad(server, 600, 200, now, seconds(3));
  const std::uint64_t finished = server.sample.finished;
  const double refused = server.refused;
  double min_share = 1;
  double max_share = 0;
  for (int it = 0; it < 70; ++it) {
    RunLoad(server, 600, 200, now, milliseconds(100));
    min_share = std::min(min_share, server.control.admit()[kTracking]);
    max_share = std::max(max_share, server.control.admit()[kTracking]);
  }
  const auto served = static_cast<double>(server.sample.finished - finished);
  BOOST_TEST(served > 0.85 * 400 * 7);
  BOOST_TEST(server.refused - refused < 0.02 * served);
  BOOST_TEST(max_share - min_share < 0.15);
}

BOOST_AUTO_TEST_CASE(most_important_requests_are_all_admitted) {
  Bottleneck server;
  base::TimePoint now = At(seconds(1));
  RunLoad(server, 600, 200, now, seconds(10));
  BOOST_TEST(server.control.admit()[kMoney] > 0.99);
  BOOST_TEST(server.control.admit()[kTracking] < 0.5);
}

BOOST_AUTO_TEST_CASE(all_requests_are_admitted_soon_after_an_overload) {
  Bottleneck server;
  base::TimePoint now = At(seconds(1));
  RunLoad(server, 900, 200, now, seconds(10));
  RunLoad(server, 150, 100, now, seconds(2));
  BOOST_TEST(server.control.admit()[kTracking] > 0.95);
}

BOOST_AUTO_TEST_CASE(no_importance_is_starved) {
  Bottleneck server;
  base::TimePoint now = At(seconds(1));
  RunLoad(server, 500, 900, now, seconds(10));
  BOOST_TEST(server.control.admit()[kTracking] > 0.02);
  BOOST_TEST(server.control.admit()[kMoney] > 0.3);
}

BOOST_AUTO_TEST_CASE(entry_gate_admits_exactly_the_share) {
  EntryGate gate(1);
  Backpressure backpressure;
  backpressure.bottleneck = ServiceHash(5);
  backpressure.admit[kTracking] = 0.25;
  GateRequest request;
  request.route = base::RouteName("list");
  request.importance = Importance::kTracking;
  request.latency_objective = milliseconds(1000);
  int admitted = 0;
  for (int it = 0; it < 400; ++it) {
    const EntryDecision decision = gate.Decide(request, backpressure);
    admitted += decision.admitted ? 1 : 0;
    if (decision.admitted) continue;
    BOOST_TEST(decision.retry_after.count() >= 200'000);
    BOOST_TEST(decision.retry_after.count() <= 500'000);
  }
  BOOST_TEST(admitted >= 99);
  BOOST_TEST(admitted <= 101);
  request.importance = Importance::kMoney;
  BOOST_TEST(gate.Decide(request, backpressure).admitted);
}

// An overloaded endpoint must not cause refusals while others have capacity: it
// counts by the answers that come from it.
BOOST_AUTO_TEST_CASE(backpressure_is_the_mean_over_the_answers) {
  BackpressureMap map;
  const base::RouteName route("grade");
  Backpressure backpressure;
  backpressure.bottleneck = ServiceHash(5);
  backpressure.admit = {0.1, 0.1, 0.1, 0.1};
  const base::TimePoint now = At(seconds(1));
  map.OnAnswer(route, base::NodeAddress("a"), backpressure, now);
  map.OnAnswer(route, base::NodeAddress("b"), Backpressure(), now);
  map.OnAnswer(route, base::NodeAddress("b"), Backpressure(), now);
  BOOST_TEST(map.Find(route, now).admit[0] == 0.7,
             boost::test_tools::tolerance(1e-6));
  BOOST_TEST(map.Find(route, now).bottleneck.value() == 5U);
  BOOST_TEST(map.Find(route, At(seconds(9))).AdmitsAll());
}

// An endpoint that gets no calls says nothing of those that do.
BOOST_AUTO_TEST_CASE(old_answers_count_less_and_are_forgotten) {
  BackpressureMap map;
  const base::RouteName route("grade");
  Backpressure backpressure;
  backpressure.bottleneck = ServiceHash(5);
  backpressure.admit = {0.1, 0.1, 0.1, 0.1};
  map.OnAnswer(route, base::NodeAddress("a"), Backpressure(), At(seconds(1)));
  map.OnAnswer(route, base::NodeAddress("b"), backpressure, At(seconds(4)));
  BOOST_TEST(map.Find(route, At(seconds(4))).admit[0] < 0.25);
  BOOST_TEST(map.size() == 2U);
  map.Tick(At(seconds(6)));
  BOOST_TEST(map.size() == 1U);
  map.Tick(At(seconds(60)));
  BOOST_TEST(map.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::chain
