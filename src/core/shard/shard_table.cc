#include "core/shard/shard_table.h"

#include <algorithm>
#include <utility>

#include "core/shard/shard_func.h"

namespace dogwoodrail::core::shard {

ShardTable::ShardTable(ShardSettings settings, Member self, TimePoint now)
    : settings_(settings), self_(std::move(self)), started_(now) {
  members_.push_back(self_);
  entries_.resize(settings_.shard_count);
  for (std::uint32_t it = 0; it < settings_.shard_count; ++it) {
    entries_[it].shard = ShardIndex(it);
    entries_[it].owner_last_heard = now;
  }
}

ShardIndex ShardTable::ShardFor(std::string_view key) const {
  return ShardOf(key, settings_.shard_count);
}

bool ShardTable::IsPrimary(const ShardEntry& entry) const {
  return entry.record && entry.record->primary == self_.id;
}

bool ShardTable::IsStandby(const ShardEntry& entry) const {
  return entry.record && entry.record->standby == self_.id;
}

// Only one process at a time listens on an address, so this process has
// replaced any other one recorded under its address.
bool ShardTable::IsPreviousIncarnation(const MemberId& member) const {
  return member.address == self_.id.address && member != self_.id;
}

std::optional<MemberId> ShardTable::Peer(const ShardEntry& entry) const {
  if (IsPrimary(entry)) return entry.record->standby;
  if (IsStandby(entry)) return entry.record->primary;
  return std::nullopt;
}

bool ShardTable::HasWitnessMajority(const ShardEntry& entry,
                                    const std::vector<TimePoint>& from,
                                    TimePoint now) const {
  std::size_t valid = 0;
  for (const TimePoint start : from) {
    if (now < start + settings_.witness_lease) ++valid;
  }
  return valid >= WitnessMajority(*entry.record);
}

// A node has authority while three leases are valid: one from its peer (not
// needed without a standby or in the solo epoch), one from a majority of
// witnesses, and the record lease from its last write at the platform. Each
// starts when the node sent the request, so a node that waits from the receipt
// of that request always waits longer. While a write of the next record has an
// unknown outcome, authority ends one pair lease after the write was first
// sent, because the standby that it names may have started its own wait.
ShardTable::Mode ShardTable::AuthorityMode(const ShardEntry& entry,
                                           TimePoint now) const {
  if (entry.relinquished || Peer(entry) == std::nullopt) {
    const bool alone = IsPrimary(entry) && !entry.record->standby;
    if (entry.relinquished || !alone) return Mode::kNone;
  }
  if (now >= entry.record_lease_from + settings_.record_lease) {
    return Mode::kNone;
  }
  const PlatformState& platform = entry.platform;
  if (platform.unresolved &&
      platform.unresolved->epoch != entry.record->epoch &&
      now >= platform.unresolved_since + settings_.pair_lease) {
    return Mode::kNone;
  }
  const bool has_witnesses = !entry.record->witnesses.empty();
  if (entry.solo_requested && has_witnesses &&
      HasWitnessMajority(entry, entry.solo_leases_from, now)) {
    return Mode::kSolo;
  }
  if (!IsPrimary(entry) ||
      !HasWitnessMajority(entry, entry.witness_leases_from, now)) {
    return Mode::kNone;
  }
  const bool paired = !entry.record->standby ||
                      now < entry.pair_lease_from + settings_.pair_lease;
  return paired ? Mode::kPair : Mode::kNone;
}

bool ShardTable::HasAuthority(ShardIndex shard, TimePoint now) const {
  return AuthorityMode(entries_.at(shard.value()), now) != Mode::kNone;
}

Epoch ShardTable::AuthorityEpoch(ShardIndex shard, TimePoint now) const {
  const ShardEntry& entry = entries_.at(shard.value());
  const Mode mode = AuthorityMode(entry, now);
  if (mode == Mode::kNone) return Epoch();
  return mode == Mode::kSolo ? SoloEpoch(entry.record->epoch)
                             : entry.record->epoch;
}

std::optional<MemberId> ShardTable::CurrentStandby(ShardIndex shard,
                                                   TimePoint now) const {
  const ShardEntry& entry = entries_.at(shard.value());
  if (AuthorityMode(entry, now) != Mode::kPair) return std::nullopt;
  return entry.record->standby;
}

std::optional<MemberId> ShardTable::KnownPrimary(ShardIndex shard) const {
  const ShardEntry& entry = entries_.at(shard.value());
  if (!entry.record) return std::nullopt;
  if (entry.record->epoch < entry.solo_epoch) return entry.solo_owner;
  return entry.record->primary;
}

Epoch ShardTable::KnownEpoch(ShardIndex shard) const {
  const ShardEntry& entry = entries_.at(shard.value());
  if (!entry.record) return entry.solo_epoch;
  return std::max(entry.record->epoch, entry.solo_epoch);
}

const std::optional<ShardRecord>& ShardTable::KnownRecord(
    ShardIndex shard) const {
  return entries_.at(shard.value()).record;
}

std::size_t ShardTable::AuthorityCount(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return AuthorityMode(entry, now) != Mode::kNone;
      }));
}

