#include "core/poison/crash_archive.h"

#include <algorithm>
#include <utility>

#include "core/base/backoff_func.h"

namespace dogwoodrail::core::poison {
namespace {

// Interval at which changes of the set are looked at.
constexpr base::Duration kRefreshInterval = std::chrono::milliseconds(20);
// The same without a change: a node whose records were cleared may have ended.
constexpr base::Duration kIdleRefreshInterval = std::chrono::seconds(1);
// Crashes further in the future are not believed. Clocks of VMs differ, and may
// step, by seconds.
constexpr std::chrono::minutes kMaxClockDifference{1};

const StoredCrash* FindRecord(const StoredCrashes& crashes, const CrashId& id) {
  for (const StoredCrash& it : crashes.records) {
    if (it.id == id) return &it;
  }
  return nullptr;
}

bool Contains(const std::vector<CrashSummary>& list, const CrashSummary& item) {
  return std::any_of(list.begin(), list.end(), [&item](const CrashSummary& it) {
    return it.id == item.id && it.cleared == item.cleared;
  });
}

bool IsBelievable(const StoredCrash& crash, const ClockReading& now) {
  return crash.ended_at <= now.wall + kMaxClockDifference;
}

// Returns the clocks with the wall time set forward to that of the latest
// crash: if this is in the future, the clock of this VM is behind. The times
// between crashes, by which they are counted, stay as they are.
ClockReading AdjustToCrashes(const std::vector<CrashObject>& objects,
                             ClockReading now) {
  base::WallTime latest = now.wall;
  for (const CrashObject& object : objects) {
    for (const StoredCrash& it : object.crashes.records) {
      if (IsBelievable(it, now)) latest = std::max(latest, it.ended_at);
    }
  }
  now.wall = latest;
  return now;
}

}  // namespace

CrashArchive::CrashArchive(const ArchiveSettings& settings, CrashSet& crashes,
                           base::NodeAddress self, ArchivePorts ports,
                           std::uint64_t seed)
    : settings_(settings),
      crashes_(crashes),
      ports_(std::move(ports)),
      random_(seed),
      selection_(crashes, std::move(self)) {}

base::Duration CrashArchive::FleetInterval() const {
  const auto nodes = static_cast<std::int64_t>(ports_.count_members());
  return base::Duration(std::chrono::seconds(nodes)) / settings_.writes_per_s;
}

std::size_t CrashArchive::NodeBytes() const {
  const std::size_t nodes = std::max<std::size_t>(ports_.count_members(), 1);
  return std::clamp(settings_.fleet_bytes / nodes, settings_.min_node_bytes,
                    settings_.max_node_bytes);
}

// Small fleets may write all at once.
base::Duration CrashArchive::DrawPause() {
  const base::Duration limit = FleetInterval();
  if (limit <= settings_.write_interval) return base::Duration(0);
  return base::Duration(static_cast<base::Duration::rep>(
      base::RandomBelow(random_, static_cast<std::uint64_t>(limit.count()))));
}

// An object is written only after it was read: it may hold what an earlier
// process of this node has observed.
std::optional<ArchiveCall> CrashArchive::Next(const ClockReading& now) {
  if (call_ || now.steady < next_at_) return std::nullopt;
  if (!read_) {
    call_ = ArchiveCall::kList;
    return call_;
  }
  Refresh(now);
  if (write_at_ && now.steady >= std::max(*write_at_, next_write_)) {
    to_write_ = selection_.Select(NodeBytes(), ports_.is_live, now);
    call_ = ArchiveCall::kWrite;
  } else if (std::exchange(has_stale_, false)) {
    call_ = ArchiveCall::kRemove;
  }
  return call_;
}

void CrashArchive::Refresh(const ClockReading& now) {
  const bool changed = crashes_.change_count() != seen_changes_;
  const base::Duration pause =
      changed ? kRefreshInterval : kIdleRefreshInterval;
  if (now.steady < refreshed_at_ + pause) return;
  refreshed_at_ = now.steady;
  seen_changes_ = crashes_.change_count();
  const StoredCrashes kept =
      selection_.Select(NodeBytes(), ports_.is_live, now);
  if (!must_write_ && !IsChanged(kept)) {
    write_at_.reset();
    return;
  }
  const bool urgent = HasUrgentChange(kept);
  if (urgent) write_at_ = std::min(write_at_.value_or(now.steady), now.steady);
  if (write_at_) return;
  write_at_ = now.steady + DrawPause();
  if (!IsClearedSince()) *write_at_ += settings_.settle_time;
}

// Records that are too old are left in the store until the next write.
bool CrashArchive::IsChanged(const StoredCrashes& kept) const {
  for (const StoredCrash& it : kept.records) {
    const StoredCrash* known = FindRecord(stored_, it.id);
    if (known == nullptr || !(*known == it)) return true;
  }
  for (const CrashSummary& it : kept.cleared) {
    if (!Contains(stored_.cleared, it)) return true;
  }
  return IsClearedSince();
}

bool CrashArchive::IsClearedSince() const {
  return std::any_of(stored_.records.begin(), stored_.records.end(),
                     [this](const StoredCrash& it) {
                       const CrashRecord* record = crashes_.Find(it.id);
                       return record != nullptr &&
                              record->cleared != it.cleared;
                     });
}

bool CrashArchive::HasUrgentChange(const StoredCrashes& kept) const {
  return std::any_of(kept.records.begin(), kept.records.end(),
                     [this](const StoredCrash& it) {
                       return FindRecord(stored_, it.id) == nullptr &&
                              selection_.IsUrgent(it.id);
                     });
}

// What is cleared is applied last: it may be of a record of another object.
std::size_t CrashArchive::OnListed(const std::vector<CrashObject>& objects,
                                   const std::string& own_name,
                                   const ClockReading& now) {
  const bool outdated = std::exchange(call_outdated_, false);
  call_.reset();
  failures_ = 0;
  std::size_t added = 0;
  const ClockReading adjusted = AdjustToCrashes(objects, now);
  for (const CrashObject& object : objects) {
    for (const StoredCrash& it : object.crashes.records) {
      if (!IsBelievable(it, now)) continue;
      const CrashRecord record =
          RestoreCrash(it, object.crashes.observer, adjusted);
      if (crashes_.Merge(record, now.steady)) ++added;
    }
    if (object.node != own_name) continue;
    selection_.Adopt(object.crashes);
    has_object_ = true;
    must_write_ = outdated;
    stored_ = object.crashes;
  }
  for (const CrashObject& object : objects) {
    for (const CrashSummary& it : object.crashes.cleared) {
      crashes_.Clear(it.id, it.cleared);
    }
  }
  ChooseStale(objects, now);
  read_ = true;
  return added;
}

// One object a start suffices: there is one for each node that was ever named
// and has observed a crash.
void CrashArchive::ChooseStale(const std::vector<CrashObject>& objects,
                               const ClockReading& now) {
  std::vector<const CrashObject*> stale;
  for (const CrashObject& object : objects) {
    const auto is_old = [&](const StoredCrash& it) {
      return now.wall - it.ended_at >= settings_.remove_after;
    };
    const auto& records = object.crashes.records;
    const bool is_stale = std::all_of(records.begin(), records.end(), is_old);
    if (is_stale) stale.push_back(&object);
  }
  has_stale_ = !stale.empty();
  if (!has_stale_) return;
  to_remove_ = *stale[base::RandomBelow(random_, stale.size())];
}

void CrashArchive::OnWritten(const ClockReading& now) {
  call_.reset();
  failures_ = 0;
  next_write_ =
      now.steady + std::max(settings_.write_interval, FleetInterval());
  write_at_.reset();
  has_object_ = true;
  must_write_ = std::exchange(call_outdated_, false);
  stored_ = std::move(to_write_);
  refreshed_at_ = {};
}

void CrashArchive::OnFailed(const ClockReading& now) {
  call_.reset();
  call_outdated_ = false;
  const base::Duration longest = std::max(settings_.retry_max, FleetInterval());
  next_at_ = now.steady + base::BackoffDelay(failures_, settings_.retry_min,
                                             longest, random_);
  ++failures_;
}

// The object is written again without being read: a write that changes nothing
// costs no more. It may be an older one, with what has been cleared since.
void CrashArchive::OnEraChanged(const ClockReading& now) {
  call_outdated_ = call_.has_value();
  if (!has_object_) return;
  must_write_ = true;
  refreshed_at_ = {};
  next_at_ = now.steady;
}

void CrashArchive::OnStoreReached(const ClockReading& now) {
  if (!read_ && !call_) next_at_ = now.steady;
}

}  // namespace dogwoodrail::core::poison
