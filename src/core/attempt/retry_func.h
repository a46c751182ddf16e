#ifndef DOGWOODRAIL_CORE_ATTEMPT_RETRY_FUNC_H_
#define DOGWOODRAIL_CORE_ATTEMPT_RETRY_FUNC_H_

#include "core/attempt/attempt_type.h"
#include "core/attempt/retry_budget.h"
#include "core/base/random_type.h"

namespace dogwoodrail::core::attempt {

// True if the failure allows a second execution: the request certainly did
// not run, or the route is idempotent.
bool IsSafeToRetry(const RetryContext& question);

// Decides whether a failed dispatch is retried on another backend server, and
// after which backoff. Takes from the route's budget if it says yes.
RetryDecision DecideRetry(const RetryContext& question,
                          const RetrySettings& settings, RetryBudget& budget,
                          base::TimePoint now, base::Random& random);

}  // namespace dogwoodrail::core::attempt

#endif  // DOGWOODRAIL_CORE_ATTEMPT_RETRY_FUNC_H_
