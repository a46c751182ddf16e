#include "soak/schedule.h"

#include <array>
#include <random>

namespace dogwoodrail::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWarmUp{1000};
constexpr milliseconds kCalmEnd{3000};  // no fault starts so late in the run
constexpr std::uint64_t kMaxGapMs = 800;
constexpr std::uint64_t kMaxPauseMs = 2500;
constexpr std::uint64_t kMaxBurstPauseMs = 150;
constexpr std::uint64_t kBurstOneIn = 3;

constexpr std::array<const char*, static_cast<std::size_t>(FaultKind::kCount)>
    kNames{"stop",          "stop_twice",    "stop_reload", "reload",
           "reload_twice",  "reload_stop",   "settings",    "bad_settings",
           "settings_only", "tickets",       "kill",        "backend_leaves",
           "pause",         "crash_request", "odd_entry",   "repeated_refusal",
           "cut_head",      "sound_answers", "older_store"};

// The distributions of the standard library differ between its makers, so that
// numbers are drawn by modulo.
std::uint64_t Draw(std::mt19937_64& random, std::uint64_t limit) {
  return random() % limit;
}

}  // namespace

const char* FaultName(FaultKind kind) {
  return kNames.at(static_cast<std::size_t>(kind));
}

std::vector<FaultKind> FaultsBefore(FaultKind end) {
  std::vector<FaultKind> kinds;
  kinds.reserve(static_cast<std::size_t>(end));
  for (int it = 0; it < static_cast<int>(end); ++it) {
    kinds.push_back(static_cast<FaultKind>(it));
  }
  return kinds;
}

std::string FaultText(const Fault& fault) {
  return std::to_string(fault.at.count()) + " ms " + FaultName(fault.kind) +
         " vm " + std::to_string(fault.vm) + " gap " +
         std::to_string(fault.gap.count()) + " ms";
}

std::vector<Fault> MakeSchedule(const ScheduleSpec& spec) {
  std::mt19937_64 random(spec.seed);
  std::vector<Fault> faults;
  milliseconds at = kWarmUp;
  while (at + kCalmEnd < spec.length) {
    Fault fault;
    fault.kind = spec.kinds.at(Draw(random, spec.kinds.size()));
    fault.vm = Draw(random, spec.vms);
    fault.at = at;
    fault.gap = milliseconds(Draw(random, kMaxGapMs));
    const bool in_burst = Draw(random, kBurstOneIn) == 0;
    at += milliseconds(1 +
                       Draw(random, in_burst ? kMaxBurstPauseMs : kMaxPauseMs));
    if (spec.without.count(FaultName(fault.kind)) == 0) faults.push_back(fault);
  }
  return faults;
}

}  // namespace dogwoodrail::soak
