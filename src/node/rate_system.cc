#include "node/rate_system.h"

#include <cmath>
#include <utility>
#include <variant>

#include "core/shard/shard_func.h"

namespace dogwoodrail::node {

using core::base::AccountName;
using core::base::CallId;
using core::rate::RateDecision;
using core::shard::MemberId;
using core::shard::ShardIndex;

namespace {

GateResult ToGateResult(const RateDecision& decision) {
  GateResult result;
  result.admitted = decision.verdict == RateDecision::Verdict::kAdmitted;
  result.reason = decision.reason;
  result.retry_after = decision.retry_after;
  return result;
}

}  // namespace

RateSystem::RateSystem(const core::rate::RateSettings& settings,
                       std::uint32_t shard_count, RateOwners owners,
                       wire::Links& links, EntrySystem& entry)
    : owners_(std::move(owners)),
      links_(links),
      entry_(entry),
      shard_count_(shard_count),
      grantor_(settings, owners_.authority),
      limiter_(settings, shard_count) {}

// Accounts without a rate are unlimited and have no entry in limits_.
void RateSystem::SetConfig(const core::config::ConfigState& config,
                           TimePoint now) {
  std::map<AccountName, core::rate::RateLimit> ended = std::move(limits_);
  limits_.clear();
  for (const auto& [name, account] : config.accounts()) {
    if (account.rate_per_s == 0) continue;
    const core::rate::RateLimit limit{static_cast<double>(account.rate_per_s),
                                      account.burst};
    limiter_.OnConfig(name, limit);
    limits_[name] = limit;
    ended.erase(name);
  }
  UpdateGrantorLimits(now);
  for (const auto& [name, limit] : ended) {
    grantor_.OnRemoved(name);
    if (config.FindAccount(name) != nullptr) {
      limiter_.OnUnlimited(name);
    } else {
      limiter_.OnRemoved(name);
    }
  }
  ExecuteAll(limiter_.TakeActions(), now);
}

void RateSystem::SetLiveShare(double share, std::size_t nodes, TimePoint now) {
  limiter_.SetNodeCount(nodes);
  if (share == live_share_) return;
  live_share_ = share;
  UpdateGrantorLimits(now);
}

void RateSystem::UpdateGrantorLimits(TimePoint now) {
  for (const auto& [name, limit] : limits_) {
    const double burst =
        std::ceil(live_share_ * static_cast<double>(limit.burst));
    grantor_.OnConfig(name,
                      {limit.rate_per_s * live_share_,
                       static_cast<core::rate::Tokens>(burst)},
                      now);
  }
  EnsureLedgers(now);
}

void RateSystem::EnsureLedgers(TimePoint now) {
  for (const auto& [name, limit] : limits_) {
    grantor_.EnsureLedger(core::shard::ShardOf(name.value(), shard_count_),
                          name, now);
  }
}

void RateSystem::OnAuthorityGained(core::shard::ShardIndex shard,
                                   core::shard::Epoch epoch,
                                   core::shard::History history,
                                   TimePoint now) {
  grantor_.OnAuthorityGained(shard, epoch, history, now);
  EnsureLedgers(now);
}

void RateSystem::OnCall(const EntryCall& call, TimePoint now) {
  const EntryIndex index = call.index;
  if (limits_.count(call.account) == 0) {
    GateResult unlimited;
    unlimited.admitted = true;
    return entry_.OnGateResult(index, unlimited, now);
  }
  const CallId id(next_call_id_++);
  const RateDecision decision = limiter_.Admit(call.account, id, now);
  if (decision.verdict == RateDecision::Verdict::kPending) {
    pending_calls_.emplace(id, index);
  }
  ExecuteAll(limiter_.TakeActions(), now);
  if (decision.verdict == RateDecision::Verdict::kPending) return;
  entry_.OnGateResult(index, ToGateResult(decision), now);
}

void RateSystem::Refund(const AccountName& account, TimePoint now) {
  limiter_.Refund(account, now);
}

void RateSystem::OnFrame(wire::LinkId from, const wire::Bytes& payload,
                         TimePoint now) {
  const wire::LinkPeer* peer = links_.PeerOf(from);
  if (peer == nullptr) return;
  const auto message = wire::DecodeRate(payload);
  if (!message) return links_.Refuse(from, message.error().detail);
  const bool any = message->to == core::base::Incarnation();
  if (!any && message->to != owners_.self.incarnation) return;
  HandleMessage({peer->address, peer->incarnation}, message->message, now);
}

void RateSystem::HandleMessage(const MemberId& from,
                               const wire::RateMessage& message,
                               TimePoint now) {
  if (const auto* request = std::get_if<core::rate::RateRequest>(&message)) {
    ExecuteAll(grantor_.OnRequest(from, *request, now), now);
  } else if (const auto* reply = std::get_if<core::rate::RateReply>(&message)) {
    limiter_.OnReply(*reply, now);
    ExecuteAll(limiter_.TakeActions(), now);
  } else if (const auto* copy = std::get_if<core::rate::RateCopy>(&message)) {
    ExecuteAll(grantor_.OnCopy(from, *copy, now), now);
  } else if (const auto* ack = std::get_if<core::rate::RateCopyAck>(&message)) {
    ExecuteAll(grantor_.OnCopyAck(from, *ack, now), now);
  }
}

void RateSystem::Tick(TimePoint now) {
  limiter_.Tick(now);
  ExecuteAll(limiter_.TakeActions(), now);
  ExecuteAll(grantor_.Tick(now), now);
}

void RateSystem::OnShardAction(const core::shard::ShardAction& action,
                               TimePoint now) {
  if (const auto* gained = std::get_if<core::shard::AuthorityGained>(&action)) {
    OnAuthorityGained(gained->shard, gained->epoch, gained->history, now);
  } else if (const auto* changed =
                 std::get_if<core::shard::StandbyChanged>(&action)) {
    ExecuteAll(grantor_.OnStandbyChanged(changed->shard, changed->standby, now),
               now);
  } else if (const auto* owner =
                 std::get_if<core::shard::OwnerChanged>(&action)) {
    const auto& record = owner->record;
    const bool in_pair =
        record.primary == owners_.self || record.standby == owners_.self;
    grantor_.OnOwnerChanged(record.shard, in_pair);
  }
}

void RateSystem::ExecuteAll(const core::rate::RateActions& actions,
                            TimePoint now) {
  for (const auto& action : actions) {
    std::visit([&](const auto& it) { Execute(it, now); }, action);
  }
}

// Messages to this node are handled directly: it may own the shard itself.
void RateSystem::Send(const MemberId& to, wire::RateMessage message,
                      TimePoint now) {
  if (to == owners_.self) return HandleMessage(to, message, now);
  (void)links_.Send(to.address,
                    wire::EncodeRate({to.incarnation, std::move(message)}));
}

void RateSystem::Execute(const core::rate::SendRateRequest& send,
                         TimePoint now) {
  const auto owner = owners_.owner(send.request.shard);
  if (owner) return Send(*owner, send.request, now);
  owners_.look_up(send.request.shard, now);
}

void RateSystem::Execute(const core::rate::SendRateReply& send, TimePoint now) {
  Send(send.to, send.reply, now);
}

void RateSystem::Execute(const core::rate::SendRateCopy& send, TimePoint now) {
  Send(send.to, send.copy, now);
}

void RateSystem::Execute(const core::rate::SendRateCopyAck& send,
                         TimePoint now) {
  Send(send.to, send.ack, now);
}

void RateSystem::Execute(const core::rate::ResolveCall& resolve,
                         TimePoint now) {
  const auto it = pending_calls_.find(resolve.call);
  if (it == pending_calls_.end()) return;
  const EntryIndex index = it->second;
  pending_calls_.erase(it);
  entry_.OnGateResult(index, ToGateResult(resolve.decision), now);
}

void RateSystem::Execute(const core::rate::RefreshShardOwner& needed,
                         TimePoint now) {
  owners_.look_up(needed.shard, now);
}

}  // namespace dogwoodrail::node
