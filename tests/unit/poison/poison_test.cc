#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>

#include "core/base/hash_func.h"
#include "core/base/random_type.h"
#include "core/poison/suspect_gate.h"

namespace dogwoodrail::core::poison {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::size_t kServers = 6;
constexpr int kInnocents = 12;
constexpr int kResends = 8;
constexpr int kSteps = 20'000;
constexpr base::Duration kStep = milliseconds{1};
constexpr std::uint64_t kSeeds = 60;

Fingerprint Make(const std::string& path) {
  return MakeFingerprint(
      {base::AccountName{"a"}, base::RouteName{"r"}, "POST", path, "body"},
      [](std::string_view s) { return base::StableHash(s); });
}

struct PlantedBug {
  bool no_separation = false;
  bool no_clearing = false;
};

class FakeBook : public PoisonRegistry {
 public:
  FakeBook(PoisonSettings settings, PlantedBug bug)
      : PoisonRegistry(settings), bug_(bug) {}

 protected:
  bool ClearsOnCompletion() const override { return !bug_.no_clearing; }

 private:
  PlantedBug bug_;
};

class FakeGate : public SuspectGate {
 public:
  FakeGate(base::Incarnation self, PoisonRegistry* book, PlantedBug bug)
      : SuspectGate(self, book), bug_(bug) {}

 protected:
  bool KeepsApart() const override { return !bug_.no_separation; }

 private:
  PlantedBug bug_;
};

// Backend servers with their gates. Two callers send requests that crash each
// server that runs them, again and again; others send harmless ones. The owner
// of all counts moves at random; its rumours arrive late and some are lost.
class Fleet {
 public:
  Fleet(std::uint64_t seed, PlantedBug bug) : random_(seed) {
    for (std::size_t it = 0; it < kServers; ++it) {
      servers_.push_back(std::make_unique<Server>());
      Server& server = *servers_.back();
      server.book = std::make_unique<FakeBook>(PoisonSettings{}, bug);
      server.gate = std::make_unique<FakeGate>(base::Incarnation{it + 1},
                                               server.book.get(), bug);
    }
  }

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      if (step % 4'000 == 3'999) owner_ = (owner_ + 1) % kServers;
      SpreadRumours();
      FinishDue();
      for (int n = 0; n < kInnocents; ++n) {
        if (base::RandomBelow(random_, 80) == 0) Send("/ok" + Text(n), false);
      }
      // A new request that crashes servers every 700 ms, each sent again later
      // than a rumour needs to arrive.
      for (int n = 0; 700 * n <= step; ++n) {
        const int age = step - 700 * n;
        if (age <= kResends * 1'200 && age % 1'200 == 0) {
          Send("/crash" + Text(n), true);
        }
      }
    }
  }

  std::map<std::string, int> crashes;
  std::map<std::string, int> refusals;
  int innocent_runs = 0;

 private:
  struct Running {
    base::CallId call;
    std::string path;
    bool poison;
    base::TimePoint end;
  };
  struct Server {
    std::unique_ptr<FakeBook> book;
    std::unique_ptr<FakeGate> gate;
    std::vector<Running> running;
  };
  struct Flight {
    base::TimePoint at;
    std::size_t server;
    PoisonRumour rumour;
  };

  static std::string Text(int n) { return std::to_string(n); }

  void Send(const std::string& path, bool poison) {
    Server& server = *servers_[base::RandomBelow(random_, kServers)];
    const base::CallId call{++last_call_};
    const GateDecision verdict = server.gate->TryStart(call, Make(path), now_);
    if (verdict == GateDecision::kRefuse) ++refusals[path];
    if (verdict != GateDecision::kRun) return;
    const bool slow = path == "/ok0" || path == "/ok1";
    const base::Duration run =
        milliseconds{(slow ? 300 : 5) + base::RandomBelow(random_, 40)};
    server.running.push_back({call, path, poison, now_ + run});
  }

  void FinishDue() {
    for (const auto& server : servers_) {
      const std::vector<Running> running = server->running;
      for (const Running& it : running) {
        if (it.end > now_) continue;
        if (it.poison) {
          ++crashes[it.path];
          server->running.clear();
          for (const auto& report : server->gate->OnCrash(now_)) Report(report);
          break;
        }
        ++innocent_runs;
        const auto report = server->gate->OnFinished(it.call, true, now_);
        if (report) Report(*report);
        const auto same = [&](const Running& r) { return r.call == it.call; };
        auto& list = server->running;
        list.erase(std::find_if(list.begin(), list.end(), same));
      }
    }
  }

  // A report is repeated by its sender until acknowledged, so it arrives once
  // or twice.
  void Report(const PoisonReport& report) {
    for (std::uint64_t it = 0; it <= base::RandomBelow(random_, 2); ++it) {
      const auto rumour =
          servers_[owner_]->book->OnReport(report, 10 + owner_changes(), now_);
      if (!rumour) continue;
      for (std::size_t to = 0; to < kServers; ++to) {
        const base::Duration delay =
            milliseconds{base::RandomBelow(random_, 800)};
        in_flight_.push_back({now_ + delay, to, *rumour});
      }
    }
  }

  std::uint64_t owner_changes() const {
    return static_cast<std::uint64_t>(now_.time_since_epoch() /
                                      milliseconds{4'000});
  }

  void SpreadRumours() {
    for (auto it = in_flight_.begin(); it != in_flight_.end();) {
      if (it->at > now_) {
        ++it;
        continue;
      }
      servers_[it->server]->book->OnRumour(it->rumour, now_);
      it = in_flight_.erase(it);
    }
  }

  base::Random random_;
  base::TimePoint now_{};
  std::uint64_t last_call_ = 0;
  std::size_t owner_ = 0;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<Flight> in_flight_;
};

struct Totals {
  int most_crashes = 0;
  int innocents_refused = 0;
  int poison_refused = 0;
  int innocent_runs = 0;
};

Totals RunFleet(std::uint64_t seed, PlantedBug bug) {
  Fleet fleet(seed, bug);
  fleet.Run();
  Totals totals;
  for (const auto& [path, count] : fleet.crashes) {
    totals.most_crashes = std::max(totals.most_crashes, count);
  }
  for (const auto& [path, count] : fleet.refusals) {
    const bool innocent = path.rfind("/ok", 0) == 0;
    (innocent ? totals.innocents_refused : totals.poison_refused) += count;
  }
  totals.innocent_runs = fleet.innocent_runs;
  return totals;
}

BOOST_AUTO_TEST_SUITE(poison)

BOOST_AUTO_TEST_CASE(stopped_within_the_bound_and_innocents_unharmed) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      const Totals totals = RunFleet(seed, PlantedBug{});
      BOOST_TEST(totals.most_crashes <= 3);
      BOOST_TEST(totals.innocents_refused == 0);
      BOOST_TEST(totals.poison_refused > 0);
    }
  }
}

