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

// Whole tokens; one admits one call.
using Tokens = std::int64_t;
// Orders the requests of one holder for one account.
using RequestSequence = base::StrongNumber<struct RequestSequenceTag>;
// Orders the copies of one account to its standby.
using CopyIndex = base::StrongNumber<struct CopyIndexTag>;

// Rate and burst of a client account over the whole fleet.
struct RateLimit {
  double rate_per_s = 0;
  Tokens burst = 0;

  friend bool operator==(const RateLimit& a, const RateLimit& b) {
    return a.rate_per_s == b.rate_per_s && a.burst == b.burst;
  }
};

// Times and sizes of granting.
struct RateSettings {
  // A grant lapses this long after the holder sent its request.
  Duration grant_lease = std::chrono::seconds(4);
  // Clocks run at most this much too fast.
  std::int64_t drift_ppm = 500;
  Duration lease_margin = std::chrono::milliseconds(100);
  // Demand for which a holder fetches tokens in advance.
  Duration prefetch_horizon = std::chrono::milliseconds(250);
  Duration demand_window = std::chrono::milliseconds(500);
  // A holder without calls for this long returns its tokens.
  Duration idle_time = std::chrono::seconds(2);
  Duration surplus_time = std::chrono::milliseconds(300);
  // Spent tokens are reported at least this often, if they are enough to
  // keep the account from accruing.
  Duration report_interval = std::chrono::milliseconds(100);
  // Longest hold of a call while the grantor says that tokens are short.
  Duration short_hold = std::chrono::milliseconds(40);
  // Longest hold of a call while no grantor answers.
  Duration outage_hold = std::chrono::seconds(2);
  Duration resend_interval = std::chrono::milliseconds(40);
  Duration request_lifetime = std::chrono::seconds(1);
  Duration max_dry_time = std::chrono::milliseconds(200);
  // A ledger starts without tokens, for grantors that know nothing of what a
  // predecessor has granted.
  bool start_empty = false;
  // While no grantor answers for so long, a holder admits calls at its part of
  // this share of the rate; zero: it admits none.
  Duration fallback_after{0};
  double fallback_share = 0.6;
  std::size_t max_pending = 2000;  // held calls of one account at one node
};

// Holder to grantor.
struct RateRequest {
  AccountName account;
  ShardIndex shard;
  RequestSequence sequence;
  Tokens held = 0;          // unspent, when this was sent
  std::uint64_t spent = 0;  // in the holder's life
  Tokens needed = 0;        // for calls that wait
  Tokens wanted = 0;        // for calls to come
};

enum class RateReplyStatus : std::uint8_t {
  kGranted = 1,         // perhaps less than asked, or nothing
  kNotOwner = 2,        // ask for the owner of the shard
  kUnavailable = 3,     // owner, but what its predecessor granted may be out
  kUnknownAccount = 4,  // not in the grantor's configuration
};

// Grantor to holder.
struct RateReply {
  AccountName account;
  ShardIndex shard;
  Epoch epoch;
  RequestSequence sequence;
  RateReplyStatus status = RateReplyStatus::kGranted;
  Tokens granted = 0;
  Duration retry_after{0};    // until the missing tokens have accrued
  std::uint32_t holders = 0;  // of the account at the grantor
};

// What a grantor knows of one holder.
struct HolderState {
  MemberId holder;
  RequestSequence sequence;
  Tokens outstanding = 0;
  Tokens granted = 0;  // in answer to `sequence`
  std::uint64_t spent = 0;
  Duration remaining{0};  // until the grants lapse
};

enum class RateCopyKind : std::uint8_t {
  kHolders = 1,      // holders that changed
  kAccount = 2,      // the whole account
  kSnapshotEnd = 3,  // all accounts of the shard have been sent
};

// Primary to standby.
struct RateCopy {
  RateCopyKind kind = RateCopyKind::kHolders;
  ShardIndex shard;
  Epoch epoch;
  AccountName account;
  CopyIndex index;
  std::int64_t level = 0;  // millionths of a token
  std::vector<HolderState> holders;
};

// Standby to primary.
struct RateCopyAck {
  RateCopyKind kind = RateCopyKind::kHolders;
  ShardIndex shard;
  Epoch epoch;
  AccountName account;
  CopyIndex index;
  bool accepted = false;  // false: the whole account is needed
};

// What the entry does with a call.
struct RateDecision {
  enum class Verdict : std::uint8_t { kAdmitted, kRefused, kPending };
  Verdict verdict = Verdict::kAdmitted;
  base::Reason reason = base::Reason::kNone;
  Duration retry_after{0};
};

// Sends to the owner of the shard.
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
// Decides a call that Admit left pending.
struct ResolveCall {
  CallId call;
  RateDecision decision;
};
// The owner of the shard did not answer, or is another.
struct RefreshShardOwner {
  ShardIndex shard;
};

using RateAction =
    std::variant<SendRateRequest, SendRateReply, SendRateCopy, SendRateCopyAck,
                 ResolveCall, RefreshShardOwner>;
using RateActions = std::vector<RateAction>;

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_RATE_TYPE_H_
