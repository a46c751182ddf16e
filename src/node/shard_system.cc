#include "node/shard_system.h"

#include <string>
#include <utility>
#include <variant>

#include "wire/shard_codec.h"

namespace dogwoodrail::node {

using core::base::EventNumber;
using core::shard::AuthorityGained;
using core::shard::AuthorityLost;
using core::shard::SendShardMessage;
using core::shard::ShardAction;

namespace {

constexpr core::base::Duration kTickInterval = std::chrono::milliseconds(20);

std::string ShardText(core::shard::ShardIndex shard, core::shard::Epoch epoch) {
  return "shard=" + std::to_string(shard.value()) +
         " epoch=" + std::to_string(epoch.value());
}

const char* HistoryText(core::shard::History history) {
  switch (history) {
    case core::shard::History::kNone:
      return "none";
    case core::shard::History::kKept:
      return "kept";
    case core::shard::History::kStandbyCopy:
      return "copy";
    case core::shard::History::kGap:
      return "gap";
  }
  return "";
}

}  // namespace

ShardSystem::ShardSystem(const core::shard::ShardSettings& settings,
                         core::shard::Member self, wire::Links& links,
                         core::base::EventSink emit, TimePoint now)
    : self_(self.id),
      table_(settings, std::move(self), now),
      links_(links),
      emit_(std::move(emit)) {}

void ShardSystem::AddListener(Listener listener) {
  listeners_.push_back(std::move(listener));
}

void ShardSystem::OnFrame(wire::LinkId from, const wire::Bytes& payload,
                          TimePoint now) {
  const wire::LinkPeer* peer = links_.PeerOf(from);
  if (peer == nullptr) return;
  const auto message = wire::DecodeShard(payload);
  if (!message) return links_.Refuse(from, message.error().detail);
  const core::shard::MemberId sender{peer->address, peer->incarnation};
  ExecuteActions(table_.OnMessage(sender, *message, now), now);
}

void ShardSystem::OnPlatformAnswer(
    const core::shard::ShardPlatformAnswer& answer, TimePoint now) {
  ExecuteActions(table_.OnPlatformAnswer(answer, now), now);
}

void ShardSystem::OnMembers(const std::vector<core::shard::Member>& members) {
  table_.OnMembers(members);
}

void ShardSystem::Tick(TimePoint now) {
  if (now < last_tick_ + kTickInterval) return;
  last_tick_ = now;
  ExecuteActions(table_.Tick(now), now);
}

void ShardSystem::BeginStop(TimePoint now) {
  ExecuteActions(table_.BeginStop(now), now);
}

bool ShardSystem::IsStopped(TimePoint now) const {
  return table_.AuthorityCount(now) == 0;
}

void ShardSystem::ExecuteActions(const core::shard::ShardActions& actions,
                                 TimePoint now) {
  for (const ShardAction& it : actions) {
    if (const auto* send = std::get_if<SendShardMessage>(&it)) {
      (void)links_.Send(send->to.address, wire::EncodeShard(send->message));
      continue;
    }
    const bool platform =
        std::holds_alternative<core::shard::ReadShardRecord>(it) ||
        std::holds_alternative<core::shard::WriteShardRecord>(it);
    if (platform) {
      if (platform_port_) platform_port_(it);
      continue;
    }
    EmitEvent(it);
    for (const Listener& listener : listeners_) listener(it, now);
  }
}

void ShardSystem::EmitEvent(const ShardAction& action) {
  if (const auto* gained = std::get_if<AuthorityGained>(&action)) {
    emit_({EventNumber::kShardTaken,
           {},
           {},
           ShardText(gained->shard, gained->epoch) +
               " history=" + HistoryText(gained->history)});
  } else if (const auto* lost = std::get_if<AuthorityLost>(&action)) {
    emit_(
        {EventNumber::kShardLost, {}, {}, ShardText(lost->shard, lost->epoch)});
  }
}

}  // namespace dogwoodrail::node
