#include <algorithm>

#include "core/once/claim_table.h"

namespace dogwoodrail::core::once {
namespace {

// Limit of all claims held, as owner and as standby, as a multiple of
// OnceSettings::max_claims.
constexpr std::size_t kStandbyCapacityFactor = 2;

// Returns true if the record is a later state of its key than the claim.
bool IsNewer(const ClaimRecord& record, const Claim& claim) {
  if (record.serial != claim.serial) return record.serial > claim.serial;
  return record.state > claim.state;
}

}  // namespace

// Copies from a former owner are neither stored nor acknowledged.
bool ClaimTable::AcceptsCopy(const ClaimShard& shard,
                             const ClaimCopy& copy) const {
  return !shard.owner && !(copy.epoch < shard.epoch);
}

// A standby takes over in the epoch right after the one whose copies it holds.
// Any other distance means that another node acted in between.
bool ClaimTable::IsCopyComplete(const ClaimShard& shard, Epoch epoch) const {
  return shard.complete_epoch.value() != 0 &&
         shard.complete_epoch.value() + 1 == epoch.value();
}

// The gap is copied to the standby, so that it still applies after a takeover.
void ClaimTable::MergeGap(ClaimShard& shard, const ClaimCopy& copy) const {
  shard.gap_until = std::max(shard.gap_until, copy.gap_until);
}

ClaimRecord ClaimTable::MakeRecord(const ClaimId& id, const Claim& claim,
                                   TimePoint now) const {
  ClaimRecord record;
  record.id = id;
  record.request_digest = claim.request_digest;
  record.nonce = claim.nonce;
  record.serial = claim.serial;
  record.state = claim.state;
  record.in_progress = std::max(Duration{0}, claim.in_progress_until - now);
  if (claim.answer) record.answer = *claim.answer;
  return record;
}

void ClaimTable::SendCopy(ShardIndex index, ClaimShard& shard,
                          std::uint64_t sequence, TimePoint now,
                          ClaimMessages* out) const {
  PendingCopy& pending = shard.pending.at(sequence);
  pending.sent = now;
  const auto it = shard.claims.find(pending.id);
  if (it == shard.claims.end()) return;
  ClaimCopy copy;
  copy.shard = index;
  copy.epoch = shard.epoch;
  copy.sequence = sequence;
  copy.gap_until = shard.gap_until;
  copy.records.push_back(MakeRecord(pending.id, it->second, now));
  out->push_back({*shard.standby, std::move(copy)});
}

// Only a grant waits for the acknowledgement of its copy. A standby that lacks
// a later state answers "in progress" or "outcome unknown", which is safe.
void ClaimTable::CopyClaim(ShardIndex index, ClaimShard& shard,
                           const ClaimId& id,
                           const std::optional<MemberId>& grant_to,
                           TimePoint now, ClaimMessages* out) {
  const std::uint64_t sequence = ++shard.last_sequence;
  PendingCopy pending{id, grant_to, now};
  if (grant_to && WaitsForCopyAck()) shard.claims.at(id).copy_pending = true;
  if (grant_to && !WaitsForCopyAck()) {
    Grant(index, shard, pending, now, out);
    pending.grant_to.reset();
  }
  shard.pending.emplace(sequence, pending);
  SendCopy(index, shard, sequence, now, out);
}

void ClaimTable::Grant(ShardIndex index, ClaimShard& shard,
                       const PendingCopy& pending, TimePoint now,
                       ClaimMessages* out) const {
  const auto it = shard.claims.find(pending.id);
  if (it == shard.claims.end() || !pending.grant_to) return;
  it->second.copy_pending = false;
  if (it->second.state != ClaimState::kClaimed || !MayAct(index, shard, now)) {
    return;
  }
  out->push_back({*pending.grant_to,
                  ClaimAnswer{it->second.nonce, ClaimVerdict::kGranted, {}}});
}

ClaimMessages ClaimTable::OnCopyAck(const MemberId& from,
                                    const ClaimCopyAck& ack, TimePoint now) {
  ClaimMessages out;
  const auto found = shards_.find(ack.shard);
  if (found == shards_.end()) return out;
  ClaimShard& shard = found->second;
  if (!shard.owner || shard.standby != from || shard.epoch != ack.epoch) {
    return out;
  }
  if (shard.snapshot.active && shard.snapshot.sequence == ack.sequence) {
    StartNextSnapshotBatch(ack.shard, shard, now, &out);
    return out;
  }
  const auto it = shard.pending.find(ack.sequence);
  if (it == shard.pending.end()) return out;
  const PendingCopy pending = it->second;
  shard.pending.erase(it);
  Grant(ack.shard, shard, pending, now, &out);
  return out;
}

// Without a standby, grants that wait for a copy are sent at once. If the owner
// then fails, its successor has a gap, and keys within a gap are never granted.
ClaimMessages ClaimTable::OnStandbyChanged(
    ShardIndex index, Epoch epoch, const std::optional<MemberId>& standby,
    TimePoint now) {
  ClaimMessages out;
  ClaimShard& shard = shards_[index];
  shard.epoch = epoch;
  shard.standby = standby;
  shard.snapshot = Snapshot{};
  if (!standby) {
    for (const auto& [sequence, pending] : shard.pending) {
      Grant(index, shard, pending, now, &out);
    }
    shard.pending.clear();
    return out;
  }
  for (const auto& [id, claim] : shard.claims) shard.snapshot.ids.push_back(id);
  shard.snapshot.active = true;
  StartNextSnapshotBatch(index, shard, now, &out);
  return out;
}

void ClaimTable::StartNextSnapshotBatch(ShardIndex index, ClaimShard& shard,
                                        TimePoint now,
                                        ClaimMessages* out) const {
  Snapshot& snapshot = shard.snapshot;
  const bool finished =
      snapshot.batch > 0 && snapshot.next >= snapshot.ids.size();
  if (finished) {
    snapshot = Snapshot{};
    return;
  }
  ++snapshot.batch;
  snapshot.next += settings_.snapshot_batch;
  snapshot.sequence = ++shard.last_sequence;
  SendSnapshotBatch(index, shard, now, out);
}

void ClaimTable::SendSnapshotBatch(ShardIndex index, ClaimShard& shard,
                                   TimePoint now, ClaimMessages* out) const {
  Snapshot& snapshot = shard.snapshot;
  snapshot.sent = now;
  ClaimCopy copy;
  copy.shard = index;
  copy.epoch = shard.epoch;
  copy.sequence = snapshot.sequence;
  copy.batch = snapshot.batch;
  copy.gap_until = shard.gap_until;
  copy.last_batch = snapshot.next >= snapshot.ids.size();
  const std::size_t first = snapshot.next - settings_.snapshot_batch;
  const std::size_t end = std::min(snapshot.next, snapshot.ids.size());
  for (std::size_t it = first; it < end; ++it) {
    const auto claim = shard.claims.find(snapshot.ids[it]);
    if (claim == shard.claims.end()) continue;
    copy.records.push_back(MakeRecord(claim->first, claim->second, now));
  }
  out->push_back({*shard.standby, std::move(copy)});
}

void ClaimTable::ResendCopies(ShardIndex index, ClaimShard& shard,
                              TimePoint now, ClaimMessages* out) const {
  if (!shard.standby) return;
  if (shard.snapshot.active &&
      now - shard.snapshot.sent >= settings_.copy_retry) {
    SendSnapshotBatch(index, shard, now, out);
  }
  for (auto& [sequence, pending] : shard.pending) {
    if (now - pending.sent < settings_.copy_retry) continue;
    SendCopy(index, shard, sequence, now, out);
  }
}

// The snapshot is complete only when all batches of one epoch arrived in order.
ClaimMessages ClaimTable::OnCopy(const MemberId& from, const ClaimCopy& copy,
                                 TimePoint now) {
  ClaimShard& shard = shards_[copy.shard];
  if (!AcceptsCopy(shard, copy)) return {};
  if (shard.epoch != copy.epoch) {
    shard.epoch = copy.epoch;
    shard.complete_epoch = Epoch{};
    shard.next_batch = 1;
    shard.pending.clear();
  }
  if (copy.batch > shard.next_batch) return {};
  if (claim_count_ >= kStandbyCapacityFactor * settings_.max_claims) return {};
  MergeGap(shard, copy);
  for (const ClaimRecord& record : copy.records) {
    ApplyRecord(copy.shard, shard, record, now);
  }
  if (copy.batch == shard.next_batch) {
    ++shard.next_batch;
    if (copy.last_batch) shard.complete_epoch = copy.epoch;
  }
  return {{from, ClaimCopyAck{copy.shard, copy.epoch, copy.sequence}}};
}

void ClaimTable::ApplyRecord(ShardIndex index, ClaimShard& shard,
                             const ClaimRecord& record, TimePoint now) {
  const auto [it, added] = shard.claims.try_emplace(record.id);
  Claim& claim = it->second;
  if (added) {
    ++claim_count_;
    AddExpiry(shard, record.id);
  }
  if (!added && !IsNewer(record, claim)) return;
  claim.request_digest = record.request_digest;
  claim.nonce = record.nonce;
  claim.serial = record.serial;
  claim.state = record.state;
  claim.in_progress_until = now + record.in_progress;
  claim.copy_pending = false;
  if (record.state == ClaimState::kDone && !claim.answer) {
    StoreAnswer(index, record.id, claim, record.answer);
  }
}

}  // namespace dogwoodrail::core::once
