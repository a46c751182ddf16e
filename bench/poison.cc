// Prints the cost of the poison check at growing numbers of suspects.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <vector>

#include "core/poison/suspect_gate.h"

namespace dogwoodrail::core::poison {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kSizes[] = {10, 100, 1'000, 10'000};
constexpr int kRounds = 200'000;

double NsEach(Clock::time_point since, std::size_t count) {
  const std::chrono::duration<double, std::nano> passed = Clock::now() - since;
  return passed.count() / static_cast<double>(count);
}

void Measure(std::size_t suspects) {
  const base::TimePoint now{std::chrono::seconds{1}};
  const std::size_t before = mallinfo2().uordblks;
  PoisonRegistry registry(PoisonSettings{});
  auto start = Clock::now();
  for (std::size_t it = 0; it < suspects; ++it) {
    registry.OnReport({Fingerprint{it, it},
                       {base::Incarnation{1}, it},
                       PoisonObservation::kInFlight},
                      2, now);
  }
  const double report_ns = NsEach(start, suspects);
  const std::size_t bytes = mallinfo2().uordblks - before;
  SuspectGate gate(base::Incarnation{1}, &registry);
  start = Clock::now();
  for (int it = 0; it < kRounds; ++it) {
    const auto number = static_cast<std::uint64_t>(it);
    const base::CallId call{number};
    gate.TryStart(call, Fingerprint{suspects + number, 1}, now);
    gate.OnFinished(call, true, now);
  }
  const double check_ns = NsEach(start, kRounds);
  std::printf("%9zu %10.0f %15.0f %10.0f\n", suspects, report_ns, check_ns,
              static_cast<double>(bytes) / static_cast<double>(suspects));
}

}  // namespace
}  // namespace dogwoodrail::core::poison

int main() {
  std::printf("%9s %10s %15s %10s\n", "suspects", "report_ns",
              "check_a_call_ns", "bytes");
  for (const std::size_t size : dogwoodrail::core::poison::kSizes) {
    dogwoodrail::core::poison::Measure(size);
  }
  return 0;
}
