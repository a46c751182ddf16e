#ifndef DOGWOODRAIL_CORE_BASE_RANDOM_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_RANDOM_TYPE_H_

#include <cstdint>
#include <random>

namespace dogwoodrail::core::base {

// Random number generator of the core; seeded, so that runs can be reproduced.
using Random = std::mt19937_64;

// Returns a number in [0, bound); bound must be positive.
inline std::uint64_t RandomBelow(Random& random, std::uint64_t bound) {
  return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(random);
}

// Returns a number in [0, 1).
inline double RandomUnit(Random& random) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(random);
}

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_RANDOM_TYPE_H_
