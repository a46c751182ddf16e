#include "core/member/directory.h"

#include <algorithm>
#include <utility>

#include "core/base/backoff_func.h"

namespace dogwoodrail::core::member {
Directory::Directory(const DirectorySettings& settings, base::NodeAddress self,
                     std::uint64_t seed)
    : settings_(settings), random_(seed), relist_pause_(settings.relist_min) {
  own_.address = std::move(self);
}

// The node writes its entry before it lists the others, so that of two nodes
// that start at the same time at least one finds the other.
std::optional<DirectoryCall> Directory::Next(base::TimePoint now) {
  if (call_ || now < next_at_) return std::nullopt;
  if (!read_) {
    call_ = exists_ ? DirectoryCall::kReadOwn : DirectoryCall::kCreateOwn;
  } else if (dirty_) {
    call_ = DirectoryCall::kWriteOwn;
  } else if (!listed_ || (alone_ && now >= list_at_)) {
    call_ = DirectoryCall::kList;
  }
  return call_;
}

void Directory::OnCreated(bool created, base::TimePoint now) {
  call_.reset();
  failures_ = 0;
  next_at_ = now;
  exists_ = !created;
  if (!created) return;
  read_ = true;
  dirty_ = std::exchange(dirty_during_write_, false);
}

// A drain mark set before the entry was read is newer than the one in the
// entry.
void Directory::OnOwn(const std::optional<DirectoryEntry>& entry,
                      base::TimePoint now) {
  call_.reset();
  failures_ = 0;
  next_at_ = now;
  read_ = true;
  const bool marked = own_.drained.has_value();
  dirty_during_write_ = false;
  if (entry && !marked) own_.drained = entry->drained;
  dirty_ = marked || !entry || entry->address != own_.address;
}

void Directory::OnWritten(base::TimePoint now) {
  call_.reset();
  failures_ = 0;
  next_at_ = now;
  dirty_ = std::exchange(dirty_during_write_, false);
}

void Directory::OnList(base::TimePoint now) {
  call_.reset();
  failures_ = 0;
  next_at_ = now;
  listed_ = true;
  list_at_ = now + relist_pause_;
  relist_pause_ = std::min(relist_pause_ * 2, settings_.relist_max);
}

void Directory::OnFailed(base::TimePoint now) {
  call_.reset();
  dirty_during_write_ = false;
  next_at_ = now + base::BackoffDelay(failures_, settings_.retry_min,
                                      settings_.retry_max, random_);
  ++failures_;
}

void Directory::SetDrained(const backend::DrainMark& mark,
                           base::TimePoint now) {
  own_.drained = mark;
  dirty_ = true;
  const bool is_writing =
      call_ == DirectoryCall::kWriteOwn || call_ == DirectoryCall::kCreateOwn;
  if (is_writing) dirty_during_write_ = true;
  if (!call_) next_at_ = now;
}

}  // namespace dogwoodrail::core::member
