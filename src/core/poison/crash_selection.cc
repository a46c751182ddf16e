#include "core/poison/crash_selection.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dogwoodrail::core::poison {
namespace {

using std::chrono::milliseconds;

// Sizes in the store.
constexpr std::size_t kRecordBytes = 100;
constexpr std::size_t kEntryBytes = 64;
constexpr std::size_t kClearedBytes = 60;

EntryMask AllEntries(const CrashRecord& record) {
  return (EntryMask{1} << record.entries.size()) - 1;
}

milliseconds ToMillis(base::Duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

std::size_t StoredBytes(const StoredCrash& crash) {
  return kRecordBytes + crash.entries.size() * kEntryBytes;
}

CrashRecord RestoreCrash(const StoredCrash& stored,
                         const base::NodeAddress& observer,
                         const ClockReading& now) {
  CrashRecord record;
  record.id = stored.id;
  record.observer = observer;
  record.ended_at = now.steady - (now.wall - stored.ended_at);
  record.cleared = stored.cleared;
  for (const StoredEntry& it : stored.entries) {
    record.entries.push_back({it.fingerprint, it.run, it.isolated});
  }
  return record;
}

void CrashSelection::Adopt(const StoredCrashes& stored) {
  for (const StoredCrash& it : stored.records) {
    ends_.emplace(it.id, it.ended_at);
  }
  for (const CrashSummary& it : stored.cleared) cleared_here_.insert(it.id);
}

void CrashSelection::OnClearedHere(const CrashId& id) {
  cleared_here_.insert(id);
}

base::WallTime CrashSelection::EndOf(const CrashRecord& record,
                                     const ClockReading& now) {
  const auto found = ends_.find(record.id);
  if (found != ends_.end()) return found->second;
  const base::WallTime end = now.wall - ToMillis(now.steady - record.ended_at);
  ends_.emplace(record.id, end);
  return end;
}

StoredCrash CrashSelection::ToStored(const CrashRecord& record,
                                     const ClockReading& now) {
  StoredCrash stored;
  stored.id = record.id;
  stored.ended_at = EndOf(record, now);
  stored.cleared = record.cleared;
  for (const CrashEntry& it : record.entries) {
    stored.entries.push_back({it.fingerprint, ToMillis(it.run), it.isolated});
  }
  return stored;
}

void CrashSelection::DropExpired() {
  for (auto it = ends_.begin(); it != ends_.end();) {
    it = crashes_.Find(it->first) == nullptr ? ends_.erase(it) : std::next(it);
  }
  for (auto it = cleared_here_.begin(); it != cleared_here_.end();) {
    it =
        crashes_.Find(*it) == nullptr ? cleared_here_.erase(it) : std::next(it);
  }
}

bool CrashSelection::IsUrgent(const CrashId& id) const {
  const CrashRecord* record = crashes_.Find(id);
  if (record == nullptr) return false;
  return std::any_of(record->entries.begin(), record->entries.end(),
                     [this](const CrashEntry& it) {
                       return crashes_.GetStatus(it.fingerprint) >=
                              PoisonStatus::kIsolated;
                     });
}

// A record that is cleared whole need not be kept: nothing of it counts.
StoredCrashes CrashSelection::Select(
    std::size_t max_bytes,
    const std::function<bool(const base::NodeAddress&)>& is_live,
    const ClockReading& now) {
  DropExpired();
  StoredCrashes kept;
  kept.observer = self_;
  std::size_t bytes = 0;
  for (const CrashId& id : cleared_here_) {
    const CrashRecord* record = crashes_.Find(id);
    const bool own = record->observer == self_ || ends_.count(id) > 0;
    if (own || is_live(record->observer)) continue;
    if (bytes + kClearedBytes > max_bytes) break;
    bytes += kClearedBytes;
    kept.cleared.push_back({id, record->cleared});
  }
  std::vector<const CrashRecord*> order;
  for (const auto& [id, it] : crashes_.records()) {
    const bool whole = (AllEntries(it) & ~it.cleared) == 0;
    const bool own = it.observer == self_ || ends_.count(id) > 0;
    if (own && !whole) order.push_back(&it);
  }
  std::sort(order.begin(), order.end(),
            [this](const CrashRecord* a, const CrashRecord* b) {
              const bool a_first = IsUrgent(a->id);
              const bool b_first = IsUrgent(b->id);
              if (a_first != b_first) return a_first;
              return a->ended_at > b->ended_at;
            });
  for (const CrashRecord* it : order) {
    StoredCrash stored = ToStored(*it, now);
    if (bytes + StoredBytes(stored) > max_bytes) continue;
    bytes += StoredBytes(stored);
    kept.records.push_back(std::move(stored));
  }
  std::sort(
      kept.records.begin(), kept.records.end(),
      [](const StoredCrash& a, const StoredCrash& b) { return a.id < b.id; });
  return kept;
}

}  // namespace dogwoodrail::core::poison
