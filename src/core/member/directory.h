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

// What a node keeps of itself in the shared store, for the others to find it
// and for its own next life.
struct DirectoryEntry {
  base::NodeAddress address;
  std::optional<backend::DrainMark> drained;
};

// Times of keeping the directory.
struct DirectorySettings {
  // Pause after the first failure in a row; doubles up to the longest.
  base::Duration retry_min = std::chrono::milliseconds(200);
  base::Duration retry_max = std::chrono::milliseconds(1600);
  // Pause before the directory is listed again while no other node is known.
  base::Duration alone_pause = std::chrono::seconds(1);
  base::Duration alone_max = std::chrono::seconds(16);
};

// A call to the store that is due.
enum class DirectoryCall : std::uint8_t {
  kReadOwn,   // the own entry
  kWriteOwn,  // create it or replace it
  kList,      // the entries of all nodes
};

// Decides when a node reads and writes its entry in the directory and lists
// the others. Once the node knows others, they tell it of the rest, and the
// directory is left alone.
class Directory {
 public:
  Directory(const DirectorySettings& settings, base::NodeAddress self,
            std::uint64_t seed);

  // Returns the call that is due now, if any; one is under way at a time.
  std::optional<DirectoryCall> Next(base::TimePoint now);
  // The entry that kWriteOwn writes.
  const DirectoryEntry& own() const { return own_; }
  // Takes the own entry as it was found; none if there is none.
  void OnOwn(const std::optional<DirectoryEntry>& entry, base::TimePoint now);
  // Takes the acknowledgement of a write.
  void OnWritten(base::TimePoint now);
  // Takes the list, the own entry perhaps included.
  void OnList(base::TimePoint now);
  // Takes the failure of the call under way.
  void OnFailed(base::TimePoint now);
  // Keeps a drain mark in the own entry.
  void SetDrained(const backend::DrainMark& mark, base::TimePoint now);
  // Tells whether other nodes are known.
  void SetAlone(bool alone) { alone_ = alone; }

  // True once the own entry has been read.
  bool is_read() const { return read_; }
  // True if all that is to be kept has been acknowledged.
  bool is_written() const { return read_ && !dirty_; }

 private:
  DirectorySettings settings_;
  base::Random random_;
  DirectoryEntry own_;
  std::optional<DirectoryCall> call_;
  base::TimePoint next_at_;
  base::TimePoint list_at_;
  base::Duration alone_pause_;
  std::uint32_t failures_ = 0;
  bool read_ = false;
  bool dirty_ = false;
  bool dirty_again_ = false;  // changed while a write was under way
  bool listed_ = false;
  bool alone_ = true;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_DIRECTORY_H_
