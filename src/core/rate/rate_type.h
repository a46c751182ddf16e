#ifndef DOGWOODRAIL_CORE_RATE_RATE_TYPE_H_
#define DOGWOODRAIL_CORE_RATE_RATE_TYPE_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "core/shard/shard_type.h"

namespace dogwoodrail::core::rate {

using base::AccountName;
using base::CallId;
using base::Duration;
using base::TimePoint;
using shard::Epoch;
using shard::MemberId;
using shard::ShardIndex;

// Number of tokens. One token admits one call.
using Tokens = std::int64_t;
// Sequence number of a holder's requests for one account.
using RequestSequence = base::StrongNumber<struct RequestSequenceTag>;
// Sequence number of the updates that replicate one account to the standby.
using CopyIndex = base::StrongNumber<struct CopyIndexTag>;

// Rate and burst of a client account, summed over all nodes.
struct RateLimit {
  double rate_per_s = 0;
  Tokens burst = 0;

  friend bool operator==(const RateLimit& a, const RateLimit& b) {
    return a.rate_per_s == b.rate_per_s && a.burst == b.burst;
  }
};

// Settings of token grants, for grantors and holders.
struct RateSettings {
  // A grant expires this long after the holder sent its request.
  Duration grant_lease = std::chrono::seconds(4);
  // Upper bound on how much too fast a node's clock may run.
  std::int64_t max_drift_ppm = 500;
  Duration lease_margin = std::chrono::milliseconds(100);
  // A holder prefetches tokens for the calls expected within this time.
  Duration prefetch_horizon = std::chrono::milliseconds(250);
  // Time constant of the moving average of an account's call rate.
  Duration demand_window = std::chrono::milliseconds(500);
  // A holder that has had no calls for this long returns its tokens.
  Duration idle_time = std::chrono::seconds(2);
  // A holder returns surplus tokens after holding them for this long.
  Duration surplus_time = std::chrono::milliseconds(300);
  // Maximum time between reports of spent tokens, once there are enough of them
  // to keep the account's bucket from refilling.
  Duration report_interval = std::chrono::milliseconds(100);
  // Maximum time that a call waits while the grantor reports too few tokens.
  Duration short_hold = std::chrono::milliseconds(40);
  // Maximum time that a call waits while no grantor answers.
  Duration outage_hold = std::chrono::seconds(2);
  // An unanswered request is resent at this interval, and replaced by a new one
  // after request_lifetime.
  Duration resend_interval = std::chrono::milliseconds(40);
  Duration request_lifetime = std::chrono::seconds(1);
  // Upper bound on the time for which a holder refuses calls without asking the
  // grantor again.
  Duration max_refusal_time = std::chrono::milliseconds(200);
  // Starts ledgers without tokens, for grantors that do not know what their
  // predecessor granted.
  bool start_empty = false;
  // Once no grantor has answered for fallback_after, the holders together admit
  // calls at fallback_share of the rate. Zero disables the fallback.
  Duration fallback_after{0};
  double fallback_share = 0.6;
  // Maximum number of waiting calls of one account at one node.
  std::size_t max_pending = 2000;
};

// Request for tokens, sent by a holder to the grantor.
struct RateRequest {
  AccountName account;
  ShardIndex shard;
  RequestSequence sequence;
  Tokens held = 0;          // unspent when the request was first sent
  std::uint64_t spent = 0;  // total since the holder started
  Tokens needed = 0;        // for waiting calls
  Tokens wanted = 0;        // to prefetch for expected calls
};

enum class RateReplyStatus : std::uint8_t {
  kGranted = 1,         // possibly fewer tokens than requested, or none
  kNotOwner = 2,        // the holder has to look up the owner of the shard
  kUnavailable = 3,     // grants of the previous owner may still be valid
  kUnknownAccount = 4,  // not in the grantor's configuration
};

// Reply to a RateRequest.
struct RateReply {
  AccountName account;
  ShardIndex shard;
  Epoch epoch;
  RequestSequence sequence;
  RateReplyStatus status = RateReplyStatus::kGranted;
  Tokens granted = 0;
  Duration retry_after{0};    // until the next token is available
  std::uint32_t holders = 0;  // number of holders of the account
};

// A grantor's state of one holder, as replicated to the standby.
struct HolderState {
  MemberId holder;
  RequestSequence sequence;
  Tokens outstanding = 0;
  Tokens granted = 0;  // by the reply to `sequence`
  std::uint64_t spent = 0;
  Duration remaining{0};  // until the grants expire
};

enum class RateCopyKind : std::uint8_t {
  kHolders = 1,      // incremental: only holders that changed
  kAccount = 2,      // full state of the account
  kSnapshotEnd = 3,  // all accounts of the shard have been sent
};

// Replication update of one account, sent by the primary to its standby.
struct RateCopy {
  RateCopyKind kind = RateCopyKind::kHolders;
  ShardIndex shard;
  Epoch epoch;
  AccountName account;
  CopyIndex index;
  std::int64_t level = 0;  // millionths of a token
  std::vector<HolderState> holders;
};

// Acknowledgement of a RateCopy.
struct RateCopyAck {
  RateCopyKind kind = RateCopyKind::kHolders;
  ShardIndex shard;
  Epoch epoch;
  AccountName account;
  CopyIndex index;
  bool accepted = false;  // false: the standby needs a kAccount update
};

// Decision of the entry node on a call.
struct RateDecision {
  enum class Verdict : std::uint8_t { kAdmitted, kRefused, kPending };
  Verdict verdict = Verdict::kAdmitted;
  base::Reason reason = base::Reason::kNone;
  Duration retry_after{0};
};

// Sends a request to the owner of the shard.
struct SendRateRequest {
  RateRequest request;
};
struct SendRateReply {
  MemberId to;
  RateReply reply;
};
struct SendRateCopy {
  MemberId to;
  RateCopy copy;
};
struct SendRateCopyAck {
  MemberId to;
  RateCopyAck ack;
};
// Completes a call that RateLimiter::Admit left pending.
struct ResolveCall {
  CallId call;
  RateDecision decision;
};
// Looks up the owner of the shard again, because the known one did not answer
// or no longer owns it.
struct RefreshShardOwner {
  ShardIndex shard;
};

using RateAction =
    std::variant<SendRateRequest, SendRateReply, SendRateCopy, SendRateCopyAck,
                 ResolveCall, RefreshShardOwner>;
using RateActions = std::vector<RateAction>;

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_RATE_TYPE_H_
