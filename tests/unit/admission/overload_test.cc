#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "tests/unit/admission/fake_load.h"

namespace dogwoodrail::core::admission {
namespace {

using base::Importance;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = FakeBackend::Kind;
using Distribution = FakeBackend::Distribution;

// Calls per second that the default FakeBackend can execute.
constexpr double kCapacity = 750;

constexpr double kDemandShares[] = {0.4,  0.25, 0.1,  0.08,
                                    0.06, 0.05, 0.04, 0.02};

// Callers with the demand shares above; total returns the sum of the rates.
std::vector<FakeCaller> Callers(
    const std::function<double(base::TimePoint)>& total, int max_attempts = 1) {
  std::vector<FakeCaller> callers;
  for (const double share : kDemandShares) {
    FakeCaller caller;
    caller.account = "account" + std::to_string(callers.size());
    caller.rate_per_s = [=](base::TimePoint t) { return share * total(t); };
    caller.max_attempts = max_attempts;
    callers.push_back(caller);
  }
  return callers;
}

// The same with a constant sum of rates.
std::vector<FakeCaller> Callers(double total) {
  return Callers([total](base::TimePoint) { return total; });
}

// Time since the start of the run, in seconds.
double SecondsSinceStart(base::TimePoint t) {
  return std::chrono::duration<double>(t.time_since_epoch()).count() - 1;
}

// Settings that forward every call at once.
AdmissionSettings WithoutControl() {
  AdmissionSettings settings;
  settings.limit.learn = false;
  settings.limit.max_limit = 1e9;
  settings.use_deadlines = false;
  return settings;
}

// Measures goodput after a warm-up, at a multiple of the capacity.
double MeasureGoodput(const AdmissionSettings& settings,
                      const FakeBackend& backend, double factor,
                      std::uint64_t seed) {
  FakeLoad load(settings, backend, Callers(factor * kCapacity), seed);
  load.Run(seconds(5));
  return load.Goodput(seconds(20));
}

// Returns the smallest ratio over all accounts of calls answered in time to the
// max-min fair share, or to the demand if that is smaller.
double WorstServedShare(const std::vector<FakeCount>& counts) {
  double left = 0;
  std::vector<double> demands;
  for (const FakeCount& it : counts) {
    left += it.good;
    demands.push_back(it.offered);
  }
  std::sort(demands.begin(), demands.end());
  double fair_share = 0;
  for (std::size_t it = 0; it < demands.size(); ++it) {
    fair_share = left / static_cast<double>(demands.size() - it);
    left -= std::min(fair_share, demands[it]);
  }
  double worst = 1;
  for (const FakeCount& it : counts) {
    worst = std::min(worst, it.good / std::min(it.offered, fair_share));
  }
  return worst;
}

BOOST_AUTO_TEST_SUITE(overload)

BOOST_AUTO_TEST_CASE(goodput_stays_at_five_times_the_capacity) {
  for (const Kind kind : {Kind::kQueueing, Kind::kSharing, Kind::kShedding}) {
    for (const Distribution distribution :
         {Distribution::kConstant, Distribution::kExponential,
          Distribution::kLogNormal}) {
      FakeBackend backend;
      backend.kind = kind;
      backend.distribution = distribution;
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        double peak = 0;
        for (const double factor : {0.5, 1.0, 2.0}) {
          const double goodput =
              MeasureGoodput(AdmissionSettings(), backend, factor, seed);
          peak = std::max(peak, goodput);
        }
        const double goodput =
            MeasureGoodput(AdmissionSettings(), backend, 5, seed);
        BOOST_TEST_CONTEXT("kind " << static_cast<int>(kind) << " distribution "
                                   << static_cast<int>(distribution) << " seed "
                                   << seed) {
          BOOST_TEST(goodput >= 0.9 * peak);
          BOOST_TEST(goodput >= 0.85 * kCapacity);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(goodput_collapses_without_control) {
  BOOST_TEST(MeasureGoodput(WithoutControl(), FakeBackend(), 2, 1) <
             0.1 * kCapacity);
}

BOOST_AUTO_TEST_CASE(worst_served_account_gets_its_fair_share) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double factor : {2.0, 5.0}) {
      FakeLoad load(AdmissionSettings(), FakeBackend(),
                    Callers(factor * kCapacity), seed);
      load.Run(seconds(5));
      const double worst = WorstServedShare(load.Run(seconds(20)));
      BOOST_TEST_CONTEXT("seed " << seed << " factor " << factor) {
        BOOST_TEST(worst >= 0.95);
        BOOST_TEST(load.most_queued <= AdmissionSettings().max_queued);
      }
    }
  }
  AdmissionSettings unfair;
  unfair.use_fairness = false;
  FakeLoad load(unfair, FakeBackend(), Callers(5 * kCapacity), 1);
  load.Run(seconds(5));
  BOOST_TEST(WorstServedShare(load.Run(seconds(20))) < 0.5);
}

BOOST_AUTO_TEST_CASE(important_calls_are_served_before_all_others) {
  std::vector<FakeCaller> callers = Callers(3 * kCapacity);
  for (const char* account : {"account1", "account2"}) {
    FakeCaller money;
    money.account = account;
    money.importance = Importance::kMoney;
    money.rate_per_s = [](base::TimePoint) { return 0.25 * kCapacity; };
    callers.push_back(money);
  }
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeLoad load(AdmissionSettings(), FakeBackend(), callers, seed);
    load.Run(seconds(5));
    const std::vector<FakeCount> counts = load.Run(seconds(20));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(load.inversions == 0);
      BOOST_TEST(counts[8].refused + counts[9].refused == 0);
    }
  }
  AdmissionSettings equal;
  equal.use_importance = false;
  FakeLoad load(equal, FakeBackend(), callers, 1);
  load.Run(seconds(5));
  BOOST_TEST(load.inversions > 0);
}

// Returns the number of refused kMoney calls. They take 80% of the capacity,
// and the concurrency limit must not fall below what they need.
double MoneyRefused(std::uint64_t seed) {
  std::vector<FakeCaller> callers = Callers(3 * kCapacity);
  for (const char* account : {"account1", "account2"}) {
    FakeCaller money;
    money.account = account;
    money.importance = Importance::kMoney;
    money.rate_per_s = [](base::TimePoint) { return 0.4 * kCapacity; };
    callers.push_back(money);
  }
  FakeLoad load(AdmissionSettings(), FakeBackend(), callers, seed);
  load.Run(seconds(5));
  const std::vector<FakeCount> counts = load.Run(seconds(20));
  return counts[8].refused + counts[9].refused;
}

BOOST_AUTO_TEST_CASE(money_below_the_capacity_is_never_refused) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(MoneyRefused(seed) == 0); }
  }
}