// Number of refusals of innocents over all seeds.
int InnocentsRefused(PlantedBug bug) {
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    refused += RunFleet(seed, bug).innocents_refused;
  }
  BOOST_TEST_MESSAGE("innocents refused " << refused);
  return refused;
}

BOOST_AUTO_TEST_CASE(without_clearing_innocents_are_condemned) {
  BOOST_TEST(InnocentsRefused({false, true}) > 0);
}

BOOST_AUTO_TEST_CASE(without_separation_innocents_are_condemned) {
  BOOST_TEST(InnocentsRefused({true, false}) > 0);
}

BOOST_AUTO_TEST_CASE(suspects_run_one_at_a_time) {
  PoisonRegistry book(PoisonSettings{});
  SuspectGate gate(base::Incarnation{1}, &book);
  const base::TimePoint now{seconds{1}};
  book.MarkSuspect(Make("/a"), now);
  book.MarkSuspect(Make("/b"), now);
  BOOST_TEST(
      (gate.TryStart(base::CallId{1}, Make("/a"), now) == GateDecision::kRun));
  BOOST_TEST(
      (gate.TryStart(base::CallId{2}, Make("/b"), now) == GateDecision::kWait));
  BOOST_TEST(
      (gate.TryStart(base::CallId{3}, Make("/c"), now) == GateDecision::kRun));
  int blamed = 0;
  for (const PoisonReport& report : gate.OnCrash(now)) {
    if (report.observation != PoisonObservation::kOnlySuspect) continue;
    ++blamed;
    BOOST_TEST((report.fingerprint == Make("/a")));
  }
  BOOST_TEST(blamed == 1);
  BOOST_TEST(
      (gate.TryStart(base::CallId{4}, Make("/b"), now) == GateDecision::kRun));
}

BOOST_AUTO_TEST_CASE(conviction_expires) {
  PoisonRegistry book(PoisonSettings{});
  const base::TimePoint now{seconds{1}};
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.OnReport({Make("/a"),
                   {base::Incarnation{1}, it},
                   PoisonObservation::kOnlySuspect},
                  2, now);
  }
  BOOST_TEST((book.GetStatus(Make("/a"), now) == PoisonStatus::kBlocked));
  BOOST_TEST(
      (book.GetStatus(Make("/a"), now + minutes{11}) == PoisonStatus::kClean));
}

BOOST_AUTO_TEST_CASE(repeated_report_counts_once) {
  PoisonRegistry book(PoisonSettings{});
  const base::TimePoint now{seconds{1}};
  const PoisonReport report{
      Make("/a"), {base::Incarnation{1}, 1}, PoisonObservation::kOnlySuspect};
  for (int it = 0; it < 5; ++it) book.OnReport(report, 2, now);
  BOOST_TEST((book.GetStatus(Make("/a"), now) == PoisonStatus::kSuspect));
}

BOOST_AUTO_TEST_CASE(state_is_bounded_and_keeps_convictions) {
  PoisonSettings settings;
  settings.max_entries = 100;
  PoisonRegistry book(settings);
  const base::TimePoint now{seconds{1}};
  for (std::uint64_t it = 1; it <= 3; ++it) {
    book.OnReport({Make("/a"),
                   {base::Incarnation{1}, it},
                   PoisonObservation::kOnlySuspect},
                  2, now);
  }
  for (int it = 0; it < 1000; ++it) {
    book.MarkSuspect(Make("/s" + std::to_string(it)), now + seconds{1});
  }
  BOOST_TEST(book.size() == 100U);
  BOOST_TEST((book.GetStatus(Make("/a"), now) == PoisonStatus::kBlocked));
  book.Tick(now + minutes{20});
  BOOST_TEST(book.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::poison
