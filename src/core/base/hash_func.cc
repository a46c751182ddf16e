#include "core/base/hash_func.h"

namespace dogwoodrail::core::base {
namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr std::uint64_t kMixMultiplier1 = 0xbf58476d1ce4e5b9ULL;
constexpr std::uint64_t kMixMultiplier2 = 0x94d049bb133111ebULL;

// Final mixing step of splitmix64.
std::uint64_t Finalize(std::uint64_t n) {
  n = (n ^ (n >> 30U)) * kMixMultiplier1;
  n = (n ^ (n >> 27U)) * kMixMultiplier2;
  return n ^ (n >> 31U);
}

}  // namespace

// FNV-1a with a final mixing step. All nodes must choose the same shard owners
// from this value, and std::hash and Boost.ContainerHash may differ between
// builds.
std::uint64_t StableHash(std::string_view text) {
  std::uint64_t hash = kFnvOffset;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  return Finalize(hash);
}

std::uint64_t MixHash(std::uint64_t a, std::uint64_t b) {
  return Finalize(a ^ Finalize(b + kFnvOffset));
}

}  // namespace dogwoodrail::core::base
