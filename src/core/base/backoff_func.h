#ifndef DOGWOODRAIL_CORE_BASE_BACKOFF_FUNC_H_
#define DOGWOODRAIL_CORE_BASE_BACKOFF_FUNC_H_

#include <cstdint>

#include "core/base/random_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::base {

// Returns the pause after so many earlier failures in a row: doubled with each
// up to the longest, half of it random.
Duration BackoffDelay(std::uint32_t failures, Duration first, Duration longest,
                      Random& random);

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_BACKOFF_FUNC_H_
