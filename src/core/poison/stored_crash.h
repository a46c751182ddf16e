#ifndef DOGWOODRAIL_CORE_POISON_STORED_CRASH_H_
#define DOGWOODRAIL_CORE_POISON_STORED_CRASH_H_

#include <chrono>
#include <string>
#include <vector>

#include "core/poison/crash_spread.h"
#include "core/poison/poison_type.h"

namespace dogwoodrail::core::poison {

// The present time on both clocks. Times in the store are wall times, because
// they outlive the processes.
struct ClockReading {
  base::TimePoint steady;
  base::WallTime wall;
};

// An execution of a stored crash.
struct StoredEntry {
  Fingerprint fingerprint;
  std::chrono::milliseconds run{0};  // from its start to its end
  bool isolated = false;

  friend bool operator==(const StoredEntry& a, const StoredEntry& b) {
    return a.fingerprint == b.fingerprint && a.run == b.run &&
           a.isolated == b.isolated;
  }
};

// A crash record as the store has it; see CrashRecord.
struct StoredCrash {
  CrashId id;
  base::WallTime ended_at;
  std::vector<StoredEntry> entries;
  EntryMask cleared = 0;

  friend bool operator==(const StoredCrash& a, const StoredCrash& b) {
    return a.id == b.id && a.ended_at == b.ended_at && a.entries == b.entries &&
           a.cleared == b.cleared;
  }
};

// What one node keeps in the store.
struct StoredCrashes {
  base::NodeAddress observer;  // of the records
  std::vector<StoredCrash> records;
  // What completions at this node have cleared of records of nodes that are
  // gone, and so cannot store it themselves.
  std::vector<CrashSummary> cleared;
};

// An object of the store with crashes; `node` is its name.
struct CrashObject {
  std::string node;
  std::uint64_t revision = 0;
  StoredCrashes crashes;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_STORED_CRASH_H_
