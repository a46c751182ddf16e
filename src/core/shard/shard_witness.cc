// Leases and seals of witnesses, and their collection by owners and successors.
#include <algorithm>

#include "core/shard/shard_func.h"
#include "core/shard/shard_table.h"

namespace dogwoodrail::core::shard {
namespace {

// Returns the index of a witness in the record, or the number of witnesses if
// it is not one.
std::size_t WitnessIndex(const ShardRecord& record, const MemberId& member) {
  const auto it =
      std::find(record.witnesses.begin(), record.witnesses.end(), member);
  return static_cast<std::size_t>(it - record.witnesses.begin());
}

}  // namespace

// Grants a lease to one holder per epoch, and to none at or below a sealed
// epoch. After a grant for a higher epoch, lower epochs get no more leases.
void ShardTable::OnWitnessLeaseRequest(ShardEntry* entry, const MemberId& from,
                                       const ShardMessage& message,
                                       TimePoint now) {
  if (message.record) {
    AdoptRecord(entry, *message.record, message.version, now);
  }
  WitnessState& witness = entry->witness;
  const bool sealed = !(witness.sealed < message.epoch);
  const bool outdated = message.epoch < witness.epoch;
  const bool other_holder =
      message.epoch == witness.epoch && witness.holder != from;
  ShardMessage answer =
      MakeMessage(ShardMessageKind::kWitnessLeaseReply, *entry);
  answer.epoch = message.epoch;
  answer.echo = message.sent;
  answer.affirmed = !sealed && !outdated && !other_holder;
  if (answer.affirmed) {
    witness.epoch = message.epoch;
    witness.holder = from;
    entry->owner_last_heard = now;
    if (SoloEpoch(message.epoch) == message.epoch &&
        KnownEpoch(entry->shard) < message.epoch) {
      entry->solo_epoch = message.epoch;
      entry->solo_owner = from;
    }
  } else {
    answer.record = entry->record;
    answer.version = entry->version;
  }
  Send(from, std::move(answer), now);
}

void ShardTable::OnWitnessLeaseReply(ShardEntry* entry, const MemberId& from,
                                     const ShardMessage& message,
                                     TimePoint now) {
  if (message.record) {
    AdoptRecord(entry, *message.record, message.version, now);
  }
  if (!message.affirmed || Peer(*entry) == std::nullopt) {
    if (!message.affirmed || !IsPrimary(*entry)) return;
  }
  const std::size_t index = WitnessIndex(*entry->record, from);
  if (index == entry->record->witnesses.size()) return;
  const Epoch recorded = entry->record->epoch;
  if (message.epoch == recorded) {
    TimePoint* lease_from = &entry->witness_leases_from[index];
    *lease_from = std::max(*lease_from, message.echo);
  } else if (message.epoch == SoloEpoch(recorded) && entry->solo_requested) {
    TimePoint* lease_from = &entry->solo_leases_from[index];
    *lease_from = std::max(*lease_from, message.echo);
    if (HasWitnessMajority(*entry, entry->solo_leases_from, now)) {
      entry->solo_granted = true;
      entry->solo_epoch = message.epoch;
      entry->solo_owner = self_.id;
    }
  }
}

void ShardTable::OnSealRequest(ShardEntry* entry, const MemberId& from,
                               const ShardMessage& message, TimePoint now) {
  WitnessState& witness = entry->witness;
  witness.sealed = std::max(witness.sealed, message.epoch);
  ShardMessage answer = MakeMessage(ShardMessageKind::kSeal, *entry);
  answer.epoch = message.epoch;
  answer.echo = message.sent;
  Send(from, std::move(answer), now);
}

void ShardTable::OnSeal(ShardEntry* entry, const MemberId& from,
                        const ShardMessage& message, TimePoint now) {
  SuccessorState& successor = entry->successor;
  if (!successor.active || message.epoch != successor.sealed_epoch) return;
  if (message.echo < successor.started) return;
  const std::size_t index = WitnessIndex(*entry->record, from);
  if (index == entry->record->witnesses.size()) return;
  if (successor.sealed_at[index] == kNever) successor.sealed_at[index] = now;
}

// Sends requests at the short renew interval until leases of a majority cover
// the next witness lease interval.
void ShardTable::TickWitnessLeases(ShardEntry* entry, TimePoint now) {
  if (!IsPrimary(*entry) && !(IsStandby(*entry) && entry->solo_requested)) {
    return;
  }
  if (entry->relinquished || now < entry->next_lease_request) return;
  const auto& from = entry->solo_requested ? entry->solo_leases_from
                                           : entry->witness_leases_from;
  const bool enough =
      HasWitnessMajority(*entry, from, now + settings_.witness_lease_interval);
  entry->next_lease_request = now + (enough ? settings_.witness_lease_interval
                                            : settings_.renew_interval);
  const Epoch recorded = entry->record->epoch;
  for (const MemberId& witness : entry->record->witnesses) {
    ShardMessage request =
        MakeMessage(ShardMessageKind::kWitnessLeaseRequest, *entry);
    request.epoch = entry->solo_requested ? SoloEpoch(recorded) : recorded;
    request.record = entry->record;
    request.version = entry->version;
    Send(witness, std::move(request), now);
  }
}

}  // namespace dogwoodrail::core::shard