void ShardTable::OnMembers(const std::vector<Member>& members) {
  std::vector<Member> list;
  if (!stopping_) list.push_back(self_);
  for (const Member& member : members) {
    if (member.id.address != self_.id.address) list.push_back(member);
  }
  if (list == members_) return;
  members_ = std::move(list);
  ++member_list_version_;
}

// A record of a higher epoch resets all state of the previous epoch.
void ShardTable::AdoptRecord(ShardEntry* entry, const ShardRecord& record,
                             RecordVersion version, TimePoint now) {
  if (entry->record && record.epoch < entry->record->epoch) return;
  entry->absent = false;
  if (entry->record && record.epoch == entry->record->epoch) {
    entry->version = std::max(entry->version, version);
    return;
  }
  entry->record = record;
  entry->version = version;
  entry->record_learned = now;
  entry->solo_requested = false;
  entry->solo_granted = false;
  entry->relinquished = stopping_ && !IsPrimary(*entry);
  entry->peer_relinquished = false;
  entry->primary_replaced = IsPreviousIncarnation(record.primary);
  entry->standby_replaced =
      record.standby && IsPreviousIncarnation(*record.standby);
  entry->renewal_received = false;
  entry->pair_lease_from = kNever;
  entry->peer_last_heard = now;
  entry->peer_clock = TimePoint();
  entry->record_lease_from = kNever;
  entry->witness_leases_from.assign(record.witnesses.size(), kNever);
  entry->solo_leases_from.assign(record.witnesses.size(), kNever);
  entry->successor = SuccessorState();
  entry->owner_last_heard = now;
  entry->history = History::kGap;
  const auto& unresolved = entry->platform.unresolved;
  if (unresolved && !(record.epoch < unresolved->epoch)) {
    entry->platform.unresolved.reset();
  }
  actions_.emplace_back(OwnerChanged{record});
}

void ShardTable::ReportChanges(ShardEntry* entry, TimePoint now) {
  const Epoch epoch = AuthorityEpoch(entry->shard, now);
  const bool has = epoch != Epoch();
  const auto standby = CurrentStandby(entry->shard, now);
  const Epoch old_epoch = entry->reported_epoch;
  if (entry->had_authority && !has) {
    actions_.emplace_back(AuthorityLost{entry->shard, old_epoch});
  }
  if (has && (!entry->had_authority || epoch != old_epoch)) {
    actions_.emplace_back(AuthorityGained{entry->shard, epoch, entry->history});
    entry->history = History::kKept;
  }
  if (has && (!entry->had_authority || epoch != old_epoch ||
              standby != entry->reported_standby)) {
    actions_.emplace_back(StandbyChanged{entry->shard, epoch, standby});
  }
  entry->had_authority = has;
  if (has) entry->reported_epoch = epoch;
  entry->reported_standby = standby;
}

