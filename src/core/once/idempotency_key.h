#ifndef DOGWOODRAIL_CORE_ONCE_IDEMPOTENCY_KEY_H_
#define DOGWOODRAIL_CORE_ONCE_IDEMPOTENCY_KEY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::once {

// UUID version 7: 48 bits of Unix milliseconds, then random bits.
struct IdempotencyKey {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // Returns the time at which the key was created.
  base::WallTime created() const;

  friend bool operator==(const IdempotencyKey& a, const IdempotencyKey& b) {
    return a.high == b.high && a.low == b.low;
  }
};

// Parses the 36 characters of a version 7 UUID; returns nullopt for any other
// text.
std::optional<IdempotencyKey> ParseIdempotencyKey(std::string_view text);

// Formats the key as 36 lower-case characters.
std::string FormatIdempotencyKey(const IdempotencyKey& key);

// Identifies a call that a backend server makes without a key.
struct DerivedKeySource {
  base::RequestId root;
  base::WallTime root_received;
  base::RouteName route;
  std::string path;
  std::uint64_t body_digest = 0;
};

// Derives the key of a call that a backend server makes without one. The same
// call within the same root request always gets the same key.
IdempotencyKey DeriveIdempotencyKey(const DerivedKeySource& source);

// An idempotency key within its client account.
struct ClaimId {
  std::uint64_t account_hash = 0;
  IdempotencyKey key;

  friend bool operator==(const ClaimId& a, const ClaimId& b) {
    return a.account_hash == b.account_hash && a.key == b.key;
  }
};

// Combines a key with its client account.
ClaimId MakeClaimId(const base::AccountName& account,
                    const IdempotencyKey& key);

// Returns the text that is hashed to choose the claim's shard.
std::string ClaimShardKey(const ClaimId& id);

// Hash for tables of claims.
struct ClaimIdHash {
  std::size_t operator()(const ClaimId& id) const;
};

}  // namespace dogwoodrail::core::once

#endif  // DOGWOODRAIL_CORE_ONCE_IDEMPOTENCY_KEY_H_
