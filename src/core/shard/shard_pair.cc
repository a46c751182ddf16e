// Lease renewal and hand-over between the recorded primary and standby.
#include <algorithm>
#include <utility>

#include "core/shard/shard_func.h"
#include "core/shard/shard_table.h"

namespace dogwoodrail::core::shard {
namespace {

// A primary without acknowledgements requests the solo epoch at 6/10 of the
// pair lease, before the standby does. If both requested it at the same time,
// they could split the witnesses so that neither gets a majority.
constexpr int kSoloRequestNumerator = 6;
constexpr int kSoloRequestDenominator = 10;
// Minimum age of a record before a planned hand-over, so that a new standby has
// received the payload.
constexpr Duration kCopyTime = std::chrono::milliseconds(500);

bool InCurrentEpoch(const ShardEntry& entry, const ShardMessage& message) {
  return entry.record && entry.record->epoch == message.epoch;
}

}  // namespace

// A standby that has requested the solo epoch, or relinquished the shard, sends
// no more acknowledgements in this epoch.
void ShardTable::OnRenew(ShardEntry* entry, const MemberId& from,
                         const ShardMessage& message, TimePoint now) {
  if (message.record && message.record->primary == from) {
    AdoptRecord(entry, *message.record, message.version, now);
  }
  if (!InCurrentEpoch(*entry, message) || !IsStandby(*entry) ||
      entry->record->primary != from) {
    OnOwnerQuery(entry, from, message, now);
    return;
  }
  entry->owner_last_heard = now;
  if (entry->solo_requested || entry->relinquished) return;
  entry->peer_last_heard = now;
  entry->renewal_received = true;
  entry->peer_clock = std::max(entry->peer_clock, message.sent);
  if (message.echo != TimePoint()) {
    entry->record_lease_from =
        std::max(entry->record_lease_from, message.echo - message.record_age);
  }
  ShardMessage ack = MakeMessage(ShardMessageKind::kRenewAck, *entry);
  ack.echo = message.sent;
  Send(from, std::move(ack), now);
}

void ShardTable::OnRenewAck(ShardEntry* entry, const MemberId& from,
                            const ShardMessage& message) {
  if (!InCurrentEpoch(*entry, message) || !IsPrimary(*entry)) return;
  if (entry->record->standby != from) return;
  entry->pair_lease_from = std::max(entry->pair_lease_from, message.echo);
  entry->peer_clock = std::max(entry->peer_clock, message.sent);
}

// The primary stops acting before it sends this message.
void ShardTable::OnHandOver(ShardEntry* entry, const MemberId& from,
                            const ShardMessage& message, TimePoint now) {
  if (message.record) {
    AdoptRecord(entry, *message.record, message.version, now);
  }
  if (!InCurrentEpoch(*entry, message) || !IsStandby(*entry)) return;
  if (entry->record->primary != from || entry->relinquished) return;
  entry->peer_relinquished = true;
  if (entry->solo_requested) return;
  entry->solo_requested = true;
  entry->history =
      entry->renewal_received ? History::kStandbyCopy : History::kGap;
  entry->next_lease_request = kNever;
}

// A standby that was granted the solo epoch, or whose write of the next record
// may have taken effect, does not release the shard.
void ShardTable::OnReleaseRequest(ShardEntry* entry, const MemberId& from,
                                  const ShardMessage& message, TimePoint now) {
  if (!InCurrentEpoch(*entry, message) || !IsStandby(*entry)) return;
  if (entry->record->primary != from || entry->solo_granted) return;
  if (entry->platform.unresolved) return;
  entry->relinquished = true;
  entry->peer_last_heard = now;
  Send(from, MakeMessage(ShardMessageKind::kRelease, *entry), now);
}

void ShardTable::OnRelease(ShardEntry* entry, const MemberId& from,
                           const ShardMessage& message) {
  if (!InCurrentEpoch(*entry, message) || !IsPrimary(*entry)) return;
  if (entry->record->standby != from || entry->relinquished) return;
  entry->peer_relinquished = true;
  if (entry->solo_requested) return;
  entry->solo_requested = true;
  entry->next_lease_request = kNever;
}

void ShardTable::TickPrimary(ShardEntry* entry, TimePoint now) {
  if (!entry->record->standby) return;
  const MemberId standby = *entry->record->standby;
  if (entry->relinquished) {
    if (now < entry->next_renew || !stopping_) return;
    SendHandOver(entry, now);
    return;
  }
  if (now >= entry->next_renew) {
    entry->next_renew = now + settings_.renew_interval;
    ShardMessage renew = MakeMessage(ShardMessageKind::kRenew, *entry);
    renew.echo = entry->peer_clock;
    renew.record_age = now - entry->record_lease_from;
    renew.record = entry->record;
    renew.version = entry->version;
    Send(standby, std::move(renew), now);
  }
  const Duration silence_limit =
      settings_.pair_lease * kSoloRequestNumerator / kSoloRequestDenominator;
  const bool silent = now >= entry->pair_lease_from + silence_limit &&
                      now >= entry->record_learned + silence_limit;
  const bool may_go_solo =
      silent || IsPeerReplaced(*entry) || entry->peer_relinquished;
  if (!may_go_solo || entry->solo_requested) return;
  entry->solo_requested = true;
  entry->next_lease_request = kNever;
  if (!entry->peer_relinquished) {
    avoid_until_[standby.address] = now + settings_.avoid_time;
  }
}

// The standby waits from its receipt of the last renewal that it acknowledged.
// The primary's lease starts when it sent that renewal, so it expires first.
void ShardTable::TickStandby(ShardEntry* entry, TimePoint now) {
  if (entry->relinquished || entry->solo_requested) return;
  if (!IsPeerReplaced(*entry) && now < entry->peer_last_heard + PairWait()) {
    return;
  }
  entry->solo_requested = true;
  entry->history =
      entry->renewal_received ? History::kStandbyCopy : History::kGap;
  entry->next_lease_request = kNever;
  avoid_until_[entry->record->primary.address] = now + settings_.avoid_time;
}

void ShardTable::SendHandOver(ShardEntry* entry, TimePoint now) {
  entry->next_renew = now + settings_.renew_interval;
  ShardMessage message = MakeMessage(ShardMessageKind::kHandOver, *entry);
  message.record = entry->record;
  message.version = entry->version;
  Send(*entry->record->standby, std::move(message), now);
}

void ShardTable::RelinquishShard(ShardEntry* entry, TimePoint now) {
  if (IsPrimary(*entry) && AuthorityMode(*entry, now) == Mode::kPair &&
      entry->record->standby && now >= entry->record_learned + kCopyTime) {
    entry->relinquished = true;
    entry->next_renew = now + settings_.renew_interval;
    Send(*entry->record->standby,
         MakeMessage(ShardMessageKind::kHandOver, *entry), now);
    return;
  }
  if (!IsStandby(*entry) || entry->solo_requested || entry->relinquished) {
    return;
  }
  entry->relinquished = true;
  Send(entry->record->primary, MakeMessage(ShardMessageKind::kRelease, *entry),
       now);
}

}  // namespace dogwoodrail::core::shard
