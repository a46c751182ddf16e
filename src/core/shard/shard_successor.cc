// Takeover of shards whose primary and standby are both lost, and lookup of
// shard owners.
#include <algorithm>

#include "core/shard/shard_func.h"
#include "core/shard/shard_table.h"

namespace dogwoodrail::core::shard {
namespace {

constexpr Epoch kFirstEpoch{2};
// Number of nodes, in rendezvous order, that monitor a shard's owner.
constexpr std::size_t kCandidateCount = 3;
// One in this many unanswered lookups also reads the record at the platform.
constexpr std::uint32_t kLookupsPerPlatformRead = 8;

}  // namespace

// True if the processes of the recorded pair are known to be gone, so that
// neither can act.
bool ShardTable::IsPairReplaced(const ShardEntry& entry) const {
  const bool standby_gone = !entry.record->standby || entry.standby_replaced;
  return entry.primary_replaced && standby_gone;
}

bool ShardTable::IsPeerReplaced(const ShardEntry& entry) const {
  return IsPrimary(entry) ? entry.standby_replaced : entry.primary_replaced;
}

// Ranking costs one hash per member, so after a change of the member list only
// a few shards are ranked again per tick.
void ShardTable::RefreshRankings() {
  constexpr std::size_t kShardsPerTick = 16;
  for (std::size_t n = 0; n < kShardsPerTick && n < entries_.size(); ++n) {
    ShardEntry& entry = entries_[next_to_rank_];
    if (entry.ranked_list_version != member_list_version_) {
      entry.ranked_list_version = member_list_version_;
      entry.ranked = RankMembers(entry.shard, members_);
      if (entry.ranked.size() > kCandidateCount) {
        entry.ranked.resize(kCandidateCount);
      }
    }
    next_to_rank_ = (next_to_rank_ + 1) % entries_.size();
  }
}

std::optional<std::size_t> ShardTable::CandidateRank(
    const ShardEntry& entry) const {
  if (stopping_) return std::nullopt;
  for (std::size_t it = 0; it < entry.ranked.size(); ++it) {
    if (entry.ranked[it].id == self_.id) return it;
  }
  if (IsPrimary(entry) || IsStandby(entry)) return kCandidateCount;
  return std::nullopt;
}

void ShardTable::TickCandidate(ShardEntry* entry, TimePoint now) {
  if (AuthorityMode(*entry, now) != Mode::kNone) {
    entry->owner_last_heard = now;
    entry->successor.active = false;
    return;
  }
  const auto rank = CandidateRank(*entry);
  if (!rank) return;
  const Duration turn = settings_.candidate_step * *rank;
  if (!entry->record) {
    if (now >= started_ + settings_.start_delay + turn) {
      CreateRecord(entry, now);
    }
    return;
  }
  if (now >= entry->next_owner_poll) {
    entry->next_owner_poll = now + settings_.owner_poll_interval;
    QueryOwner(*entry, now);
  }
  const Duration silence =
      IsPairReplaced(*entry) ? Duration(0) : settings_.owner_silence;
  if (now < entry->owner_last_heard + silence + turn) {
    entry->successor.active = false;
    return;
  }
  TickSuccessor(entry, now);
}

void ShardTable::CreateRecord(ShardEntry* entry, TimePoint now) {
  PlatformState& platform = entry->platform;
  if (platform.operation != PlatformState::Operation::kNone) {
    if (now < platform.sent + settings_.platform_timeout) return;
    platform.operation = PlatformState::Operation::kNone;
    platform.last_answer = kNever;
  }
  if (now < platform.next) return;
  if (!entry->absent || platform.last_answer == kNever) {
    ReadRecord(entry, now);
    return;
  }
  WriteRecord(entry,
              BuildRecord(entry->shard, kFirstEpoch, self_,
                          EligibleMembers(now), std::nullopt),
              RecordVersion(), History::kNone, now);
}

// Queries both members of the pair. Either may act, and an answer from another
// process at a member's address proves that the member is gone.
void ShardTable::QueryOwner(const ShardEntry& entry, TimePoint now) {
  const ShardMessage query = MakeMessage(ShardMessageKind::kOwnerQuery, entry);
  if (entry.record->primary != self_.id) {
    Send(entry.record->primary, query, now);
  }
  if (entry.record->standby && entry.record->standby != self_.id) {
    Send(*entry.record->standby, query, now);
  }
}

// Seals the record's epochs at its witnesses, waits until the leases they
// granted have expired, and then writes the next record.
void ShardTable::TickSuccessor(ShardEntry* entry, TimePoint now) {
  PlatformState& platform = entry->platform;
  if (platform.operation != PlatformState::Operation::kNone) return;
  if (now < platform.next) return;
  SuccessorState& successor = entry->successor;
  const bool read_since_silence =
      entry->owner_last_heard < platform.last_answer;
  if (!successor.active) {
    if (!read_since_silence) {
      ReadRecord(entry, now);
      return;
    }
    successor.active = true;
    successor.sealed_epoch = SoloEpoch(entry->record->epoch);
    successor.version = entry->version;
    successor.started = now;
    successor.next_send = now;
    SealPreviousIncarnation(entry, now);
  }
  if (SuccessorMayWrite(*entry, now)) {
    if (platform.last_answer == kNever) {
      ReadRecord(entry, now);
      return;
    }
    ShardRecord next =
        BuildRecord(entry->shard, NextRecordedEpoch(entry->record->epoch),
                    self_, EligibleMembers(now), std::nullopt);
    WriteRecord(entry, std::move(next), successor.version, History::kGap, now);
    return;
  }
  if (now < successor.next_send) return;
  successor.next_send = now + settings_.renew_interval;
  for (std::size_t it = 0; it < successor.sealed_at.size(); ++it) {
    if (successor.sealed_at[it] != kNever) continue;
    ShardMessage request = MakeMessage(ShardMessageKind::kSealRequest, *entry);
    request.epoch = successor.sealed_epoch;
    Send(entry->record->witnesses[it], std::move(request), now);
  }
}

// A witness that was an earlier process of this node grants nothing any more;
// nobody else could tell this node so.
void ShardTable::SealPreviousIncarnation(ShardEntry* entry, TimePoint now) {
  const std::vector<MemberId>& witnesses = entry->record->witnesses;
  entry->successor.sealed_at.assign(witnesses.size(), kNever);
  for (std::size_t it = 0; it < witnesses.size(); ++it) {
    if (IsPreviousIncarnation(witnesses[it])) {
      entry->successor.sealed_at[it] = now;
    }
  }
}

bool ShardTable::SuccessorMayWrite(const ShardEntry& entry,
                                   TimePoint now) const {
  const ShardRecord& record = *entry.record;
  if (IsPairReplaced(entry)) return true;
  const SuccessorState& successor = entry.successor;
  if (now >=
      successor.started + WithMargin(settings_, settings_.record_lease)) {
    return true;
  }
  if (record.witnesses.empty()) return false;
  std::size_t n = 0;
  for (const TimePoint it : successor.sealed_at) {
    if (it != kNever && now >= it + WitnessLeaseWait()) ++n;
  }
  return n >= WitnessMajority(record);
}

void ShardTable::OnOwnerQuery(ShardEntry* entry, const MemberId& from,
                              const ShardMessage& message, TimePoint now) {
  if (message.record) {
    AdoptRecord(entry, *message.record, message.version, now);
  }
  ShardMessage answer = MakeMessage(ShardMessageKind::kOwner, *entry);
  const Epoch acting = AuthorityEpoch(entry->shard, now);
  answer.affirmed = acting != Epoch();
  answer.epoch = answer.affirmed ? acting : KnownEpoch(entry->shard);
  answer.echo = message.sent;
  answer.record = entry->record;
  answer.version = entry->version;
  Send(from, std::move(answer), now);
}

void ShardTable::OnOwner(ShardEntry* entry, const MemberId& from,
                         const ShardMessage& message, TimePoint now) {
  if (message.record) {
    AdoptRecord(entry, *message.record, message.version, now);
  }
  if (!message.affirmed || !entry->record) return;
  if (message.epoch < KnownEpoch(entry->shard)) return;
  if (message.epoch == SoloEpoch(entry->record->epoch)) {
    entry->solo_epoch = message.epoch;
    entry->solo_owner = from;
  }
  if (message.echo == TimePoint()) return;
  entry->owner_last_heard = std::max(entry->owner_last_heard, message.echo);
  entry->lookup_until = kNever;
}

// Only one process at a time listens on an address. If a query sent after this
// node learned of the record is answered from a recorded address under another
// incarnation, the recorded process is gone. An answer to another process at
// this address says nothing: its question was sent by another clock.
void ShardTable::DetectReplacedProcess(ShardEntry* entry, const MemberId& from,
                                       const ShardMessage& message,
                                       TimePoint now) {
  if (!entry->record || message.kind != ShardMessageKind::kOwner) return;
  if (message.to_incarnation != self_.id.incarnation) return;
  if (message.echo < entry->record_learned) return;
  const auto replaced = [&](const MemberId& member) {
    return member.address == from.address && member != from;
  };
  const ShardRecord& record = *entry->record;
  if (replaced(record.primary)) entry->primary_replaced = true;
  if (record.standby && replaced(*record.standby)) {
    entry->standby_replaced = true;
  }
  SuccessorState& successor = entry->successor;
  if (!successor.active) return;
  for (std::size_t it = 0; it < record.witnesses.size(); ++it) {
    if (replaced(record.witnesses[it]) && successor.sealed_at[it] == kNever) {
      successor.sealed_at[it] = now;
    }
  }
}

// Queries other nodes and rarely the platform, which could not serve all nodes
// at once.
void ShardTable::TickLookup(ShardEntry* entry, TimePoint now) {
  if (now >= entry->lookup_until || now < entry->next_lookup) return;
  entry->next_lookup = now + settings_.lookup_interval;
  ++entry->lookups;
  if (entry->record) QueryOwner(*entry, now);
  const ShardMessage query = MakeMessage(ShardMessageKind::kOwnerQuery, *entry);
  for (const Member& member : entry->ranked) {
    if (member.id != self_.id) Send(member.id, query, now);
  }
  const bool idle =
      entry->platform.operation == PlatformState::Operation::kNone &&
      now >= entry->platform.next;
  if (entry->lookups % kLookupsPerPlatformRead == 0 && idle) {
    ReadRecord(entry, now);
  }
}

}  // namespace dogwoodrail::core::shard
