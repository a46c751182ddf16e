#include "core/base/backoff_func.h"

#include <algorithm>

namespace dogwoodrail::core::base {
namespace {

constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

// The jitter prevents callers that were synchronized by an outage from retrying
// all at once when it ends.
Duration BackoffDelay(std::uint32_t failures, Duration first,
                      Duration max_delay, Random& random) {
  const std::uint32_t doublings = std::min(failures, kMaxDoublings);
  const Duration delay = std::min(first * (1U << doublings), max_delay);
  const auto half = static_cast<std::uint64_t>(delay.count() / 2);
  return delay / 2 + Duration(RandomBelow(random, half + 1));
}

}  // namespace dogwoodrail::core::base