ShardMessage ShardTable::MakeMessage(ShardMessageKind kind,
                                     const ShardEntry& entry) const {
  ShardMessage message;
  message.kind = kind;
  message.shard = entry.shard;
  if (entry.record) message.epoch = entry.record->epoch;
  return message;
}

// Messages to this node are dispatched directly; a successor may be a witness
// itself.
void ShardTable::Send(const MemberId& to, ShardMessage message, TimePoint now) {
  message.to_incarnation = to.incarnation;
  message.sent = now;
  if (to == self_.id) {
    Dispatch(&entries_[message.shard.value()], to, message, now);
    return;
  }
  actions_.emplace_back(SendShardMessage{to, std::move(message)});
}

ShardActions ShardTable::TakeActions() { return std::exchange(actions_, {}); }

Duration ShardTable::PairWait() const {
  return WithMargin(settings_, settings_.pair_lease);
}

Duration ShardTable::WitnessLeaseWait() const {
  return WithMargin(settings_, settings_.witness_lease);
}

// A message for another process at this address is answered like an owner
// query. The sender learns from the incarnation in the answer that the other
// process is gone.
ShardActions ShardTable::OnMessage(const MemberId& from,
                                   const ShardMessage& message, TimePoint now) {
  if (message.shard.value() >= entries_.size()) return {};
  ShardEntry* entry = &entries_[message.shard.value()];
  DetectReplacedProcess(entry, from, message, now);
  if (message.to_incarnation == self_.id.incarnation) {
    Dispatch(entry, from, message, now);
  } else if (message.kind != ShardMessageKind::kOwner) {
    OnOwnerQuery(entry, from, message, now);
  }
  ReportChanges(entry, now);
  return TakeActions();
}

void ShardTable::Dispatch(ShardEntry* entry, const MemberId& from,
                          const ShardMessage& message, TimePoint now) {
  switch (message.kind) {
    case ShardMessageKind::kRenew:
      return OnRenew(entry, from, message, now);
    case ShardMessageKind::kRenewAck:
      return OnRenewAck(entry, from, message);
    case ShardMessageKind::kWitnessLeaseRequest:
      return OnWitnessLeaseRequest(entry, from, message, now);
    case ShardMessageKind::kWitnessLeaseReply:
      return OnWitnessLeaseReply(entry, from, message, now);
    case ShardMessageKind::kSealRequest:
      return OnSealRequest(entry, from, message, now);
    case ShardMessageKind::kSeal:
      return OnSeal(entry, from, message, now);
    case ShardMessageKind::kHandOver:
      return OnHandOver(entry, from, message, now);
    case ShardMessageKind::kReleaseRequest:
      return OnReleaseRequest(entry, from, message, now);
    case ShardMessageKind::kRelease:
      return OnRelease(entry, from, message);
    case ShardMessageKind::kOwnerQuery:
      return OnOwnerQuery(entry, from, message, now);
    case ShardMessageKind::kOwner:
      return OnOwner(entry, from, message, now);
  }
}

ShardActions ShardTable::Tick(TimePoint now) {
  RefreshRankings();
  for (ShardEntry& entry : entries_) {
    if (IsPrimary(entry)) TickPrimary(&entry, now);
    if (IsStandby(entry)) TickStandby(&entry, now);
    if (stopping_) RelinquishShard(&entry, now);
    TickWitnessLeases(&entry, now);
    TickPlatform(&entry, now);
    TickCandidate(&entry, now);
    TickLookup(&entry, now);
    ReportChanges(&entry, now);
  }
  return TakeActions();
}

ShardActions ShardTable::BeginStop(TimePoint now) {
  stopping_ = true;
  OnMembers(std::vector<Member>(members_));
  for (ShardEntry& entry : entries_) {
    RelinquishShard(&entry, now);
    ReportChanges(&entry, now);
  }
  return TakeActions();
}

void ShardTable::RequestOwner(ShardIndex shard, TimePoint now) {
  ShardEntry& entry = entries_.at(shard.value());
  entry.lookup_until = now + settings_.owner_silence;
}

}  // namespace dogwoodrail::core::shard
