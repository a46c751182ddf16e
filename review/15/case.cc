// A request has crashed three instances and is refused. Then all nodes are
// killed at the same moment, twice, and the request comes again.
#include <signal.h>

#include <algorithm>
#include <string>
#include <vector>

#include "../common-3/rig.h"

namespace {

using namespace review3;

constexpr std::int64_t kStableMs = 3000;  // stable_ms of the site
constexpr std::size_t kMaxLateRetries = 3;
constexpr std::size_t kCrashes = 3;
constexpr int kKills = 2;
constexpr int kSends = 4;  // after the start and after each kill
constexpr std::int64_t kSendIntervalMs = 3000;
constexpr std::int64_t kWorkMs = 100;
constexpr std::int64_t kDownMs = 1500;
constexpr std::int64_t kKilledMs = 1000;

void WaitReady(Fleet& fleet) {
  const std::int64_t end = NowMs() + 10'000;
  for (std::size_t it = 0; it < fleet.vms().size(); ++it) {
    while (!fleet.IsReady(it) && NowMs() < end) SleepMs(50);
  }
}

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
                  {"r-release", "/release/", "wages", false, 1200, 2}},
                 {{"stitchers", {"key-a"}, 0, 0}}, {"batches", "wages"});
  if (!fleet.Start(config, {"/list/0", "/release/0"}, "key-a")) {
    fleet.End(kCannotRun);
  }
  SleepMs(4000);
  for (std::size_t vm = 1; vm < specs.size(); vm += 2) {
    Instance& it = *fleet.vm(vm).instance;
    it.work_ms = kWorkMs;
    it.down_ms = kDownMs;
    it.crashes = true;
  }
  const std::string path = "/release/crash";
  for (int kill = 0; kill <= kKills; ++kill) {
    if (kill > 0 && arguments.trouble) {
      record.Line("all nodes are killed");
      for (std::size_t vm = 0; vm < specs.size(); ++vm) {
        fleet.KillNode(vm, SIGKILL);
      }
      SleepMs(kKilledMs);
      for (std::size_t vm = 0; vm < specs.size(); ++vm) fleet.StartNode(vm);
      WaitReady(fleet);
      // Until all machines are in touch.
      SleepMs(kStableMs + 1500);
    }
    for (int it = 0; it < kSends; ++it) {
      const std::size_t vm = 2 * static_cast<std::size_t>(it) % specs.size();
      const std::int64_t at = NowMs();
      std::string attempt;
      const Message answer = fleet.Send(vm, "POST", path, "key-a", 3000,
                                        &attempt, "the same body");
      record.Line("client at " + fleet.vm(vm).name + ": " + attempt +
                  " sent at " + std::to_string(at) + ", answered " +
                  std::to_string(answer.status));
      SleepMs(at + kSendIntervalMs - NowMs());
    }
  }
  std::vector<Run> runs;
  for (const Run& it : fleet.Runs()) {
    if (it.target != path) continue;
    runs.push_back(it);
    record.Line("run of " + it.attempt + " at " + fleet.vm(it.vm).name +
                " from " + std::to_string(it.at_ms) + " on");
  }
  if (runs.size() < kCrashes) fleet.End(kCannotRun);
  const std::int64_t third = runs[kCrashes - 1].at_ms + kWorkMs;
  const auto late = static_cast<std::size_t>(std::count_if(
      runs.begin(), runs.end(),
      [third](const Run& it) { return it.at_ms > third + kStableMs; }));
  record.Line(
      "runs: " + std::to_string(runs.size()) +
      "; later than stable_ms after the third crash: " + std::to_string(late) +
      ", allowed: " + std::to_string(kMaxLateRetries));
  fleet.End(late > kMaxLateRetries ? kBroken : kHeld);
}

}  // namespace

int main(int argc, char** argv) { RunCase(review3::ReadArguments(argc, argv)); }
