// Uses the admission control of dogwoodrail for a service with two slots. The
// library reads no clock and starts no work: the program passes the time in and
// acts on the decisions.
#include <chrono>
#include <cstdio>

#include "core/admission/admission_control.h"
#include "core/base/reason_table.h"

namespace {

namespace admission = dogwoodrail::core::admission;
namespace base = dogwoodrail::core::base;
using std::chrono::milliseconds;

constexpr std::uint64_t kSeed = 1;
constexpr std::uint64_t kCalls = 4;
constexpr milliseconds kServiceTime{10};

// Prints the decision on a call.
void Print(base::CallId call, const char* decision) {
  std::printf("call %llu: %s\n", static_cast<unsigned long long>(call.value()),
              decision);
}

// Prints the decisions on calls that were queued.
void PrintActions(const admission::AdmissionActions& actions) {
  using Kind = admission::AdmissionAction::Kind;
  for (const admission::AdmissionAction& it : actions) {
    Print(it.call, it.kind == Kind::kRun ? "runs after a wait" : "is refused");
  }
}

}  // namespace

int main() {
  admission::AdmissionSettings settings;
  settings.limit.learn = false;
  settings.limit.initial_limit = 2;
  settings.limit.max_limit = 2;
  admission::AdmissionControl control(settings, kSeed);
  base::TimePoint now(std::chrono::seconds(1));
  PrintActions(control.SetState(base::BackendServerState::kReady, now));

  for (std::uint64_t it = 1; it <= kCalls; ++it) {
    admission::AdmissionRequest request;
    request.call = base::CallId(it);
    request.account = base::AccountName(it % 2 == 0 ? "tartu" : "almaty");
    request.importance = base::Importance::kTracking;
    request.deadline = now + std::chrono::seconds(1);
    const admission::AdmissionDecision decision = control.Offer(request, now);
    using Result = admission::AdmissionResult;
    Print(request.call, decision.result == Result::kRun      ? "runs"
                        : decision.result == Result::kQueued ? "waits"
                                                             : "is refused");
    PrintActions(decision.actions);
  }

  now += kServiceTime;
  admission::ExecutionOutcome outcome;
  outcome.latency = kServiceTime;
  PrintActions(control.Finish(base::CallId(1), outcome, now));
  PrintActions(control.Finish(base::CallId(2), outcome, now));
  return control.Snapshot().queued == 0 ? 0 : 1;
}
