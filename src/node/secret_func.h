#ifndef DOGWOODRAIL_NODE_SECRET_FUNC_H_
#define DOGWOODRAIL_NODE_SECRET_FUNC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/config/config_type.h"
#include "core/poison/poison_type.h"

namespace dogwoodrail::node {

// Returns the first half of the SHA-256 hash of a text.
core::poison::Fingerprint FingerprintDigest(std::string_view text);

// Returns the SHA-256 hash of an API key in lower-case hex.
core::config::KeyHash HashKey(const std::string& key);

// Returns `bytes` cryptographically secure random bytes in lower-case hex.
std::string RandomHex(std::size_t bytes);

// Returns a cryptographically secure random number.
std::uint64_t RandomSeed();

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SECRET_FUNC_H_
