#include "core/member/member_store.h"

#include <algorithm>

#include "core/base/hash_func.h"

namespace dogwoodrail::core::member {
namespace {

// The digest does not cover the suspicion state. Suspicions are short, and
// would make the digests of different nodes differ most of the time.
std::uint64_t DigestOf(const Member& member) {
  return base::MixHash(member.address_hash, member.record.version);
}

bool IsReady(const MemberRecord& record) {
  return record.IsLive() && record.backend.phase == BackendPhase::kReady;
}

}  // namespace

std::uint64_t ZoneGroup::Digest() const {
  std::uint64_t digest = 0;
  for (std::size_t it = 0; it < kBucketCount; ++it) {
    if (buckets[it] != 0) digest ^= base::MixHash(buckets[it], it);
  }
  return digest;
}

bool Overrides(const MemberRecord& a, const MemberRecord& b) {
  if (a.version != b.version) return a.version > b.version;
  return a.state > b.state;
}

std::size_t BucketOf(std::uint64_t address_hash) {
  return address_hash % kBucketCount;
}

RecordChange MemberStore::Apply(const MemberRecord& record,
                                base::TimePoint now) {
  RecordChange change;
  const auto found = by_address_.find(record.address);
  if (found == by_address_.end()) {
    Member member;
    member.record = record;
    member.address_hash = base::StableHash(record.address.value());
    FindOrAddZone(record, &member.zone_slot);
    member.dead_since = now;
    change.index = members_.Add(std::move(member));
    by_address_.emplace(record.address, change.index);
    AddToIndexes(change.index);
    change.accepted = true;
    return change;
  }
  change.index = found->second;
  change.was_known = true;
  Member* member = members_.Find(change.index);
  if (!Overrides(record, member->record)) return change;
  change.before = member->record;
  RemoveFromIndexes(change.index);
  member->record = record;
  FindOrAddZone(record, &member->zone_slot);
  member->dead_since = now;
  if (record.version != change.before.version) member->unreachable = false;
  AddToIndexes(change.index);
  change.accepted = true;
  return change;
}

void MemberStore::RemoveDeadBefore(base::TimePoint limit) {
  for (ZoneGroup& zone : zones_) {
    const std::vector<MemberIndex> dead = zone.dead;
    for (const MemberIndex index : dead) {
      const Member* member = members_.Find(index);
      if (member->dead_since >= limit) continue;
      RemoveFromIndexes(index);
      by_address_.erase(member->record.address);
      members_.Remove(index);
    }
  }
}

void MemberStore::Clear() { *this = MemberStore(); }

const Member* MemberStore::Find(const base::NodeAddress& address) const {
  const auto found = by_address_.find(address);
  return found == by_address_.end() ? nullptr : members_.Find(found->second);
}

void MemberStore::SetAccuser(MemberIndex index, std::uint32_t accuser) {
  Member* member = members_.Find(index);
  if (member != nullptr) member->record.accuser = accuser;
}

void MemberStore::SetUnreachable(MemberIndex index, bool unreachable) {
  Member* member = members_.Find(index);
  if (member != nullptr) member->unreachable = unreachable;
}

void MemberStore::ForEachReady(
    const base::ServiceName& service,
    const std::function<void(const MemberRecord&)>& fn) const {
  const auto found = ready_.find(service);
  if (found == ready_.end()) return;
  for (const MemberIndex index : found->second) {
    fn(members_.Find(index)->record);
  }
}

void MemberStore::ForEach(
    const std::function<void(const MemberRecord&)>& fn) const {
  for (const ZoneGroup& zone : zones_) {
    for (const MemberIndex it : zone.live) fn(members_.Find(it)->record);
    for (const MemberIndex it : zone.dead) fn(members_.Find(it)->record);
  }
}

const ZoneGroup* MemberStore::FindZone(const base::ZoneName& zone) const {
  for (const ZoneGroup& it : zones_) {
    if (it.zone == zone) return &it;
  }
  return nullptr;
}

// A linear scan suffices: there are few zones, and none is ever removed.
ZoneGroup& MemberStore::FindOrAddZone(const MemberRecord& record,
                                      std::uint32_t* slot) {
  for (std::size_t it = 0; it < zones_.size(); ++it) {
    if (zones_[it].zone != record.zone) continue;
    *slot = static_cast<std::uint32_t>(it);
    return zones_[it];
  }
  *slot = static_cast<std::uint32_t>(zones_.size());
  zones_.emplace_back();
  zones_.back().zone = record.zone;
  zones_.back().region = record.region;
  return zones_.back();
}

std::vector<MemberIndex>& MemberStore::ListOf(const Member& member) {
  ZoneGroup& zone = zones_[member.zone_slot];
  return member.record.IsLive() ? zone.live : zone.dead;
}

void MemberStore::AddToIndexes(MemberIndex index) {
  Member* member = members_.Find(index);
  std::vector<MemberIndex>& list = ListOf(*member);
  member->zone_position = static_cast<std::uint32_t>(list.size());
  list.push_back(index);
  if (IsReady(member->record)) {
    ready_[member->record.backend.service].push_back(index);
  }
  if (!member->record.IsLive()) return;
  ++live_count_;
  zones_[member->zone_slot].buckets[BucketOf(member->address_hash)] ^=
      DigestOf(*member);
}

void MemberStore::RemoveFromIndexes(MemberIndex index) {
  Member* member = members_.Find(index);
  std::vector<MemberIndex>& list = ListOf(*member);
  list[member->zone_position] = list.back();
  members_.Find(list.back())->zone_position = member->zone_position;
  list.pop_back();
  if (IsReady(member->record)) {
    const auto found = ready_.find(member->record.backend.service);
    std::vector<MemberIndex>& ready = found->second;
    ready.erase(std::remove(ready.begin(), ready.end(), index), ready.end());
    if (ready.empty()) ready_.erase(found);
  }
  if (!member->record.IsLive()) return;
  --live_count_;
  zones_[member->zone_slot].buckets[BucketOf(member->address_hash)] ^=
      DigestOf(*member);
}

}  // namespace dogwoodrail::core::member
