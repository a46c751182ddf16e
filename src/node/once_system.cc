#include "node/once_system.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "core/base/reason_table.h"
#include "node/request_id.h"

namespace dogwoodrail::node {

namespace once = core::once;
using core::base::CallId;
using core::base::EventNumber;
using core::base::Ran;
using core::base::Reason;
using core::shard::MemberId;

namespace {

constexpr core::base::Duration kTickInterval = std::chrono::milliseconds(10);

// Returns the ownership check for the claim table. Ownership counts only in the
// epoch that the table was told about: in another epoch, other claims may have
// been recorded in between.
once::AuthorityCheck MakeAuthorityCheck(ShardSystem& shards) {
  return [&shards](core::shard::ShardIndex shard, core::shard::Epoch epoch,
                   core::base::TimePoint now) {
    return shards.table().AuthorityEpoch(shard, now) == epoch;
  };
}

std::string EncodeResponse(const http::Response& response) {
  wire::StoredResponse stored;
  stored.status = response.status;
  stored.body = response.body;
  for (const http::Header& it : response.headers) {
    stored.headers.push_back({it.name, it.value});
  }
  return wire::EncodeStoredResponse(stored);
}

http::Response MakeResponse(wire::StoredResponse stored) {
  http::Response response;
  response.status = stored.status;
  response.body = std::move(stored.body);
  for (wire::HeaderField& it : stored.headers) {
    response.headers.push_back({std::move(it.name), std::move(it.value)});
  }
  return response;
}

}  // namespace

OnceSystem::OnceSystem(const once::OnceSettings& settings, ShardSystem& shards,
                       wire::Links& links, EntrySystem& entry,
                       core::base::EventSink emit)
    : shards_(shards),
      links_(links),
      entry_(entry),
      emit_(std::move(emit)),
      table_(settings, MakeAuthorityCheck(shards)),
      client_(settings, shards.self().incarnation) {
  shards_.AddListener([this](const core::shard::ShardAction& action,
                             TimePoint now) { OnShardAction(action, now); });
}

// A nested call without a key gets a derived key, which is the same for a
// repetition of the call within the same request. A key that a backend server
// forwards from its own request is combined with the route; otherwise only the
// first call with it would be accepted, and calls on other routes would be
// refused as misuse of the key.
std::optional<once::IdempotencyKey> OnceSystem::KeyOf(
    const EntryCall& call) const {
  if (call.idempotency_key) {
    const auto key = once::ParseIdempotencyKey(*call.idempotency_key);
    if (!key || !call.parent.IsValid()) return key;
    once::DerivedKeySource source;
    source.root = core::base::RequestId(*call.idempotency_key);
    source.root_received = key->created();
    source.route = call.route.name;
    return once::DeriveIdempotencyKey(source);
  }
  once::DerivedKeySource source;
  source.root = call.request;
  source.root_received = RequestTime(call.request);
  source.route = call.route.name;
  source.path = call.message.method + ' ' + call.message.target;
  source.body_digest = call.fingerprint.high;
  return once::DeriveIdempotencyKey(source);
}

void OnceSystem::OnCall(const EntryCall& call, TimePoint now) {
  if (!call.idempotency_key && !call.parent.IsValid()) {
    return Refuse(call.index, Reason::kIdempotencyKeyMissing, Ran::kNotRun,
                  now);
  }
  const auto key = KeyOf(call);
  if (!key) {
    return Refuse(call.index, Reason::kIdempotencyKeyInvalid, Ran::kNotRun,
                  now);
  }
  once::ClaimCall claim;
  claim.call = CallId(next_claim_++);
  claim.id = once::MakeClaimId(call.account, *key);
  claim.shard = shards_.table().ShardFor(once::ClaimShardKey(claim.id));
  claim.request_digest = call.fingerprint.high;
  claim.time_left = call.deadline - now;
  entry_by_claim_[claim.call] = call.index;
  claim_by_exchange_[call.exchange] = claim.call;
  PerformActions(client_.Begin(claim, now), now);
}

void OnceSystem::OnOutcome(const EntryCall& call, const EntryOutcome& outcome,
                           TimePoint now) {
  const auto it = claim_by_exchange_.find(call.exchange);
  if (it == claim_by_exchange_.end()) return;
  const CallId id = it->second;
  claim_by_exchange_.erase(it);
  entry_by_claim_.erase(id);
  std::string answer;
  if (outcome.response != nullptr) answer = EncodeResponse(*outcome.response);
  PerformActions(client_.OnFinished(id, outcome.ran, std::move(answer), now),
                 now);
}

void OnceSystem::Refuse(EntryIndex index, Reason reason, Ran ran,
                        TimePoint now) {
  emit_({EventNumber::kClaimRefused,
         {},
         {},
         "reason=" + std::string(core::base::GetReasonSpec(reason).code)});
  GateResult answer;
  answer.reason = reason;
  answer.ran = ran;
  entry_.OnGateResult(index, answer, now);
}

void OnceSystem::OnFrame(wire::LinkId from, const wire::Bytes& payload,
                         TimePoint now) {
  const wire::LinkPeer* peer = links_.PeerOf(from);
  if (peer == nullptr) return;
  const MemberId sender{peer->address, peer->incarnation};
  const auto message = wire::DecodeOnce(payload);
  if (!message) return links_.Refuse(from, message.error().detail);
  if (message->to != shards_.self().incarnation) return;
  HandleMessage(sender, message->message, now);
}

void OnceSystem::HandleMessage(const MemberId& from,
                               const once::ClaimMessage& message,
                               TimePoint now) {
  if (const auto* it = std::get_if<once::ClaimRequest>(&message)) {
    SendAll(table_.OnClaim(from, *it, now, WallNow()), now);
  } else if (const auto* it = std::get_if<once::ClaimAnswer>(&message)) {
    PerformActions(client_.OnAnswer(*it, now), now);
  } else if (const auto* it = std::get_if<once::ClaimOutcome>(&message)) {
    SendAll(table_.OnOutcome(from, *it, now), now);
  } else if (const auto* it = std::get_if<once::ClaimOutcomeAck>(&message)) {
    client_.OnOutcomeAck(*it);
  } else if (const auto* it = std::get_if<once::ClaimCopy>(&message)) {
    SendAll(table_.OnCopy(from, *it, now), now);
  } else if (const auto* it = std::get_if<once::ClaimCopyAck>(&message)) {
    SendAll(table_.OnCopyAck(from, *it, now), now);
  }
}

// Messages to this node are handled directly, without a link.
void OnceSystem::Send(const MemberId& to, const once::ClaimMessage& message,
                      TimePoint now) {
  if (to == shards_.self()) return HandleMessage(to, message, now);
  (void)links_.Send(to.address, wire::EncodeOnce({to.incarnation, message}));
}

void OnceSystem::SendAll(const once::ClaimMessages& messages, TimePoint now) {
  for (const auto& it : messages) Send(it.to, it.message, now);
}

void OnceSystem::PerformActions(const once::ClaimActions& actions,
                                TimePoint now) {
  for (const once::ClaimAction& action : actions) {
    std::visit([&](const auto& it) { HandleAction(it, now); }, action);
  }
}

void OnceSystem::HandleAction(const once::SendToOwner& action, TimePoint now) {
  const auto owner = shards_.table().KnownPrimary(action.shard);
  if (owner) return Send(*owner, action.message, now);
  shards_.table().RequestOwner(action.shard, now);
}

void OnceSystem::HandleAction(const once::LookUpOwner& action, TimePoint now) {
  shards_.table().RequestOwner(action.shard, now);
}

std::optional<EntryIndex> OnceSystem::EntryIndexOf(CallId call) const {
  const auto it = entry_by_claim_.find(call);
  if (it == entry_by_claim_.end()) return std::nullopt;
  return it->second;
}

void OnceSystem::HandleAction(const once::ProceedWithCall& action,
                              TimePoint now) {
  const auto index = EntryIndexOf(action.call);
  if (!index) return;
  GateResult answer;
  answer.admitted = true;
  answer.start_before = action.dispatch_by;
  entry_.OnGateResult(*index, answer, now);
}

void OnceSystem::HandleAction(const once::ReplayAnswer& action, TimePoint now) {
  const auto index = EntryIndexOf(action.call);
  if (!index) return;
  auto stored = wire::DecodeStoredResponse(action.answer);
  if (!stored) {
    return Refuse(*index, Reason::kDuplicateOutcomeUnknown, Ran::kUnknown, now);
  }
  GateResult answer;
  answer.replay = MakeResponse(std::move(*stored));
  entry_.OnGateResult(*index, answer, now);
}

void OnceSystem::HandleAction(const once::RefuseCall& action, TimePoint now) {
  const auto index = EntryIndexOf(action.call);
  if (index) Refuse(*index, action.reason, action.ran, now);
}

void OnceSystem::OnShardAction(const core::shard::ShardAction& action,
                               TimePoint now) {
  if (const auto* it = std::get_if<core::shard::AuthorityGained>(&action)) {
    SendAll(table_.OnAuthorityGained(it->shard, it->epoch, it->history, now,
                                     WallNow()),
            now);
  } else if (const auto* it =
                 std::get_if<core::shard::AuthorityLost>(&action)) {
    table_.OnAuthorityLost(it->shard);
  } else if (const auto* it =
                 std::get_if<core::shard::StandbyChanged>(&action)) {
    SendAll(table_.OnStandbyChanged(it->shard, it->epoch, it->standby, now),
            now);
  }
}

void OnceSystem::Tick(TimePoint now) {
  if (now < last_tick_ + kTickInterval) return;
  last_tick_ = now;
  PerformActions(client_.Tick(now), now);
  SendAll(table_.Tick(now, WallNow()), now);
}

}  // namespace dogwoodrail::node
