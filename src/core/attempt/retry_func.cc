#include "core/attempt/retry_func.h"

#include <algorithm>

namespace dogwoodrail::core::attempt {
namespace {

// How a failure is treated.
enum class FailureClass {
  kFinal,     // another backend server would answer the same
  kRedirect,  // refused before any work by a server that is leaving
  kFailure,   // overload, or a server or connection that failed
};

// A request that may have crashed its backend server is not tried on the next
// one: it could crash that, too, before anybody knows.
FailureClass ClassOf(base::Reason reason, base::Ran ran) {
  const bool may_crash =
      reason == base::Reason::kBackendServerFailed && ran != base::Ran::kNotRun;
  if (may_crash) return FailureClass::kFinal;
  switch (reason) {
    case base::Reason::kNoBackendServer:
    case base::Reason::kBackendServerLeaving:
    case base::Reason::kShuttingDown:
      return FailureClass::kRedirect;
    case base::Reason::kOverloaded:
    case base::Reason::kQueueFull:
    case base::Reason::kDeadlineTooShort:
    case base::Reason::kBackendServerFailed:
    case base::Reason::kConnectionLost:
      return FailureClass::kFailure;
    default:
      return FailureClass::kFinal;
  }
}

// Full jitter: uniform between zero and the exponential backoff.
base::Duration Backoff(std::uint32_t retries_made,
                       const RetrySettings& settings, base::Random& random) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings = std::min(retries_made, kMaxDoublings);
  const base::Duration exponential = settings.backoff_base * (1U << doublings);
  const base::Duration ceiling = std::min(exponential, settings.backoff_cap);
  const auto bound = static_cast<std::uint64_t>(ceiling.count()) + 1;
  return base::Duration{base::RandomBelow(random, bound)};
}

RetryDecision GiveUp(base::Reason reason) {
  return RetryDecision{false, base::Duration{0}, reason};
}

}  // namespace

bool IsSafeToRetry(const RetryContext& question) {
  if (question.ran == base::Ran::kRan) return false;
  return question.idempotent || question.ran == base::Ran::kNotRun;
}

// The budget is asked last, so that a retry that is impossible for another
// reason takes nothing from it. A redirect costs the fleet no work and is
// needed for planned stops, so it takes from the attempt bound only.
RetryDecision DecideRetry(const RetryContext& question,
                          const RetrySettings& settings, RetryBudget& budget,
                          base::TimePoint now, base::Random& random) {
  const FailureClass kind = ClassOf(question.reason, question.ran);
  if (kind == FailureClass::kFinal) return GiveUp(question.reason);
  if (!IsSafeToRetry(question)) return GiveUp(question.reason);
  if (!question.has_untried_server) return GiveUp(question.reason);
  if (question.attempts_left == 0) return GiveUp(question.reason);
  const bool unknown = question.ran != base::Ran::kNotRun;
  if (unknown && !settings.repeat_unknown && !question.nested) {
    return GiveUp(question.reason);
  }
  const bool free = question.ran == base::Ran::kNotRun && !question.reached &&
                    question.redirects < settings.free_redirects;
  const bool at_once = kind == FailureClass::kRedirect || free;
  const base::Duration backoff =
      at_once ? base::Duration{0}
              : Backoff(question.retries_made, settings, random);
  if (backoff >= question.time_left) return GiveUp(question.reason);
  if (!at_once && !budget.TryRetry(now)) return GiveUp(question.reason);
  return RetryDecision{true, backoff, base::Reason::kNone};
}

}  // namespace dogwoodrail::core::attempt
