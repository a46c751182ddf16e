#ifndef DOGWOODRAIL_CORE_POISON_CRASH_SELECTION_H_
#define DOGWOODRAIL_CORE_POISON_CRASH_SELECTION_H_

#include <cstddef>
#include <map>
#include <set>

#include "core/poison/crash_set.h"
#include "core/poison/stored_crash.h"

namespace dogwoodrail::core::poison {

// Chooses which of the crashes known to a node it keeps in the store: those it
// has observed, those against blocked requests first, within a number of bytes.
class CrashSelection {
 public:
  // `self` is the address under which this node observes crashes.
  CrashSelection(const CrashSet& crashes, base::NodeAddress self)
      : crashes_(crashes), self_(std::move(self)) {}

  // Takes over what an earlier process of this node has stored.
  void Adopt(const StoredCrashes& stored);
  // Handles that a completion at this node has cleared entries of a record.
  void OnClearedHere(const CrashId& id);
  // Returns what to keep, ordered by id.
  StoredCrashes Select(
      std::size_t max_bytes,
      const std::function<bool(const base::NodeAddress&)>& is_live,
      const ClockReading& now);
  // Returns true if the record counts against an isolated or blocked request.
  bool IsUrgent(const CrashId& id) const;

 private:
  // Returns the wall time at which a record's process ended. It is computed
  // once, so that a step of the clock does not change what is stored.
  base::WallTime EndOf(const CrashRecord& record, const ClockReading& now);
  StoredCrash ToStored(const CrashRecord& record, const ClockReading& now);
  // Forgets what is no longer in the set.
  void DropExpired();

  const CrashSet& crashes_;
  base::NodeAddress self_;
  std::map<CrashId, base::WallTime> ends_;
  std::set<CrashId> cleared_here_;
};

// Returns a record as it was before it was stored. Its time must not lie in the
// future.
CrashRecord RestoreCrash(const StoredCrash& stored,
                         const base::NodeAddress& observer,
                         const ClockReading& now);

// Returns the approximate size of a stored crash in bytes.
std::size_t StoredBytes(const StoredCrash& crash);

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_CRASH_SELECTION_H_
