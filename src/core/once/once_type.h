#ifndef DOGWOODRAIL_CORE_ONCE_ONCE_TYPE_H_
#define DOGWOODRAIL_CORE_ONCE_ONCE_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "core/once/idempotency_key.h"
#include "core/shard/shard_type.h"

namespace dogwoodrail::core::once {

using base::Duration;
using base::TimePoint;
using base::WallTime;
using shard::Epoch;
using shard::MemberId;
using shard::ShardIndex;

// Identifies one call at one process of an entry node. Grants are bound to it.
struct ClaimNonce {
  base::Incarnation incarnation;
  base::CallId call;

  friend bool operator==(const ClaimNonce& a, const ClaimNonce& b) {
    return a.incarnation == b.incarnation && a.call == b.call;
  }
  friend bool operator!=(const ClaimNonce& a, const ClaimNonce& b) {
    return !(a == b);
  }
};

// State of a key at its owner. Within one grant the value only increases.
enum class ClaimState : std::uint8_t {
  kClaimed = 1,   // granted; the request may run
  kUnknown = 2,   // may have run
  kReleased = 3,  // did not run; may be claimed again
  kDone = 4,      // ran, with a complete answer
};

// Entry node to owner: requests the right to run a request.
struct ClaimRequest {
  ShardIndex shard;
  ClaimId id;
  std::uint64_t request_digest = 0;  // of route, method, path and body
  ClaimNonce nonce;
  Duration time_left{0};  // until the call's deadline
};

enum class ClaimVerdict : std::uint8_t {
  kGranted = 1,
  kReplay = 2,           // already ran; the answer is attached
  kInProgress = 3,       // another call with the key is running
  kOutcomeUnknown = 4,   // may have run, or its state is lost
  kOtherRequest = 5,     // the key was used with a different request
  kFull = 6,             // the owner's claim limit is reached
  kCreatedInFuture = 7,  // created further ahead than the clock skew
  kNotOwner = 8,         // this node is not the owner
};

// Owner to entry node: the verdict on a claim.
struct ClaimAnswer {
  ClaimNonce nonce;
  ClaimVerdict verdict = ClaimVerdict::kNotOwner;
  std::string answer;  // kReplay: as encoded by the entry node
};

// Entry node to owner: outcome of a granted call. kNotRun releases the claim.
struct ClaimOutcome {
  ShardIndex shard;
  ClaimId id;
  ClaimNonce nonce;
  base::Ran ran = base::Ran::kUnknown;
  std::string answer;  // kRan: encoded answer, empty if too large to keep
};

// Owner to entry node: the outcome is recorded or no longer needed.
struct ClaimOutcomeAck {
  ClaimNonce nonce;
};

// One claim as copied to the standby.
struct ClaimRecord {
  ClaimId id;
  std::uint64_t request_digest = 0;
  ClaimNonce nonce;
  std::uint32_t serial = 0;  // number of grants of the key
  ClaimState state = ClaimState::kUnknown;
  Duration in_progress{0};  // time for which the call may still run
  std::string answer;
};

// Primary to standby. Batches of a snapshot are numbered from 1. Changes made
// outside a snapshot have batch number 0.
struct ClaimCopy {
  ShardIndex shard;
  Epoch epoch;
  std::uint64_t sequence = 0;
  std::uint32_t batch = 0;
  bool last_batch = false;
  WallTime gap_until{};  // keys created up to this time may have run
  std::vector<ClaimRecord> records;
};

// Standby to primary: the copy is stored.
struct ClaimCopyAck {
  ShardIndex shard;
  Epoch epoch;
  std::uint64_t sequence = 0;
};

using ClaimMessage = std::variant<ClaimRequest, ClaimAnswer, ClaimOutcome,
                                  ClaimOutcomeAck, ClaimCopy, ClaimCopyAck>;

// A message to a node, possibly this one.
struct SendClaimMessage {
  MemberId to;
  ClaimMessage message;
};
using ClaimMessages = std::vector<SendClaimMessage>;

// Settings of at-most-once execution.
struct OnceSettings {
  // Largest age of an accepted key.
  Duration retention = std::chrono::minutes(10);
  // Largest difference between any two wall clocks, including callers'.
  Duration clock_skew = std::chrono::seconds(5);
  std::size_t max_claims = 200'000;
  std::size_t max_answer_bytes = 4096;
  std::size_t max_stored_answer_bytes = 16U << 20U;
  Duration copy_retry = std::chrono::milliseconds(100);
  // How long after a call's deadline its outcome may still arrive.
  Duration outcome_margin = std::chrono::seconds(2);
  std::size_t snapshot_batch = 256;
  // Settings of the entry node.
  Duration claim_retry = std::chrono::milliseconds(100);
  Duration claim_timeout = std::chrono::seconds(3);
  Duration outcome_retry = std::chrono::milliseconds(300);
  int max_outcome_sends = 5;
};

}  // namespace dogwoodrail::core::once

#endif  // DOGWOODRAIL_CORE_ONCE_ONCE_TYPE_H_