BOOST_AUTO_TEST_CASE(limit_adapts_after_latency_triples) {
  FakeBackend backend;
  backend.slowdown = [](base::TimePoint t) {
    return SecondsSinceStart(t) < 10 ? 1.0 : 3.0;
  };
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeLoad load(AdmissionSettings(), backend, Callers(2 * kCapacity), seed);
    load.Run(seconds(15));
    const double goodput = load.Goodput(seconds(20));
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(goodput >= 0.85 * kCapacity / 3);
    }
  }
}

BOOST_AUTO_TEST_CASE(limit_ramps_up_on_cold_backend_server) {
  FakeBackend backend;
  backend.slowdown = [](base::TimePoint t) {
    return std::max(1.0, 5.0 - SecondsSinceStart(t));
  };
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeLoad load(AdmissionSettings(), backend, Callers(2 * kCapacity), seed);
    BOOST_TEST_CONTEXT("seed " << seed) {
      load.Run(milliseconds(100));
      BOOST_TEST(load.control.Snapshot().limit <= 15U);
      load.Run(milliseconds(5900));
      BOOST_TEST(load.Goodput(seconds(10)) >= 0.85 * kCapacity);
    }
  }
}

BOOST_AUTO_TEST_CASE(wrong_load_report_does_not_keep_the_limit_low) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeBackend backend;
    const auto changing = [](base::TimePoint t) {
      return std::lround(SecondsSinceStart(t)) % 4 < 2 ? 100U : 1U;
    };
    for (const auto& report :
         {std::function<std::uint32_t(base::TimePoint)>(changing),
          std::function<std::uint32_t(base::TimePoint)>(
              [](base::TimePoint) { return 1U; }),
          std::function<std::uint32_t(base::TimePoint)>(
              [](base::TimePoint) { return 10000U; })}) {
      backend.report = report;
      FakeLoad load(AdmissionSettings(), backend, Callers(2 * kCapacity), seed);
      load.Run(seconds(5));
      const double goodput = load.Goodput(seconds(20));
      BOOST_TEST_CONTEXT("seed " << seed) {
        BOOST_TEST(goodput >= 0.85 * kCapacity);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(goodput_recovers_two_seconds_after_a_surge_with_retries) {
  const double usual = 0.8 * kCapacity;
  const auto rate = [usual](base::TimePoint t) {
    return SecondsSinceStart(t) >= 10 && SecondsSinceStart(t) < 20 ? 5 * usual
                                                                   : usual;
  };
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    FakeLoad load(AdmissionSettings(), FakeBackend(), Callers(rate, 10), seed);
    load.Run(seconds(22));
    const double goodput = load.Goodput(seconds(10));
    BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(goodput >= 0.95 * usual); }
  }
  FakeLoad load(WithoutControl(), FakeBackend(), Callers(rate, 10), 1);
  load.Run(seconds(22));
  BOOST_TEST(load.Goodput(seconds(10)) < 0.5 * usual);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::admission
