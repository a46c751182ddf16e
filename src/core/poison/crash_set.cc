#include "core/poison/crash_set.h"

#include <algorithm>

#include "core/base/hash_func.h"

namespace dogwoodrail::core::poison {
namespace {

// Records whose remaining time is shorter are not sent, because the clocks of
// nodes and the time on the way differ.
constexpr base::Duration kExpiryMargin = std::chrono::seconds(5);
// Crashes beyond the bound after which a request is blocked even if other
// isolated requests were in flight at each of them.
constexpr std::uint32_t kExtraCrashes = 2;

// A completion counts for executions that begin up to this much later.
constexpr base::Duration kHarmlessTime = std::chrono::seconds(10);

constexpr EntryMask BitOf(std::size_t entry) { return EntryMask{1} << entry; }

}  // namespace

// Two executions that overlap say nothing of each other: a harmless request
// that is sent often is in flight at all backend servers that end at once.
std::uint32_t CountSuccessive(const std::vector<Sighting>& sightings) {
  std::uint32_t count = 0;
  base::TimePoint last_end;
  for (const Sighting& it : sightings) {
    if (count > 0 && it.begin < last_end) continue;
    ++count;
    last_end = it.end;
  }
  return count;
}

CrashSet::CrashSet(PoisonSettings settings) : settings_(settings) {}

bool CrashSet::ClearsOnCompletion() const { return true; }

PoisonStatus CrashSet::GetStatus(const Fingerprint& fingerprint) const {
  const auto it = sightings_.find(fingerprint);
  return it == sightings_.end() ? PoisonStatus::kClean : it->second.status;
}

std::vector<Sighting> CrashSet::SightingsOf(
    const Fingerprint& fingerprint) const {
  const auto it = sightings_.find(fingerprint);
  return it == sightings_.end() ? std::vector<Sighting>()
                                : it->second.sightings;
}

std::vector<Fingerprint> CrashSet::BlockedRequests() const {
  std::vector<Fingerprint> blocked;
  for (const auto& [fingerprint, it] : sightings_) {
    if (it.status == PoisonStatus::kBlocked) blocked.push_back(fingerprint);
  }
  return blocked;
}

base::TimePoint CrashSet::BlockedUntil(const Fingerprint& fingerprint) const {
  const auto it = sightings_.find(fingerprint);
  if (it == sightings_.end()) return {};
  return it->second.sightings.front().end + settings_.suspect_time;
}

// A crash blames one request with certainty only if no other isolated request
// was in flight.
void CrashSet::Reassess(Suspect& suspect) {
  const std::uint32_t count = CountSuccessive(suspect.sightings);
  const bool attributed =
      std::any_of(suspect.sightings.begin(), suspect.sightings.end(),
                  [](const Sighting& it) { return it.isolated; });
  const bool was_blocked = suspect.status == PoisonStatus::kBlocked;
  suspect.status = PoisonStatus::kSuspect;
  if (count + 1 >= settings_.crash_bound) {
    suspect.status = PoisonStatus::kIsolated;
  }
  const bool blocked = (count >= settings_.crash_bound && attributed) ||
                       count >= settings_.crash_bound + kExtraCrashes;
  if (blocked) suspect.status = PoisonStatus::kBlocked;
  if (blocked && !was_blocked) ++blocked_count_;
  if (!blocked && was_blocked) --blocked_count_;
}

bool CrashSet::Merge(const CrashRecord& record, base::TimePoint now) {
  const bool is_valid =
      !record.entries.empty() && record.entries.size() <= kMaxCrashEntries &&
      record.ended_at <= now && now - record.ended_at < settings_.suspect_time;
  if (!is_valid) return false;
  if (records_.count(record.id) > 0) return Clear(record.id, record.cleared);
  if (records_.size() >= settings_.max_records) EvictOne();
  CrashRecord& added = records_.emplace(record.id, record).first->second;
  for (std::size_t it = 0; it < added.entries.size(); ++it) {
    if (IsHarmless(added.entries[it], added.ended_at)) {
      added.cleared |= BitOf(it);
    }
  }
  AddSightings(added);
  ++change_count_;
  return true;
}

// A request that has turned into one that crashes backend servers is recognised
// once its last completion is older than kHarmlessTime.
bool CrashSet::IsHarmless(const CrashEntry& entry,
                          base::TimePoint ended_at) const {
  const base::TimePoint since = ended_at - entry.run - kHarmlessTime;
  return completions_.HasSince(entry.fingerprint, since);
}

void CrashSet::RemoveHarmless(ObservedCrash& crash) const {
  const auto is_harmless = [this, &crash](const CrashEntry& it) {
    return IsHarmless(it, crash.ended_at);
  };
  auto& entries = crash.entries;
  entries.erase(std::remove_if(entries.begin(), entries.end(), is_harmless),
                entries.end());
}

void CrashSet::AddSightings(const CrashRecord& record) {
  for (std::size_t it = 0; it < record.entries.size(); ++it) {
    if ((record.cleared & BitOf(it)) != 0) continue;
    const CrashEntry& entry = record.entries[it];
    const Sighting sighting{record.id, it, record.ended_at - entry.run,
                            record.ended_at, entry.isolated};
    Suspect& suspect = sightings_[entry.fingerprint];
    const auto later = [](base::TimePoint end, const Sighting& other) {
      return end < other.end;
    };
    auto& list = suspect.sightings;
    list.insert(std::upper_bound(list.begin(), list.end(), sighting.end, later),
                sighting);
    Reassess(suspect);
  }
}

void CrashSet::RemoveSighting(const CrashId& record, std::size_t entry,
                              const Fingerprint& fingerprint) {
  const auto found = sightings_.find(fingerprint);
  if (found == sightings_.end()) return;
  auto& list = found->second.sightings;
  const auto is_entry = [&](const Sighting& it) {
    return it.record == record && it.entry == entry;
  };
  list.erase(std::remove_if(list.begin(), list.end(), is_entry), list.end());
  Reassess(found->second);
  if (list.empty()) sightings_.erase(found);
}

bool CrashSet::Clear(const CrashId& record, EntryMask entries) {
  const auto found = records_.find(record);
  if (found == records_.end()) return false;
  CrashRecord& known = found->second;
  bool changed = false;
  for (std::size_t it = 0; it < known.entries.size(); ++it) {
    if ((entries & ~known.cleared & BitOf(it)) == 0) continue;
    known.cleared |= BitOf(it);
    RemoveSighting(record, it, known.entries[it].fingerprint);
    changed = true;
  }
  if (changed) ++change_count_;
  return changed;
}

std::vector<CrashId> CrashSet::OnCompleted(const Fingerprint& fingerprint,
                                           base::TimePoint now) {
  std::vector<CrashId> changed;
  if (!ClearsOnCompletion()) return changed;
  completions_.Add(fingerprint, now);
  for (const Sighting& it : SightingsOf(fingerprint)) {
    Clear(it.record, BitOf(it.entry));
    changed.push_back(it.record);
  }
  return changed;
}

// `id` may be the key in the map, which ends with the record.
void CrashSet::Remove(const CrashId& id) {
  const auto found = records_.find(id);
  const CrashRecord record = std::move(found->second);
  records_.erase(found);
  ++change_count_;
  for (std::size_t it = 0; it < record.entries.size(); ++it) {
    if ((record.cleared & BitOf(it)) != 0) continue;
    RemoveSighting(record.id, it, record.entries[it].fingerprint);
  }
}

void CrashSet::Tick(base::TimePoint now) {
  std::vector<CrashId> expired;
  for (const auto& [id, it] : records_) {
    if (now - it.ended_at >= settings_.suspect_time) expired.push_back(id);
  }
  for (const CrashId& id : expired) Remove(id);
}

// Evicts records that block nothing before others, and the oldest among equals.
void CrashSet::EvictOne() {
  const auto evicted_before = [this](const auto& a, const auto& b) {
    const bool a_blocks = HasBlocked(a.second);
    const bool b_blocks = HasBlocked(b.second);
    if (a_blocks != b_blocks) return b_blocks;
    return a.second.ended_at < b.second.ended_at;
  };
  Remove(std::min_element(records_.begin(), records_.end(), evicted_before)
             ->first);
  ++evicted_count_;
}

bool CrashSet::HasBlocked(const CrashRecord& record) const {
  if (blocked_count_ == 0) return false;
  return std::any_of(record.entries.begin(), record.entries.end(),
                     [this](const CrashEntry& it) {
                       return GetStatus(it.fingerprint) ==
                              PoisonStatus::kBlocked;
                     });
}

const CrashRecord* CrashSet::Find(const CrashId& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

std::size_t CrashSet::GroupOf(const CrashId& id) {
  return base::MixHash(id.observer.value(), id.number) % kDigestGroups;
}

bool CrashSet::IsExpiring(const CrashRecord& record,
                          base::TimePoint now) const {
  return now - record.ended_at + kExpiryMargin >= settings_.suspect_time;
}

CrashDigests CrashSet::Digests(base::TimePoint now) const {
  CrashDigests digests{};
  for (const auto& [id, it] : records_) {
    if (IsExpiring(it, now)) continue;
    const std::uint64_t hash = base::MixHash(id.observer.value(), id.number);
    digests.at(GroupOf(id)) ^= base::MixHash(hash, it.cleared + 1);
  }
  return digests;
}

}  // namespace dogwoodrail::core::poison
