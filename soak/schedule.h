#ifndef DOGWOODRAIL_SOAK_SCHEDULE_H_
#define DOGWOODRAIL_SOAK_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "soak/fault_type.h"

namespace dogwoodrail::soak {

// What a schedule is drawn from. Equal specs have equal schedules.
struct ScheduleSpec {
  std::uint64_t seed = 1;
  std::chrono::seconds length{60};
  std::size_t vms = 4;
  // Kinds that the fleet can play.
  std::vector<FaultKind> kinds = FaultsBefore(FaultKind::kCount);
  std::set<std::string> without;  // names of kinds that are left out
};

// Returns faults in order of time, single and in bursts that overlap.
std::vector<Fault> MakeSchedule(const ScheduleSpec& spec);

}  // namespace dogwoodrail::soak

#endif  // DOGWOODRAIL_SOAK_SCHEDULE_H_
