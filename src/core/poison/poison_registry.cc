#include "core/poison/poison_registry.h"

#include <algorithm>

namespace dogwoodrail::core::poison {
namespace {

// Versions of a later owner are above all of an earlier one.
constexpr unsigned kEpochShift = 24;

}  // namespace

PoisonRegistry::PoisonRegistry(PoisonSettings settings) : settings_(settings) {}

bool PoisonRegistry::ClearsOnCompletion() const { return true; }

PoisonStatus PoisonRegistry::GetStatus(const Fingerprint& fingerprint,
                                       base::TimePoint now) const {
  const auto it = entries_.find(fingerprint);
  if (it == entries_.end() || it->second.expires <= now) {
    return PoisonStatus::kClean;
  }
  const PoisonEntry& entry = it->second;
  const bool last = entry.status == PoisonStatus::kSuspect &&
                    entry.crashes + 1 >= settings_.crash_bound;
  return last ? PoisonStatus::kIsolatedSuspect : entry.status;
}

void PoisonRegistry::MarkSuspect(const Fingerprint& fingerprint,
                                 base::TimePoint now) {
  PoisonEntry* entry = Room(fingerprint, now);
  if (entry->status == PoisonStatus::kBlocked) return;
  entry->status = PoisonStatus::kSuspect;
  entry->expires = now + settings_.suspect_time;
}

std::optional<PoisonRumour> PoisonRegistry::OnReport(const PoisonReport& report,
                                                     std::uint64_t epoch,
                                                     base::TimePoint now) {
  PoisonEntry* entry = Room(report.fingerprint, now);
  const auto& counted = entry->counted;
  const bool repeated =
      std::find(counted.begin(), counted.end(), report.id) != counted.end();
  if (repeated || entry->status == PoisonStatus::kBlocked) return std::nullopt;
  const bool completed = report.observation == PoisonObservation::kCompleted;
  if (completed && !ClearsOnCompletion()) return std::nullopt;
  if (completed && entry->status == PoisonStatus::kClean) return std::nullopt;
  Count(*entry, report, now);
  entry->version = std::max(entry->version, epoch << kEpochShift) + 1;
  return MakeRumour(report.fingerprint, *entry, now);
}

// Completion proves that the request does not crash each backend server that
// runs it: the count starts again. Of the crashes before it was known as a
// suspect one counts: a harmless request that many send is in flight at each
// crash until rumours have arrived.
void PoisonRegistry::Count(PoisonEntry& entry, const PoisonReport& report,
                           base::TimePoint now) const {
  entry.expires = now + settings_.suspect_time;
  if (report.observation == PoisonObservation::kCompleted) {
    entry.crashes = 0;
    entry.status = PoisonStatus::kClean;
    return;
  }
  entry.counted.push_back(report.id);
  if (entry.counted.size() > settings_.crash_bound) {
    entry.counted.erase(entry.counted.begin());
  }
  const bool counts = report.observation == PoisonObservation::kOnlySuspect ||
                      entry.crashes == 0;
  if (counts) ++entry.crashes;
  entry.status = PoisonStatus::kSuspect;
  if (entry.crashes < settings_.crash_bound) return;
  entry.status = PoisonStatus::kBlocked;
  entry.expires = now + settings_.conviction_time;
}

bool PoisonRegistry::OnRumour(const PoisonRumour& rumour, base::TimePoint now) {
  const auto known = entries_.find(rumour.fingerprint);
  if (known != entries_.end() && known->second.version >= rumour.version) {
    return false;
  }
  if (rumour.expires_in <= base::Duration{0}) return false;
  PoisonEntry* entry = Room(rumour.fingerprint, now);
  entry->version = rumour.version;
  entry->crashes = rumour.crashes;
  entry->status = rumour.status;
  entry->expires = now + rumour.expires_in;
  return true;
}

PoisonRumour PoisonRegistry::MakeRumour(const Fingerprint& fingerprint,
                                        const PoisonEntry& entry,
                                        base::TimePoint now) const {
  PoisonRumour rumour;
  rumour.fingerprint = fingerprint;
  rumour.version = entry.version;
  rumour.crashes = entry.crashes;
  rumour.status = entry.status;
  rumour.expires_in = std::max(base::Duration{0}, entry.expires - now);
  return rumour;
}

std::vector<PoisonRumour> PoisonRegistry::Rumours(base::TimePoint now) const {
  std::vector<PoisonRumour> rumours;
  for (const auto& [fingerprint, entry] : entries_) {
    if (entry.version == 0 || entry.expires <= now) continue;
    rumours.push_back(MakeRumour(fingerprint, entry, now));
  }
  return rumours;
}

// An entry that has expired begins anew but keeps its version, so that its
// owner's next decision replaces the old one elsewhere.
PoisonEntry* PoisonRegistry::Room(const Fingerprint& fingerprint,
                                  base::TimePoint now) {
  const auto it = entries_.find(fingerprint);
  if (it != entries_.end()) {
    PoisonEntry& entry = it->second;
    if (entry.expires <= now) {
      const std::uint64_t version = entry.version;
      entry = PoisonEntry{};
      entry.version = version;
    }
    return &entry;
  }
  if (entries_.size() >= settings_.max_entries) DropOne();
  return &entries_[fingerprint];
}

// Suspects go before convictions, and what expires soon before the rest.
void PoisonRegistry::DropOne() {
  const auto before = [](const auto& a, const auto& b) {
    const bool a_convicted = a.second.status == PoisonStatus::kBlocked;
    const bool b_convicted = b.second.status == PoisonStatus::kBlocked;
    if (a_convicted != b_convicted) return b_convicted;
    return a.second.expires < b.second.expires;
  };
  const auto it = std::min_element(entries_.begin(), entries_.end(), before);
  if (it != entries_.end()) entries_.erase(it);
}

void PoisonRegistry::Tick(base::TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = it->second.expires <= now ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace dogwoodrail::core::poison
