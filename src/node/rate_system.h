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

// Who grants the rates of a shard of accounts.
struct RateOwners {
  core::shard::MemberId self;
  core::rate::RateAuthority authority;
  // Returns the node that grants, if it is known.
  std::function<std::optional<core::shard::MemberId>(core::shard::ShardIndex)>
      owner;
  // Looks for the node that grants.
  std::function<void(core::shard::ShardIndex, core::base::TimePoint)> look_up;
};

// The rates of client accounts at this node: the gate that entry calls pass,
// and the grants for accounts whose shards this node owns.
class RateSystem {
 public:
  using TimePoint = core::base::TimePoint;

  RateSystem(const core::rate::RateSettings& settings,
             std::uint32_t shard_count, RateOwners owners, wire::Links& links,
             EntrySystem& entry);

  // Puts the accounts of a configuration in force.
  void SetConfig(const core::config::ConfigState& config, TimePoint now);
  // Takes part of the rates only, for a node that sees part of the fleet.
  void SetLiveShare(double share, std::size_t nodes, TimePoint now);
  // Follows the ownership of shards.
  void OnAuthorityGained(core::shard::ShardIndex shard,
                         core::shard::Epoch epoch, core::shard::History history,
                         TimePoint now);
  void OnShardAction(const core::shard::ShardAction& action, TimePoint now);
  // Decides a call; answers the entry system at once or later.
  void OnCall(const EntryCall& call, TimePoint now);
  // Gives back the token of a call that has not run.
  void Refund(const core::base::AccountName& account, TimePoint now);
  // Takes a frame from another node.
  void OnFrame(wire::LinkId from, const wire::Bytes& payload, TimePoint now);
  // Sends what is due and decides calls held too long.
  void Tick(TimePoint now);

  const core::rate::RateLimiter& limiter() const { return limiter_; }
  const core::rate::RateGrantor& grantor() const { return grantor_; }

 private:
  void Take(const core::shard::MemberId& from, const wire::RateMessage& message,
            TimePoint now);
  void Perform(const core::rate::RateActions& actions, TimePoint now);
  void Do(const core::rate::SendRateRequest& send, TimePoint now);
  void Do(const core::rate::SendRateReply& send, TimePoint now);
  void Do(const core::rate::SendRateCopy& send, TimePoint now);
  void Do(const core::rate::SendRateCopyAck& send, TimePoint now);
  void Do(const core::rate::ResolveCall& resolve, TimePoint now);
  void Do(const core::rate::RefreshShardOwner& needed, TimePoint now);
  void Send(const core::shard::MemberId& to, wire::RateMessage message,
            TimePoint now);

  // Gives the rates in force to the grantor.
  void SetRows(TimePoint now);
  // Makes the ledgers of the accounts that this node grants.
  void PrepareLedgers(TimePoint now);

  RateOwners owners_;
  wire::Links& links_;
  EntrySystem& entry_;
  std::uint32_t shard_count_;
  core::rate::RateGrantor grantor_;
  core::rate::RateLimiter limiter_;
  std::map<core::base::AccountName, core::rate::RateLimit> rows_;
  double live_share_ = 1.0;
  std::unordered_map<core::base::CallId, EntryIndex> pending_;
  std::uint64_t next_call_ = 1;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_RATE_SYSTEM_H_
