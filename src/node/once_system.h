#ifndef DOGWOODRAIL_NODE_ONCE_SYSTEM_H_
#define DOGWOODRAIL_NODE_ONCE_SYSTEM_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/base/event_type.h"
#include "core/once/claim_client.h"
#include "core/once/claim_table.h"
#include "node/entry_base.h"
#include "node/shard_system.h"
#include "wire/once_codec.h"

namespace dogwoodrail::node {

// At-most-once execution on this node: the gate that non-idempotent entry calls
// pass, and the claim records of the shards for which this node is primary or
// standby.
class OnceSystem {
 public:
  using TimePoint = core::base::TimePoint;

  OnceSystem(const core::once::OnceSettings& settings, ShardSystem& shards,
             wire::Links& links, EntrySystem& entry,
             core::base::EventSink emit);

  // Claims the idempotency key of a call. Reports the decision through
  // EntrySystem::OnGateResult(), possibly before it returns.
  void OnCall(const EntryCall& call, TimePoint now);
  // Sends the outcome of an entry call to the owner of its claim.
  void OnOutcome(const EntryCall& call, const EntryOutcome& outcome,
                 TimePoint now);
  // Handles a frame from another node.
  void OnFrame(wire::LinkId from, const wire::Bytes& payload, TimePoint now);
  // Resends unacknowledged messages and removes expired claims.
  void Tick(TimePoint now);

  const core::once::ClaimTable& table() const { return table_; }
  // Returns the number of calls whose claim or outcome is not yet settled.
  std::size_t size() const { return client_.size(); }

 private:
  std::optional<core::once::IdempotencyKey> KeyOf(const EntryCall& call) const;
  void Refuse(EntryIndex index, core::base::Reason reason, core::base::Ran ran,
              TimePoint now);
  void OnShardAction(const core::shard::ShardAction& action, TimePoint now);
  void HandleMessage(const core::shard::MemberId& from,
                     const core::once::ClaimMessage& message, TimePoint now);
  void Send(const core::shard::MemberId& to,
            const core::once::ClaimMessage& message, TimePoint now);
  void SendAll(const core::once::ClaimMessages& messages, TimePoint now);
  void PerformActions(const core::once::ClaimActions& actions, TimePoint now);
  void HandleAction(const core::once::SendToOwner& action, TimePoint now);
  void HandleAction(const core::once::LookUpOwner& action, TimePoint now);
  void HandleAction(const core::once::ProceedWithCall& action, TimePoint now);
  void HandleAction(const core::once::ReplayAnswer& action, TimePoint now);
  void HandleAction(const core::once::RefuseCall& action, TimePoint now);
  std::optional<EntryIndex> EntryIndexOf(core::base::CallId call) const;

  ShardSystem& shards_;
  wire::Links& links_;
  EntrySystem& entry_;
  core::base::EventSink emit_;
  core::once::ClaimTable table_;
  core::once::ClaimClient client_;
  std::unordered_map<core::base::CallId, EntryIndex> entry_by_claim_;
  std::unordered_map<http::ExchangeId, core::base::CallId> claim_by_exchange_;
  std::uint64_t next_claim_ = 1;
  TimePoint last_tick_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_ONCE_SYSTEM_H_
