#include "core/attempt/retry_func.h"

#include <algorithm>

namespace dogwoodrail::core::attempt {
namespace {

// How a failure affects retries.
enum class FailureClass {
  kNotRetryable,  // another backend server would give the same answer
  kRedirect,      // refused before any work because the server is leaving
  kRetryable,     // overload, or a failed server or connection
};

// A request that may have crashed its backend server is not sent to another: it
// could crash that one as well before the crashes are attributed to the
// request.
FailureClass ClassifyFailure(const RetryContext& context) {
  const bool may_have_crashed =
      context.reason == base::Reason::kBackendServerFailed &&
      context.ran != base::Ran::kNotRun && !context.invalid_answer;
  if (may_have_crashed) return FailureClass::kNotRetryable;
  switch (context.reason) {
    case base::Reason::kNoBackendServer:
    case base::Reason::kBackendServerLeaving:
    case base::Reason::kShuttingDown:
      return FailureClass::kRedirect;
    case base::Reason::kOverloaded:
    case base::Reason::kQueueFull:
    case base::Reason::kDeadlineTooShort:
    case base::Reason::kBackendServerFailed:
    case base::Reason::kConnectionLost:
      return FailureClass::kRetryable;
    default:
      return FailureClass::kNotRetryable;
  }
}

// Exponential backoff with full jitter: uniform between zero and the bound.
base::Duration Backoff(std::uint32_t retries_made,
                       const RetrySettings& settings, base::Random& random) {
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings = std::min(retries_made, kMaxDoublings);
  const base::Duration exponential = settings.backoff_base * (1U << doublings);
  const base::Duration ceiling = std::min(exponential, settings.backoff_cap);
  const auto bound = static_cast<std::uint64_t>(ceiling.count()) + 1;
  return base::Duration{base::RandomBelow(random, bound)};
}

RetryDecision NoRetry(base::Reason reason) {
  return RetryDecision{false, base::Duration{0}, reason};
}

}  // namespace

bool IsSafeToRetry(const RetryContext& context) {
  if (context.ran == base::Ran::kRan) return false;
  return context.idempotent || context.ran == base::Ran::kNotRun;
}

// The retry budget is checked last, so that a retry that is impossible for
// another reason does not use it. Redirects do not use it at all, because they
// cause no extra work and are needed during planned stops; they only count
// against the attempt budget.
RetryDecision DecideRetry(const RetryContext& context,
                          const RetrySettings& settings, RetryBudget& budget,
                          base::TimePoint now, base::Random& random) {
  const FailureClass failure_class = ClassifyFailure(context);
  if (failure_class == FailureClass::kNotRetryable) {
    return NoRetry(context.reason);
  }
  if (!IsSafeToRetry(context)) return NoRetry(context.reason);
  if (!context.has_untried_server) return NoRetry(context.reason);
  if (context.attempts_left == 0) return NoRetry(context.reason);
  const bool may_run_on =
      context.ran != base::Ran::kNotRun && !context.invalid_answer;
  if (may_run_on && !settings.repeat_unknown && !context.nested) {
    return NoRetry(context.reason);
  }
  const bool free_redirect = context.ran == base::Ran::kNotRun &&
                             !context.reached &&
                             context.redirects < settings.free_redirects;
  const bool immediate =
      failure_class == FailureClass::kRedirect || free_redirect;
  const base::Duration backoff =
      immediate ? base::Duration{0}
                : Backoff(context.retries_made, settings, random);
  if (backoff >= context.time_left) return NoRetry(context.reason);
  if (!immediate && !budget.TryRetry(now)) return NoRetry(context.reason);
  return RetryDecision{true, backoff, base::Reason::kNone};
}

}  // namespace dogwoodrail::core::attempt
