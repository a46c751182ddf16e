#ifndef DOGWOODRAIL_NODE_RATE_SYSTEM_H_
#define DOGWOODRAIL_NODE_RATE_SYSTEM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "core/config/config_base.h"
#include "core/rate/rate_grantor.h"
#include "core/rate/rate_limiter.h"
#include "core/shard/shard_type.h"
#include "node/entry_base.h"
#include "wire/rate_codec.h"

namespace dogwoodrail::node {

// Finds the node that grants the rates of a shard of accounts.
struct RateOwners {
  core::shard::MemberId self;
  core::rate::RateAuthority authority;
  // Returns the grantor of a shard, if it is known.
  std::function<std::optional<core::shard::MemberId>(core::shard::ShardIndex)>
      owner;
  // Starts a lookup of the grantor of a shard.
  std::function<void(core::shard::ShardIndex, core::base::TimePoint)> look_up;
};

// Rate limiting at this node: admits entry calls against the rates of their
// client accounts and grants tokens for accounts whose shards this node owns.
class RateSystem {
 public:
  using TimePoint = core::base::TimePoint;

  RateSystem(const core::rate::RateSettings& settings,
             std::uint32_t shard_count, RateOwners owners, wire::Links& links,
             EntrySystem& entry);

  // Applies the account rates of a configuration.
  void SetConfig(const core::config::ConfigState& config, TimePoint now);
  // Scales the granted rates by the live fraction of the recently seen nodes,
  // for a node that can reach only part of them.
  void SetLiveShare(double share, std::size_t nodes, TimePoint now);
  // Handle changes of shard ownership.
  void OnAuthorityGained(core::shard::ShardIndex shard,
                         core::shard::Epoch epoch, core::shard::History history,
                         TimePoint now);
  void OnShardAction(const core::shard::ShardAction& action, TimePoint now);
  // Decides whether a call is admitted; answers the entry system at once or
  // later.
  void OnCall(const EntryCall& call, TimePoint now);
  // Returns the token of a call that has not run.
  void Refund(const core::base::AccountName& account, TimePoint now);
  // Handles a frame from another node.
  void OnFrame(wire::LinkId from, const wire::Bytes& payload, TimePoint now);
  // Sends messages that are due and decides calls whose hold time has passed.
  void Tick(TimePoint now);

  const core::rate::RateLimiter& limiter() const { return limiter_; }
  const core::rate::RateGrantor& grantor() const { return grantor_; }

 private:
  void HandleMessage(const core::shard::MemberId& from,
                     const wire::RateMessage& message, TimePoint now);
  void ExecuteAll(const core::rate::RateActions& actions, TimePoint now);
  void Execute(const core::rate::SendRateRequest& send, TimePoint now);
  void Execute(const core::rate::SendRateReply& send, TimePoint now);
  void Execute(const core::rate::SendRateCopy& send, TimePoint now);
  void Execute(const core::rate::SendRateCopyAck& send, TimePoint now);
  void Execute(const core::rate::ResolveCall& resolve, TimePoint now);
  void Execute(const core::rate::RefreshShardOwner& needed, TimePoint now);
  void Send(const core::shard::MemberId& to, wire::RateMessage message,
            TimePoint now);

  // Passes the rates, scaled by live_share_, to the grantor.
  void UpdateGrantorLimits(TimePoint now);
  // Creates missing ledgers of the accounts whose rates this node grants.
  void EnsureLedgers(TimePoint now);

  RateOwners owners_;
  wire::Links& links_;
  EntrySystem& entry_;
  std::uint32_t shard_count_;
  core::rate::RateGrantor grantor_;
  core::rate::RateLimiter limiter_;
  std::map<core::base::AccountName, core::rate::RateLimit> limits_;
  double live_share_ = 1.0;
  std::unordered_map<core::base::CallId, EntryIndex> pending_calls_;
  std::uint64_t next_call_id_ = 1;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_RATE_SYSTEM_H_
