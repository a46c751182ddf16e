#ifndef DOGWOODRAIL_CORE_ATTEMPT_RETRY_FUNC_H_
#define DOGWOODRAIL_CORE_ATTEMPT_RETRY_FUNC_H_

#include "core/attempt/attempt_type.h"
#include "core/attempt/retry_budget.h"
#include "core/base/random_type.h"

namespace dogwoodrail::core::attempt {

// Returns true if a second execution is safe: the request was not executed, or
// its outcome is unknown and the route is idempotent.
bool IsSafeToRetry(const RetryContext& context);

// Decides whether a failed dispatch is retried on another backend server, and
// after which backoff. A retry that is not immediate is taken from the route's
// retry budget.
RetryDecision DecideRetry(const RetryContext& context,
                          const RetrySettings& settings, RetryBudget& budget,
                          base::TimePoint now, base::Random& random);

}  // namespace dogwoodrail::core::attempt

#endif  // DOGWOODRAIL_CORE_ATTEMPT_RETRY_FUNC_H_
