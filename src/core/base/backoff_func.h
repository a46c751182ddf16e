#ifndef DOGWOODRAIL_CORE_BASE_BACKOFF_FUNC_H_
#define DOGWOODRAIL_CORE_BASE_BACKOFF_FUNC_H_

#include <cstdint>

#include "core/base/random_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::base {

// Returns the delay before the next retry after `failures` previous consecutive
// failures: exponential from `first` up to `max_delay`, with random jitter of
// up to one half.
Duration BackoffDelay(std::uint32_t failures, Duration first,
                      Duration max_delay, Random& random);

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_BACKOFF_FUNC_H_
