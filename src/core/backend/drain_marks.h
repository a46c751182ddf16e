#ifndef DOGWOODRAIL_CORE_BACKEND_DRAIN_MARKS_H_
#define DOGWOODRAIL_CORE_BACKEND_DRAIN_MARKS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/backend/backend_type.h"

namespace dogwoodrail::core::backend {

// The processes at one address that have announced their shutdown lately, at
// most one mark for each id.
class DrainMarks {
 public:
  // Largest number of marks; the oldest is dropped first.
  static constexpr std::size_t kMaxMarks = 4;

  // Adds a mark. Returns false if the process is marked already.
  bool Add(const DrainMark& mark);
  // Adds a mark that was stored before those that are here, unless its id has
  // one.
  void AddStored(const DrainMark& mark);
  // Returns true if the process with this id and start time has a mark. Without
  // a start time on either side, every process with the id has it.
  bool Covers(const InstanceId& instance,
              const std::optional<std::int64_t>& born_ms) const;
  // Returns the mark that was added last, if any.
  const std::optional<DrainMark>& latest() const { return latest_; }

 private:
  const DrainMark* Find(const InstanceId& instance) const;
  void Remove(const InstanceId& instance);

  std::vector<DrainMark> marks_;  // the oldest first
  std::optional<DrainMark> latest_;
};

// Returns true if `mark` applies to a process that started at `born_ms`.
bool CoversStart(const DrainMark& mark,
                 const std::optional<std::int64_t>& born_ms);

}  // namespace dogwoodrail::core::backend

#endif  // DOGWOODRAIL_CORE_BACKEND_DRAIN_MARKS_H_
