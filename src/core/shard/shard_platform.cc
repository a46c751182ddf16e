// Reads and conditional writes of shard records at the platform.
#include <algorithm>
#include <utility>

#include "core/shard/shard_func.h"
#include "core/shard/shard_table.h"

namespace dogwoodrail::core::shard {
namespace {

// Age up to which an answer counts as proof that the platform works and the
// version is current. Writing only then keeps writes with unknown outcomes
// rare.
constexpr Duration kFreshRead = std::chrono::seconds(1);
// Minimum age of a record before its owner replaces it to add a standby or
// witnesses.
constexpr Duration kSettleTime = std::chrono::seconds(2);
constexpr int kMaxRetryFactor = 16;
// A witness that is silent for this many leases is considered failed.
constexpr int kDegradedLeases = 2;
// Part of a lease without a majority after which the witnesses are replaced,
// so that the record is written before the lease ends. Covers two lost
// requests.
constexpr int kNoMajorityNumerator = 5;
constexpr int kNoMajorityDenominator = 8;

}  // namespace

// True if no other node can act in the current recorded epoch or its solo
// epoch: the peer has relinquished the shard, its process is gone, or a
// majority of witnesses grants it no lease. Without witnesses no member acts
// alone, and the conditional write decides which one continues.
bool ShardTable::MayWriteNextRecord(const ShardEntry& entry) const {
  if (entry.relinquished) return false;
  if (!IsPrimary(entry) && !IsStandby(entry)) return false;
  if (IsPrimary(entry) && !entry.record->standby) return true;
  if (entry.record->witnesses.empty()) {
    return IsPrimary(entry) || entry.solo_requested;
  }
  return entry.solo_granted || entry.peer_relinquished || IsPeerReplaced(entry);
}

std::vector<Member> ShardTable::EligibleMembers(TimePoint now) const {
  std::vector<Member> candidates;
  for (const Member& member : members_) {
    const auto it = avoid_until_.find(member.id.address);
    const bool avoided = it != avoid_until_.end() && now < it->second;
    if (!avoided || member.id == self_.id) candidates.push_back(member);
  }
  return candidates;
}

ShardRecord ShardTable::NextRecord(const ShardEntry& entry,
                                   TimePoint now) const {
  std::optional<MemberId> keep;
  if (IsPrimary(entry) && !IsPeerReplaced(entry)) keep = entry.record->standby;
  return BuildRecord(entry.shard, NextRecordedEpoch(entry.record->epoch), self_,
                     EligibleMembers(now), keep);
}

bool ShardTable::WantsNewRecord(const ShardEntry& entry, TimePoint now) const {
  if (!MayWriteNextRecord(entry)) return false;
  const ShardRecord next = NextRecord(entry, now);
  if (entry.solo_requested) {
    return next.standby || entry.record->witnesses.empty();
  }
  if (now < entry.record_learned + kSettleTime) return false;
  if (!entry.record->standby) return next.standby.has_value();
  return next.witnesses.size() > entry.record->witnesses.size();
}

// Time for which a witness may be silent. Shorter if the owner loses its
// authority otherwise.
Duration ShardTable::WitnessSilenceLimit(const ShardEntry& entry,
                                         TimePoint now) const {
  const Duration no_majority =
      settings_.witness_lease * kNoMajorityNumerator / kNoMajorityDenominator;
  const TimePoint lease_end = now - no_majority + settings_.witness_lease;
  if (!HasWitnessMajority(entry, entry.witness_leases_from, lease_end)) {
    return no_majority;
  }
  return settings_.witness_lease * kDegradedLeases;
}

// True if a witness does not answer, or if more witnesses are available. The
// primary may have lost its authority with the majority of the witnesses: while
// the standby answers, the two can replace them.
bool ShardTable::IsDegraded(const ShardEntry& entry, TimePoint now) {
  if (!entry.record->standby || entry.record->witnesses.empty()) return false;
  const bool paired = now < entry.pair_lease_from + settings_.pair_lease;
  if (entry.solo_requested || !paired) return false;
  const Duration silence_limit = WitnessSilenceLimit(entry, now);
  if (now < entry.record_learned + silence_limit) return false;
  bool silent = false;
  for (std::size_t it = 0; it < entry.witness_leases_from.size(); ++it) {
    if (now < entry.witness_leases_from[it] + silence_limit) continue;
    avoid_until_[entry.record->witnesses[it].address] =
        now + settings_.avoid_time;
    silent = true;
  }
  const std::size_t possible = NextRecord(entry, now).witnesses.size();
  return silent || possible > entry.record->witnesses.size();
}

void ShardTable::ReadRecord(ShardEntry* entry, TimePoint now) {
  entry->platform.operation = PlatformState::Operation::kRead;
  entry->platform.sent = now;
  actions_.emplace_back(ReadShardRecord{entry->shard});
}

// An earlier write of the same epoch may still take effect, so the time of the
// first one is kept.
void ShardTable::WriteRecord(ShardEntry* entry, ShardRecord record,
                             RecordVersion if_version, History history,
                             TimePoint now) {
  PlatformState& platform = entry->platform;
  platform.operation = PlatformState::Operation::kWrite;
  platform.sent = now;
  if (!platform.unresolved || platform.unresolved->epoch != record.epoch) {
    platform.unresolved_since = now;
  }
  platform.unresolved = record;
  platform.history_on_success = history;
  actions_.emplace_back(WriteShardRecord{std::move(record), if_version});
}

// The standby's copy is complete only if the former primary cannot have acted
// without it: the standby was granted the solo epoch, the primary handed the
// shard over, or the record had no witnesses. Otherwise the history is a gap.
void ShardTable::WriteNextRecord(ShardEntry* entry, TimePoint now) {
  const bool exclusive = entry->solo_granted || entry->peer_relinquished ||
                         entry->record->witnesses.empty() ||
                         !entry->record->standby ||
                         AuthorityMode(*entry, now) != Mode::kNone;
  const History history = exclusive ? entry->history : History::kGap;
  WriteRecord(entry, NextRecord(*entry, now), entry->version, history, now);
}

// The leases of the new epoch start when the write was first sent. The peer and
// the witnesses start their waits when they learn of the record, which is
// later.
void ShardTable::ResolveWrite(ShardEntry* entry, const ShardRecord& record,
                              RecordVersion version, TimePoint now) {
  const TimePoint since = entry->platform.unresolved_since;
  const History history = entry->platform.history_on_success;
  const bool refreshed = entry->record && entry->record->epoch == record.epoch;
  entry->platform.unresolved.reset();
  AdoptRecord(entry, record, version, now);
  entry->record_lease_from = std::max(entry->record_lease_from, since);
  if (refreshed) return;
  entry->pair_lease_from = since;
  entry->witness_leases_from.assign(record.witnesses.size(), since);
  entry->history = history;
}

void ShardTable::OnRecordFound(ShardEntry* entry,
                               const ShardPlatformAnswer& answer,
                               TimePoint now) {
  const ShardRecord& record = *answer.record;
  const auto& unresolved = entry->platform.unresolved;
  const bool own = unresolved && unresolved->epoch == record.epoch &&
                   record.primary == self_.id;
  const bool effective = entry->version < answer.version;
  if (own && effective) {
    ResolveWrite(entry, record, answer.version, now);
    return;
  }
  if (entry->successor.active && effective) entry->successor.active = false;
  AdoptRecord(entry, record, answer.version, now);
}

ShardActions ShardTable::OnPlatformAnswer(const ShardPlatformAnswer& answer,
                                          TimePoint now) {
  if (answer.shard.value() >= entries_.size()) return {};
  ShardEntry* entry = &entries_[answer.shard.value()];
  PlatformState& platform = entry->platform;
  platform.operation = PlatformState::Operation::kNone;
  if (answer.outcome == PlatformOutcome::kFailed) {
    platform.next = now + settings_.platform_retry * platform.retry_factor;
    platform.retry_factor =
        std::min(platform.retry_factor * 2, kMaxRetryFactor);
    return {};
  }
  platform.retry_factor = 1;
  platform.next = now;
  switch (answer.outcome) {
    case PlatformOutcome::kFound:
      platform.last_answer = now;
      if (answer.record) OnRecordFound(entry, answer, now);
      break;
    case PlatformOutcome::kAbsent:
      platform.last_answer = now;
      entry->absent = !entry->record;
      break;
    case PlatformOutcome::kWritten:
      platform.last_answer = now;
      if (answer.record && platform.unresolved == answer.record) {
        ResolveWrite(entry, *answer.record, answer.version, now);
      }
      break;
    default:
      platform.last_answer = kNever;  // forces a read before the next write
      break;
  }
  ReportChanges(entry, now);
  return TakeActions();
}

void ShardTable::TickPlatform(ShardEntry* entry, TimePoint now) {
  PlatformState& platform = entry->platform;
  if (platform.operation != PlatformState::Operation::kNone) {
    if (now < platform.sent + settings_.platform_timeout) return;
    platform.operation = PlatformState::Operation::kNone;
    platform.last_answer = kNever;
  }
  if (now < platform.next || !entry->record) return;
  const bool fresh = now < platform.last_answer + kFreshRead;
  const bool write_pending =
      platform.unresolved &&
      platform.unresolved->epoch != entry->record->epoch &&
      MayWriteNextRecord(*entry);
  if (write_pending || WantsNewRecord(*entry, now)) {
    if (fresh) {
      WriteNextRecord(entry, now);
    } else {
      ReadRecord(entry, now);
    }
    return;
  }
  if (!IsPrimary(*entry) || entry->relinquished) return;
  if (platform.unresolved && !fresh) {
    ReadRecord(entry, now);
    return;
  }
  if (now >= entry->record_lease_from + settings_.record_refresh) {
    if (MayRefresh(*entry, now)) {
      WriteRecord(entry, *entry->record, entry->version, entry->history, now);
      platform.next = now + settings_.platform_retry;
      return;
    }
  }
  if (!IsDegraded(*entry, now)) return;
  if (!fresh) {
    ReadRecord(entry, now);
    return;
  }
  platform.next = now + settings_.platform_retry;
  Send(*entry->record->standby,
       MakeMessage(ShardMessageKind::kReleaseRequest, *entry), now);
}

// A refresh must not overwrite the state of an unresolved write of a higher
// epoch.
bool ShardTable::MayRefresh(const ShardEntry& entry, TimePoint now) const {
  const auto& unresolved = entry.platform.unresolved;
  if (unresolved && unresolved->epoch != entry.record->epoch) return false;
  return AuthorityMode(entry, now) == Mode::kPair ||
         now >= entry.record_lease_from + settings_.record_lease;
}

}  // namespace dogwoodrail::core::shard
