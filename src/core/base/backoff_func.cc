#include "core/base/backoff_func.h"

#include <algorithm>

namespace dogwoodrail::core::base {
namespace {

constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

// The random half keeps callers that an outage has brought into step from
// asking all at once when it ends.
Duration BackoffDelay(std::uint32_t failures, Duration first, Duration longest,
                      Random& random) {
  const std::uint32_t doublings = std::min(failures, kMaxDoublings);
  const Duration pause = std::min(first * (1U << doublings), longest);
  const auto half = static_cast<std::uint64_t>(pause.count() / 2);
  return pause / 2 + Duration(RandomBelow(random, half + 1));
}

}  // namespace dogwoodrail::core::base
