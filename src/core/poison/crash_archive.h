#ifndef DOGWOODRAIL_CORE_POISON_CRASH_ARCHIVE_H_
#define DOGWOODRAIL_CORE_POISON_CRASH_ARCHIVE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "core/base/random_type.h"
#include "core/poison/crash_selection.h"

namespace dogwoodrail::core::poison {

// Intervals and limits of what nodes keep of crashes in the store.
struct ArchiveSettings {
  // Pause before a record is written: the completions of other nodes clear most
  // records of sound requests within it.
  base::Duration settle_time = std::chrono::milliseconds(100);
  // Shortest time between two writes of a node.
  base::Duration write_interval = std::chrono::milliseconds(250);
  // Writes a second of all nodes together, by which pauses and intervals grow
  // with the fleet. The store takes 400 a second.
  int writes_per_s = 100;
  // Backoff after a failed call.
  base::Duration retry_min = std::chrono::milliseconds(200);
  base::Duration retry_max = std::chrono::milliseconds(1600);
  // Bytes of all nodes together, which a node that starts reads.
  std::size_t fleet_bytes = 8'000'000;
  std::size_t min_node_bytes = 1000;
  std::size_t max_node_bytes = 16'000;
  // Objects are removed once all of their crashes are older than that.
  base::Duration remove_after = std::chrono::hours(1);
};

// Call to the store.
enum class ArchiveCall : std::uint8_t {
  kList,    // read the objects of all nodes
  kWrite,   // create or replace this node's object
  kRemove,  // remove an object that nobody needs, unless it has changed
};

// How the archive learns of the fleet.
struct ArchivePorts {
  std::function<bool(const base::NodeAddress&)> is_live;
  std::function<std::size_t()> count_members;
};

// Keeps the crashes that a node has observed in the store, so that they outlive
// all processes: a node reads those of all nodes at its start, and writes its
// own object when they change. Does no I/O itself.
class CrashArchive {
 public:
  CrashArchive(const ArchiveSettings& settings, CrashSet& crashes,
               base::NodeAddress self, ArchivePorts ports, std::uint64_t seed);

  // Returns the call that is due, if any. At most one call is in progress.
  std::optional<ArchiveCall> Next(const ClockReading& now);
  // Returns what kWrite writes.
  const StoredCrashes& to_write() const { return to_write_; }
  // Returns the object that kRemove removes.
  const CrashObject& to_remove() const { return to_remove_; }
  // Handles the result of kList: adds the crashes to the set. `own_name` is the
  // name of this node's object. Returns the number of records added.
  std::size_t OnListed(const std::vector<CrashObject>& objects,
                       const std::string& own_name, const ClockReading& now);
  // Handles the acknowledgement of kWrite.
  void OnWritten(const ClockReading& now);
  // Handles the end of kRemove, also by failure: another start tries again.
  void OnRemoved() { call_.reset(); }
  // Handles the failure of kList or kWrite.
  void OnFailed(const ClockReading& now);
  // Handles that the store has come back from an older copy, and may have lost
  // what it had acknowledged.
  void OnEraChanged(const ClockReading& now);
  // Handles that the store has been reached: a read that failed need not wait.
  void OnStoreReached(const ClockReading& now);
  // Handles that a completion at this node has cleared entries of a record.
  void OnClearedHere(const CrashId& id) { selection_.OnClearedHere(id); }

  // Returns true once the crashes of all nodes have been read.
  bool is_read() const { return read_; }
  // Returns true if the store has what this node wants to keep.
  bool is_written() const { return read_ && !write_at_; }

 private:
  // Finds out whether what is kept differs from what the store has, and when it
  // is to be written.
  void Refresh(const ClockReading& now);
  // Returns true if a write is due to records that may not wait.
  bool HasUrgentChange(const StoredCrashes& kept) const;
  // Returns true if the store lacks something of `kept`, or has something that
  // is cleared since.
  bool IsChanged(const StoredCrashes& kept) const;
  // Returns true if the store has something that is cleared since.
  bool IsClearedSince() const;
  // Returns the mean time between writes at which all nodes together keep to
  // writes_per_s.
  base::Duration FleetInterval() const;
  std::size_t NodeBytes() const;
  // Returns a random time below the fleet's interval, by which nodes that have
  // something to write at the same moment are spread.
  base::Duration DrawPause();
  void ChooseStale(const std::vector<CrashObject>& objects,
                   const ClockReading& now);

  ArchiveSettings settings_;
  CrashSet& crashes_;
  ArchivePorts ports_;
  base::Random random_;
  CrashSelection selection_;
  StoredCrashes stored_;    // what the store has
  StoredCrashes to_write_;  // what the write in progress writes
  CrashObject to_remove_;
  bool has_stale_ = false;
  std::optional<ArchiveCall> call_;
  bool call_outdated_ = false;  // the era has changed since its start
  base::TimePoint next_at_;     // not before
  base::TimePoint next_write_;  // not before
  base::TimePoint refreshed_at_;
  std::optional<base::TimePoint> write_at_;
  bool has_object_ = false;  // the store has an object of this node
  bool must_write_ = false;  // whatever the store is known to have
  std::uint64_t seen_changes_ = 0;
  std::uint32_t failures_ = 0;
  bool read_ = false;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_CRASH_ARCHIVE_H_
