// Prints the cost of the admission decisions by number of accounts.

#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <deque>
#include <string>
#include <vector>

#include "core/admission/admission_control.h"

DEFINE_int32(calls, 400000, "calls per row");

namespace dogwoodrail::core::admission {
namespace {

constexpr std::size_t kLimit = 50;
constexpr std::size_t kMaxQueued = 20'000;

// Returns the bytes that the process has allocated.
std::size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

// Returns settings with a fixed concurrency limit and long queues.
AdmissionSettings MakeSettings() {
  AdmissionSettings settings;
  settings.limit.learn = false;
  settings.limit.max_limit = kLimit;
  settings.max_queued = kMaxQueued;
  settings.max_wait = std::chrono::hours(1);
  settings.standing_interval = std::chrono::hours(1);
  return settings;
}

// Returns request number `n`, cycling through `accounts` accounts and all
// importance levels.
AdmissionRequest MakeRequest(std::uint64_t n, std::size_t accounts) {
  const auto importance =
      static_cast<base::Importance>(n / accounts % base::kImportanceCount);
  return {base::CallId(n),
          base::AccountName("account" + std::to_string(n % accounts)),
          importance, false, base::TimePoint(std::chrono::hours(1))};
}

// Prints one row. The queue stays full, because one request is offered for each
// request that finishes.
void PrintRow(std::size_t accounts) {
  AdmissionControl control(MakeSettings(), 1);
  base::TimePoint now(std::chrono::seconds(1));
  control.SetState(base::BackendServerState::kReady, now);
  std::deque<base::CallId> running;
  std::uint64_t next = 0;
  for (; next < kLimit; ++next) {
    control.Offer(MakeRequest(next, accounts), now);
    running.push_back(base::CallId(next));
  }
  const std::size_t before = AllocatedBytes();
  for (; next < kLimit + kMaxQueued; ++next) {
    control.Offer(MakeRequest(next, accounts), now);
  }
  const double bytes = static_cast<double>(AllocatedBytes() - before);
  const auto start = std::chrono::steady_clock::now();
  for (int it = 0; it < FLAGS_calls; ++it) {
    now += std::chrono::microseconds(10);
    const auto actions = control.Finish(
        running.front(), {std::chrono::milliseconds(10), ExecutionResult::kOk},
        now);
    running.pop_front();
    for (const AdmissionAction& action : actions) {
      running.push_back(action.call);
    }
    control.Offer(MakeRequest(next++, accounts), now);
  }
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  std::printf("%8zu %18.0f %22.0f\n", accounts, elapsed.count() / FLAGS_calls,
              bytes / kMaxQueued);
}

}  // namespace
}  // namespace dogwoodrail::core::admission

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("%8s %18s %22s\n", "accounts", "ns/offer+finish",
              "bytes/queued call");
  for (const std::size_t accounts : {10, 100, 1000, 10000}) {
    dogwoodrail::core::admission::PrintRow(accounts);
  }
  return 0;
}
