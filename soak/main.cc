// Plays a seeded schedule of faults on a fleet of real processes on loopback
// and checks the promises to callers. Exit code: 0 if all were kept, 1 if one
// was broken, 2 if the run shows nothing.
#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <future>
#include <iostream>
#include <sstream>
#include <thread>

#include "soak/callers.h"
#include "soak/checker.h"
#include "soak/fault_player.h"
#include "soak/schedule.h"
#include "soak/soak_fleet.h"

DEFINE_uint64(seed, 1, "seed of the schedule");
DEFINE_int32(seconds, 60, "length of the schedule");
DEFINE_int32(nodes, 4, "number of nodes, each with a backend server");
DEFINE_int32(callers, 4, "callers of each node, one thread each");
DEFINE_string(without, "", "kinds of faults to leave out, comma-separated");
DEFINE_string(adapter, "own", "adapter of the nodes: own or platform");
DEFINE_bool(verbose, false, "print each fault as it begins");

namespace dogwoodrail::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kExitKept = 0;
constexpr int kExitBroken = 1;
constexpr int kExitShowsNothing = 2;
constexpr int kMinNodes = 2;
constexpr int kMaxNodes = 60;  // two processes each
constexpr int kMaxCallers = 16;
constexpr const char* kOwnAdapter = "own";
constexpr const char* kPlatformAdapter = "platform";
constexpr milliseconds kConfigTimeout{10000};
constexpr milliseconds kStep{10};
constexpr milliseconds kCheckInterval{5000};
constexpr std::size_t kShownBroken = 10;
// With fewer successes a run says little about the promises.
constexpr std::size_t kMinSuccesses = 100;

SoakFleet FleetFromFlags() {
  const std::string name =
      "soak-" + FLAGS_adapter + "-" + std::to_string(FLAGS_seed);
  const auto size = static_cast<std::size_t>(FLAGS_nodes);
  return FLAGS_adapter == kPlatformAdapter ? MakePlatformFleet(name, size)
                                           : MakeOwnFleet(name, size);
}

ScheduleSpec SpecFromFlags(const SoakFleet& fleet) {
  ScheduleSpec spec;
  spec.seed = FLAGS_seed;
  spec.length = seconds(FLAGS_seconds);
  spec.vms = fleet.size;
  spec.kinds = fleet.faults;
  std::istringstream in(FLAGS_without);
  for (std::string it; std::getline(in, it, ',');) spec.without.insert(it);
  return spec;
}

// What a check looks at, as of one moment.
struct Snapshot {
  std::vector<RequestRecord> records;
  std::vector<Disruption> disruptions;
  std::vector<Broken> ends;  // promises broken by how processes ended
};

Snapshot TakeSnapshot(const FaultPlayer& player, Callers& callers) {
  Snapshot snapshot;
  snapshot.records = callers.Records();
  snapshot.disruptions = player.disruptions();
  snapshot.ends = player.broken();
  return snapshot;
}

// Runs are counted after the snapshot, so that none of its requests is missed.
std::vector<Broken> Check(const SoakFleet& fleet, const Snapshot& snapshot) {
  std::vector<Broken> broken =
      FindBroken(snapshot.records, fleet.count_runs(), snapshot.disruptions);
  broken.insert(broken.begin(), snapshot.ends.begin(), snapshot.ends.end());
  return broken;
}

void Print(const std::vector<Broken>& broken, const FaultPlayer& player,
           const std::string& directory) {
  const std::size_t shown = std::min(broken.size(), kShownBroken);
  for (std::size_t it = 0; it < shown; ++it) {
    std::cout << "BROKEN: " << broken[it].promise << ": " << broken[it].detail
              << "\n";
  }
  std::cout << "last faults:\n"
            << player.LastFaults() << "logs: " << directory << "\n";
}

// Every node follows the last change within seconds of the last fault. A node
// that had to be started again meanwhile does so as well.
void AddBrokenConfig(const SoakFleet& fleet, FaultPlayer& player,
                     std::vector<Broken>& broken) {
  for (std::size_t it = 0; it < fleet.size; ++it) {
    const bool follows = integration::WaitUntil(kConfigTimeout, [&] {
      player.Advance();
      return fleet.follows_config(it);
    });
    if (follows) continue;
    broken.push_back({"an accepted configuration is in force",
                      "not at node " + std::to_string(it)});
  }
}

// Plays faults until the end of the schedule or the first broken promise. A
// check takes seconds in a long run and has a thread of its own, as faults
// would be played late otherwise.
std::vector<Broken> Play(const SoakFleet& fleet, FaultPlayer& player,
                         Callers& callers, const RunClock& clock) {
  milliseconds next_check = kCheckInterval;
  std::future<std::vector<Broken>> check;
  while (clock.Now() < seconds(FLAGS_seconds)) {
    player.Advance();
    if (check.valid() &&
        check.wait_for(seconds(0)) == std::future_status::ready) {
      auto broken = check.get();
      if (!broken.empty()) return broken;
    }
    if (!check.valid() && clock.Now() >= next_check) {
      next_check = clock.Now() + kCheckInterval;
      check = std::async(std::launch::async,
                         [&fleet, snapshot = TakeSnapshot(player, callers)] {
                           return Check(fleet, snapshot);
                         });
    }
    std::this_thread::sleep_for(kStep);
  }
  callers.Stop();
  std::vector<Broken> broken = Check(fleet, TakeSnapshot(player, callers));
  AddBrokenConfig(fleet, player, broken);
  return broken;
}

int Run() {
  if (FLAGS_nodes < kMinNodes || FLAGS_nodes > kMaxNodes) {
    std::cerr << "soak: --nodes must be 2 to 60\n";
    return kExitShowsNothing;
  }
  if (FLAGS_callers < 1 || FLAGS_callers > kMaxCallers) {
    std::cerr << "soak: --callers must be 1 to 16\n";
    return kExitShowsNothing;
  }
  if (FLAGS_adapter != kOwnAdapter && FLAGS_adapter != kPlatformAdapter) {
    std::cerr << "soak: --adapter must be own or platform\n";
    return kExitShowsNothing;
  }
  const SoakFleet fleet = FleetFromFlags();
  const RunClock clock;
  const auto faults = MakeSchedule(SpecFromFlags(fleet));
  FaultPlayer player(fleet, clock, faults);
  Callers callers(fleet, clock, static_cast<std::size_t>(FLAGS_callers));
  const std::vector<Broken> broken = Play(fleet, player, callers, clock);
  const auto records = callers.Records();
  const auto successes = static_cast<std::size_t>(
      std::count_if(records.begin(), records.end(),
                    [](const auto& it) { return it.right_body; }));
  std::cout << "seed " << FLAGS_seed << ": faults " << faults.size()
            << ", requests " << records.size() << ", successes " << successes
            << ", broken " << broken.size() << ", faults late by up to "
            << player.max_delay().count() << " ms\n";
  if (!broken.empty()) {
    Print(broken, player, fleet.directory);
    return kExitBroken;
  }
  return successes < kMinSuccesses ? kExitShowsNothing : kExitKept;
}

}  // namespace
}  // namespace dogwoodrail::soak

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_verbose) spdlog::set_level(spdlog::level::debug);
  try {
    return dogwoodrail::soak::Run();
  } catch (const std::exception& e) {
    std::cerr << "soak: " << e.what() << "\n";
    return 2;
  }
}
