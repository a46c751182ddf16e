#ifndef DOGWOODRAIL_CORE_ONCE_CLAIM_BASE_H_
#define DOGWOODRAIL_CORE_ONCE_CLAIM_BASE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/once/once_type.h"

namespace dogwoodrail::core::once {

// State of one idempotency key at the owner or its standby.
struct Claim {
  std::uint64_t request_digest = 0;
  ClaimNonce nonce;
  TimePoint in_progress_until;
  std::unique_ptr<std::string> answer;  // kDone: null if too large or evicted
  std::uint32_t serial = 0;
  ClaimState state = ClaimState::kUnknown;
  bool copy_pending = false;  // the grant waits for the standby's copy
};

// A copy that the standby has not acknowledged yet.
struct PendingCopy {
  ClaimId id;
  std::optional<MemberId> grant_to;  // recipient of the delayed grant
  TimePoint sent;
};

// Transfer of all claims to a new standby, one batch at a time.
struct Snapshot {
  std::vector<ClaimId> ids;
  std::size_t next = 0;  // index after the batch in flight
  std::uint32_t batch = 0;
  std::uint64_t sequence = 0;
  TimePoint sent;
  bool active = false;
};

// Claims of one shard at the owner or its standby.
struct ClaimShard {
  std::unordered_map<ClaimId, Claim, ClaimIdHash> claims;
  // Claims by the wall clock second in which they expire.
  std::map<std::int64_t, std::vector<ClaimId>> expiries;
  Epoch epoch;           // in which this node acts or accepts copies
  Epoch complete_epoch;  // standby: epoch of its complete snapshot
  std::uint32_t next_batch = 1;
  // The state of keys created up to this time may be lost.
  WallTime gap_until{};
  bool owner = false;
  std::optional<MemberId> standby;
  std::uint64_t last_sequence = 0;
  std::map<std::uint64_t, PendingCopy> pending;
  Snapshot snapshot;
};

}  // namespace dogwoodrail::core::once

#endif  // DOGWOODRAIL_CORE_ONCE_CLAIM_BASE_H_
