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
  } else if (verify_at_ && now >= *verify_at_) {
    call_ = DirectoryCall::kReadOwn;
  } else if (!listed_ || (alone_ && now >= list_at_)) {
    call_ = DirectoryCall::kList;
  }
  return call_;
}

bool Directory::EndCall(base::TimePoint now) {
  call_.reset();
  failures_ = 0;
  next_at_ = now;
  return std::exchange(call_outdated_, false);
}

void Directory::OnCreated(bool created, base::TimePoint now) {
  const bool marked = std::exchange(dirty_during_write_, false);
  if (EndCall(now)) return;
  exists_ = !created;
  if (!created) return;
  read_ = true;
  dirty_ = marked;
}

// A drain mark that this process knows is newer than the one in the entry; if
// it knows none, the one in the entry holds whatever the era it was read in.
EntryMatch Directory::OnOwn(const std::optional<DirectoryEntry>& entry,
                            base::TimePoint now) {
  const bool outdated = EndCall(now);
  if (entry) RestoreMarks(*entry);
  const EntryMatch match = Compare(entry);
  if (outdated) return match;
  read_ = true;
  dirty_ = match != EntryMatch::kSame;
  if (!dirty_) verify_at_.reset();
  return match;
}

void Directory::RestoreMarks(const DirectoryEntry& entry) {
  if (own_.drained) return;
  own_.drained = entry.drained;
  own_.drained_before = entry.drained_before;
}

EntryMatch Directory::Compare(
    const std::optional<DirectoryEntry>& entry) const {
  if (!entry) return EntryMatch::kMissing;
  const bool same = entry->address == own_.address &&
                    entry->drained == own_.drained &&
                    entry->drained_before == own_.drained_before;
  return same ? EntryMatch::kSame : EntryMatch::kDifferent;
}

void Directory::OnWritten(base::TimePoint now) {
  const bool marked = std::exchange(dirty_during_write_, false);
  if (EndCall(now)) return;
  dirty_ = marked;
  verify_at_.reset();
}

void Directory::OnList(base::TimePoint now) {
  EndCall(now);
  listed_ = true;
  list_at_ = now + relist_pause_;
  relist_pause_ = std::min(relist_pause_ * 2, settings_.relist_max);
}

void Directory::OnFailed(base::TimePoint now) {
  call_.reset();
  call_outdated_ = false;
  dirty_during_write_ = false;
  next_at_ = now + base::BackoffDelay(failures_, settings_.retry_min,
                                      settings_.retry_max, random_);
  ++failures_;
}

// An entry that has not been read yet, or is to be written, needs no delay: its
// call is due in any case.
void Directory::OnEraChanged(std::size_t nodes, base::TimePoint now) {
  call_outdated_ = call_.has_value();
  relist_pause_ = settings_.relist_min;
  list_at_ = std::min(list_at_, now + relist_pause_);
  if (read_) verify_at_ = now + DrawVerifyDelay(nodes, now);
}

base::Duration Directory::DrawVerifyDelay(std::size_t nodes,
                                          base::TimePoint now) {
  const base::Duration all =
      base::Duration(std::chrono::seconds(nodes)) / settings_.verify_rate;
  base::Duration spread = std::max(settings_.verify_min, all);
  if (marked_at_ && now - *marked_at_ < settings_.fresh_mark) {
    spread =
        std::max(settings_.verify_marked_min, all / settings_.marked_share);
  }
  return base::Duration(static_cast<base::Duration::rep>(
      base::RandomBelow(random_, static_cast<std::uint64_t>(spread.count()))));
}

// The process of the mark before may still stand at the address.
void Directory::KeepMarkBefore(const backend::DrainMark& next) {
  auto& before = own_.drained_before;
  if (own_.drained) before.push_back(*own_.drained);
  const auto is_replaced = [&next](const backend::DrainMark& it) {
    return it.instance == next.instance;
  };
  before.erase(std::remove_if(before.begin(), before.end(), is_replaced),
               before.end());
  if (before.size() >= backend::DrainMarks::kMaxMarks) {
    before.erase(before.begin());
  }
}

void Directory::SetDrained(const backend::DrainMark& mark,
                           base::TimePoint now) {
  KeepMarkBefore(mark);
  own_.drained = mark;
  marked_at_ = now;
  dirty_ = true;
  const bool is_writing =
      call_ == DirectoryCall::kWriteOwn || call_ == DirectoryCall::kCreateOwn;
  if (is_writing) dirty_during_write_ = true;
  if (!call_) next_at_ = now;
}

}  // namespace dogwoodrail::core::member
