// An instance crashes and starts again under its id. Its first heartbeat is
// late, and meanwhile it announces that it leaves.
#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "../common-3/rig.h"

namespace {

using namespace review3;

constexpr std::int64_t kDrainMs = 2000;  // drain_ms of the site
constexpr std::int64_t kDownMs = 1000;
constexpr std::int64_t kBeatLateMs = 3000;
constexpr std::int64_t kServesOnMs = 9000;  // after its announcement
constexpr std::size_t kLeaving = 1;         // its machine

[[noreturn]] void RunCase(const Arguments& arguments) {
  Record& record = *new Record(arguments.record);
  std::vector<VmSpec> specs;
  for (const char* zone : {"alm-a", "alm-b", "alm-c"}) {
    specs.push_back({zone, "almaty", "batches"});
    specs.push_back({zone, "almaty", "wages"});
  }
  Fleet& fleet = *new Fleet(arguments.root, record, specs);
  const Json config =
      MakeConfig(1,
                 {{"r-list", "/list/", "batches", true, 1000, 2},
                  {"r-ledger", "/ledger/", "wages", true, 1000, 2}},
                 {{"stitchers", {"key-a"}, 0, 0}}, {"batches", "wages"});
  if (!fleet.Start(config, {"/list/0", "/ledger/0"}, "key-a")) {
    fleet.End(kCannotRun);
  }
  SleepMs(4000);
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (std::size_t vm = 0; vm < specs.size(); ++vm) {
    clients.emplace_back([&, vm] {
      while (!stop) {
        std::string attempt;
        const std::int64_t at = NowMs();
        const Message answer =
            fleet.Send(vm, "GET", "/ledger/1", "key-a", 2000, &attempt);
        record.Line("client at " + fleet.vm(vm).name + ": " + attempt +
                    " sent at " + std::to_string(at) + ", answered " +
                    std::to_string(answer.status));
        SleepMs(50);
      }
    });
  }
  Instance& leaving = *fleet.vm(kLeaving).instance;
  const std::string id = leaving.id();
  SleepMs(3000);
  if (arguments.trouble) {
    leaving.Crash();
    SleepMs(kDownMs);
    leaving.Start(id, kBeatLateMs);
  } else {
    SleepMs(kDownMs);
  }
  SleepMs(1200);
  if (!leaving.Leave()) fleet.End(kCannotRun);
  const std::int64_t left_at = NowMs();
  SleepMs(kServesOnMs);
  leaving.Crash();
  stop = true;
  for (std::thread& it : clients) it.join();
  const std::vector<Run> runs = leaving.runs();
  const auto late = std::count_if(runs.begin(), runs.end(), [&](const Run& it) {
    return it.at_ms > left_at + kDrainMs;
  });
  record.Line(
      "requests that reached the instance: " + std::to_string(runs.size()) +
      "; later than drain_ms after the acknowledgement: " +
      std::to_string(late));
  if (runs.empty()) fleet.End(kCannotRun);
  fleet.End(late > 0 ? kBroken : kHeld);
}

}  // namespace

int main(int argc, char** argv) { RunCase(review3::ReadArguments(argc, argv)); }
