#ifndef DOGWOODRAIL_CORE_MEMBER_DIRECTORY_H_
#define DOGWOODRAIL_CORE_MEMBER_DIRECTORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/backend/drain_marks.h"
#include "core/base/id_type.h"
#include "core/base/random_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::member {

// Entry of a node in the shared directory. Other nodes find its address there,
// and the node itself reads the drain mark after a restart.
struct DirectoryEntry {
  base::NodeAddress address;
  std::optional<backend::DrainMark> drained;
  // Marks before `drained`, of other ids; the oldest first.
  std::vector<backend::DrainMark> drained_before{};
};

// Intervals of the directory calls.
struct DirectorySettings {
  // Backoff after a failed call; doubles with each failure up to retry_max.
  base::Duration retry_min = std::chrono::milliseconds(200);
  base::Duration retry_max = std::chrono::milliseconds(1600);
  // Pause before the directory is listed again while no other node is known;
  // doubles up to relist_max.
  base::Duration relist_min = std::chrono::seconds(1);
  base::Duration relist_max = std::chrono::seconds(16);
  // After a change of the store's era each node reads its entry again, after a
  // random delay below verify_min, or as much more as keeps all nodes together
  // at verify_rate reads a second. Each of them may take two writes, and the
  // store takes 400 a second from all nodes.
  base::Duration verify_min = std::chrono::milliseconds(500);
  int verify_rate = 120;
  // A node with a drain mark younger than fresh_mark goes first: the copy is
  // some seconds old and may lack the mark. The delay is below
  // verify_marked_min, or a marked_share-th of the usual one: older marks,
  // which most nodes have, would make a rush of all of them.
  base::Duration fresh_mark = std::chrono::seconds(60);
  base::Duration verify_marked_min = std::chrono::milliseconds(200);
  int marked_share = 50;
};

// Call to the shared store.
enum class DirectoryCall : std::uint8_t {
  kCreateOwn,  // create this node's entry unless there is one
  kReadOwn,    // read this node's entry
  kWriteOwn,   // create or replace this node's entry
  kList,       // list the entries of all nodes
};

// How a read entry compares with the one that the store should have.
enum class EntryMatch : std::uint8_t { kSame, kMissing, kDifferent };

// Schedules the calls by which a node reads and writes its directory entry and
// lists those of others. Once the node knows another one, it learns of the rest
// by gossip and lists the directory no more.
//
// When the store comes back from an older copy, in a new era, it may have lost
// the entry, the drain mark in it, or a write that it had acknowledged. The
// entry is then read again, and written again unless it is as it should be.
class Directory {
 public:
  Directory(const DirectorySettings& settings, base::NodeAddress self,
            std::uint64_t seed);

  // Returns the call that is due now, if any. At most one call is in progress.
  std::optional<DirectoryCall> Next(base::TimePoint now);
  // Returns the entry that kCreateOwn and kWriteOwn write.
  const DirectoryEntry& own() const { return own_; }
  // Handles the result of kCreateOwn; false if there is an entry already.
  void OnCreated(bool created, base::TimePoint now);
  // Handles the result of kReadOwn; nullopt if there is no entry.
  // Returns how it compares with this node's.
  EntryMatch OnOwn(const std::optional<DirectoryEntry>& entry,
                   base::TimePoint now);
  // Handles the acknowledgement of kWriteOwn.
  void OnWritten(base::TimePoint now);
  // Handles the completion of kList.
  void OnList(base::TimePoint now);
  // Handles the failure of the call in progress.
  void OnFailed(base::TimePoint now);
  // Handles a change of the store's era in a fleet of so many nodes. A call in
  // progress does not show what the store has in the new era.
  void OnEraChanged(std::size_t nodes, base::TimePoint now);
  // Stores a drain mark in this node's entry.
  void SetDrained(const backend::DrainMark& mark, base::TimePoint now);
  // Sets whether this node knows no other nodes.
  void SetAlone(bool alone) { alone_ = alone; }

  // Returns true once this node's entry has been created or read.
  bool is_read() const { return read_; }
  // Returns true if the store has acknowledged the current entry, or has been
  // seen to have it, in its present era.
  bool is_written() const { return read_ && !dirty_ && !verify_at_; }
  // Returns true while the entry has to be verified in a new era.
  bool is_verifying() const { return verify_at_.has_value(); }

 private:
  // Ends the call in progress. Returns true if the era has changed since its
  // start.
  bool EndCall(base::TimePoint now);
  // Takes the marks of an entry if this process has set none.
  void RestoreMarks(const DirectoryEntry& entry);
  // Keeps the latest mark before it is replaced by that of another process.
  void KeepMarkBefore(const backend::DrainMark& next);
  // Returns how an entry compares with this node's.
  EntryMatch Compare(const std::optional<DirectoryEntry>& entry) const;
  // Draws the delay after which the entry is verified.
  base::Duration DrawVerifyDelay(std::size_t nodes, base::TimePoint now);

  DirectorySettings settings_;
  base::Random random_;
  DirectoryEntry own_;
  std::optional<DirectoryCall> call_;
  bool call_outdated_ = false;  // the era has changed since its start
  base::TimePoint next_at_;
  std::optional<base::TimePoint> verify_at_;
  std::optional<base::TimePoint> marked_at_;  // drain mark set by this process
  base::TimePoint list_at_;
  base::Duration relist_pause_;
  std::uint32_t failures_ = 0;
  bool exists_ = false;  // an entry of an earlier process has to be read
  bool read_ = false;
  bool dirty_ = false;
  bool dirty_during_write_ = false;  // changed while a write was in progress
  bool listed_ = false;
  bool alone_ = true;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_DIRECTORY_H_
