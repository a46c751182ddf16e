#include "core/backend/drain_marks.h"

#include <algorithm>

namespace dogwoodrail::core::backend {

// A restarted process may reuse the id; only the start time tells them apart.
bool CoversStart(const DrainMark& mark,
                 const std::optional<std::int64_t>& born_ms) {
  if (!mark.born_ms || !born_ms) return true;
  return *born_ms <= *mark.born_ms;
}

bool DrainMarks::Add(const DrainMark& mark) {
  const DrainMark* known = Find(mark.instance);
  const bool is_covered =
      known != nullptr && mark.born_ms && CoversStart(*known, mark.born_ms);
  if (is_covered || (known != nullptr && *known == mark)) return false;
  Remove(mark.instance);
  if (marks_.size() >= kMaxMarks) marks_.erase(marks_.begin());
  marks_.push_back(mark);
  latest_ = mark;
  return true;
}

void DrainMarks::AddStored(const DrainMark& mark) {
  if (Find(mark.instance) != nullptr || marks_.size() >= kMaxMarks) return;
  marks_.insert(marks_.begin(), mark);
  if (!latest_) latest_ = mark;
}

bool DrainMarks::Covers(const InstanceId& instance,
                        const std::optional<std::int64_t>& born_ms) const {
  const DrainMark* mark = Find(instance);
  return mark != nullptr && CoversStart(*mark, born_ms);
}

const DrainMark* DrainMarks::Find(const InstanceId& instance) const {
  const auto it = std::find_if(
      marks_.begin(), marks_.end(),
      [&instance](const DrainMark& mark) { return mark.instance == instance; });
  return it == marks_.end() ? nullptr : &*it;
}

void DrainMarks::Remove(const InstanceId& instance) {
  const auto is_same = [&instance](const DrainMark& mark) {
    return mark.instance == instance;
  };
  marks_.erase(std::remove_if(marks_.begin(), marks_.end(), is_same),
               marks_.end());
}

}  // namespace dogwoodrail::core::backend
