#include "core/poison/poison_registry.h"

#include <algorithm>

namespace dogwoodrail::core::poison {
namespace {

// The epoch fills the bits above this, so that versions given by a later owner
// are higher than those of an earlier one.
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
  const bool next_crash_blocks = entry.status == PoisonStatus::kSuspect &&
                                 entry.crashes + 1 >= settings_.crash_bound;
  return next_crash_blocks ? PoisonStatus::kIsolatedSuspect : entry.status;
}

void PoisonRegistry::MarkSuspect(const Fingerprint& fingerprint,
                                 base::TimePoint now) {
  PoisonEntry* entry = FindOrCreate(fingerprint, now);
  if (entry->status == PoisonStatus::kBlocked) return;
  entry->status = PoisonStatus::kSuspect;
  entry->expires = now + settings_.suspect_time;
}

std::optional<PoisonRumour> PoisonRegistry::OnReport(const PoisonReport& report,
                                                     std::uint64_t epoch,
                                                     base::TimePoint now) {
  PoisonEntry* entry = FindOrCreate(report.fingerprint, now);
  const auto& counted = entry->counted_reports;
  const bool repeated =
      std::find(counted.begin(), counted.end(), report.id) != counted.end();
  if (repeated || entry->status == PoisonStatus::kBlocked) return std::nullopt;
  const bool completed = report.observation == PoisonObservation::kCompleted;
  if (completed && !ClearsOnCompletion()) return std::nullopt;
  if (completed && entry->status == PoisonStatus::kClean) return std::nullopt;
  ApplyReport(*entry, report, now);
  entry->version = std::max(entry->version, epoch << kEpochShift) + 1;
  return MakeRumour(report.fingerprint, *entry, now);
}

// A completed execution shows that the request does not crash every backend
// server, so its crash count is reset. Of the crashes before the request was
// known as a suspect only one is counted: a harmless request that is sent often
// is in flight at every crash until the nodes have received the rumour.
void PoisonRegistry::ApplyReport(PoisonEntry& entry, const PoisonReport& report,
                                 base::TimePoint now) const {
  entry.expires = now + settings_.suspect_time;
  if (report.observation == PoisonObservation::kCompleted) {
    entry.crashes = 0;
    entry.status = PoisonStatus::kClean;
    return;
  }
  entry.counted_reports.push_back(report.id);
  if (entry.counted_reports.size() > settings_.crash_bound) {
    entry.counted_reports.erase(entry.counted_reports.begin());
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
  PoisonEntry* entry = FindOrCreate(rumour.fingerprint, now);
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

// An expired entry is reset but keeps its version, so that the next decision of
// the owner replaces the old one on the other nodes.
PoisonEntry* PoisonRegistry::FindOrCreate(const Fingerprint& fingerprint,
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
  if (entries_.size() >= settings_.max_entries) EvictOne();
  return &entries_[fingerprint];
}

// Evicts suspects before blocked requests, and the entry that expires first
// among equals.
void PoisonRegistry::EvictOne() {
  const auto evicted_before = [](const auto& a, const auto& b) {
    const bool a_blocked = a.second.status == PoisonStatus::kBlocked;
    const bool b_blocked = b.second.status == PoisonStatus::kBlocked;
    if (a_blocked != b_blocked) return b_blocked;
    return a.second.expires < b.second.expires;
  };
  const auto it =
      std::min_element(entries_.begin(), entries_.end(), evicted_before);
  if (it != entries_.end()) entries_.erase(it);
}

void PoisonRegistry::Tick(base::TimePoint now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    it = it->second.expires <= now ? entries_.erase(it) : std::next(it);
  }
}

}  // namespace dogwoodrail::core::poison
