#ifndef DOGWOODRAIL_CORE_BASE_HASH_FUNC_H_
#define DOGWOODRAIL_CORE_BASE_HASH_FUNC_H_

#include <cstdint>
#include <string_view>

namespace dogwoodrail::core::base {

// Returns a hash that is stable across processes and versions. It is not
// cryptographic and must not be used for secrets.
std::uint64_t StableHash(std::string_view text);

// Combines two numbers into one hash, for rendezvous hashing.
std::uint64_t MixHash(std::uint64_t a, std::uint64_t b);

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_HASH_FUNC_H_
