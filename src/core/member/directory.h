#ifndef DOGWOODRAIL_CORE_MEMBER_DIRECTORY_H_
#define DOGWOODRAIL_CORE_MEMBER_DIRECTORY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/backend/backend_type.h"
#include "core/base/id_type.h"
#include "core/base/random_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::member {

// Entry of a node in the shared directory. Other nodes find its address there,
// and the node itself reads the drain mark after a restart.
struct DirectoryEntry {
  base::NodeAddress address;
  std::optional<backend::DrainMark> drained;
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
};

// Call to the shared store.
enum class DirectoryCall : std::uint8_t {
  kCreateOwn,  // create this node's entry unless there is one
  kReadOwn,    // read this node's entry
  kWriteOwn,   // create or replace this node's entry
  kList,       // list the entries of all nodes
};

// Schedules the calls by which a node reads and writes its directory entry and
// lists those of others. Once the node knows another one, it learns of the rest
// by gossip and lists the directory no more.
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
  void OnOwn(const std::optional<DirectoryEntry>& entry, base::TimePoint now);
  // Handles the acknowledgement of kWriteOwn.
  void OnWritten(base::TimePoint now);
  // Handles the completion of kList.
  void OnList(base::TimePoint now);
  // Handles the failure of the call in progress.
  void OnFailed(base::TimePoint now);
  // Stores a drain mark in this node's entry.
  void SetDrained(const backend::DrainMark& mark, base::TimePoint now);
  // Sets whether this node knows no other nodes.
  void SetAlone(bool alone) { alone_ = alone; }

  // Returns true once this node's entry has been created or read.
  bool is_read() const { return read_; }
  // Returns true if the store has acknowledged the current entry.
  bool is_written() const { return read_ && !dirty_; }

 private:
  DirectorySettings settings_;
  base::Random random_;
  DirectoryEntry own_;
  std::optional<DirectoryCall> call_;
  base::TimePoint next_at_;
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
