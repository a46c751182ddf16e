#include "core/member/rumour_queue.h"

#include <algorithm>

namespace dogwoodrail::core::member {
namespace {

constexpr std::size_t kStoredPerDatagram = 4;
// Deferrable records are queued only while the queue is shorter than
// record_limit / kDeferrableDivisor.
constexpr std::size_t kDeferrableDivisor = 8;

}  // namespace

RumourQueue::RumourQueue(std::size_t record_limit, std::size_t rumour_limit)
    : record_limit_(record_limit), rumour_limit_(rumour_limit) {}

// A full queue drops the record with the most sends. That one has spread
// furthest, and anti-entropy delivers it to the nodes that missed it.
void RumourQueue::AddRecord(MemberIndex index, bool deferrable) {
  for (QueuedRecord& it : records_) {
    if (it.index != index) continue;
    it.sends = 0;
    return;
  }
  if (deferrable && records_.size() >= record_limit_ / kDeferrableDivisor) {
    ++overflow_count_;
    return;
  }
  if (records_.size() >= record_limit_) {
    const auto most = std::max_element(
        records_.begin(), records_.end(),
        [](const auto& a, const auto& b) { return a.sends < b.sends; });
    records_.erase(most);
    ++overflow_count_;
  }
  records_.push_back({index, 0});
}

bool RumourQueue::AddRumour(const Rumour& rumour, Spread spread) {
  if (rumour.bytes.size() > kMaxRumourBytes) return false;
  const auto found = std::find_if(
      rumours_.begin(), rumours_.end(), [&](const StoredRumour& it) {
        return it.rumour.kind == rumour.kind && it.rumour.key == rumour.key;
      });
  if (found != rumours_.end()) {
    const bool released = found->held && spread == Spread::kSend;
    if (found->rumour.version > rumour.version) return false;
    if (found->rumour.version == rumour.version && !released) return false;
    rumours_.erase(found);
  } else if (rumours_.size() >= rumour_limit_) {
    rumours_.erase(rumours_.begin());
  }
  const bool send = spread == Spread::kSend;
  rumours_.push_back({rumour, 0, send, !send});
  return true;
}

void RumourQueue::FillRumours(std::size_t bytes, std::size_t max_sends,
                              MemberMessage* message) {
  if (!HasRumours()) return;
  std::size_t used = EstimateBytes(*message);
  for (StoredRumour& it : rumours_) {
    const std::size_t n = EstimateBytes(it.rumour);
    if (!it.queued || used + n > bytes) continue;
    message->rumours.push_back(it.rumour);
    used += n;
    it.queued = ++it.sends < max_sends;
  }
}

void RumourQueue::FillRecords(const MemberStore& store, std::size_t bytes,
                              std::size_t max_sends, MemberMessage* message) {
  if (records_.empty()) return;
  std::stable_sort(
      records_.begin(), records_.end(),
      [](const auto& a, const auto& b) { return a.sends < b.sends; });
  for (QueuedRecord& it : records_) {
    const Member* member = store.Find(it.index);
    if (member == nullptr) {
      it.sends = max_sends;
      continue;
    }
    message->records.push_back(member->record);
    if (EstimateBytes(*message) > bytes) {
      message->records.pop_back();
      break;
    }
    ++it.sends;
  }
  records_.erase(std::remove_if(records_.begin(), records_.end(),
                                [&](const QueuedRecord& it) {
                                  return it.sends >= max_sends;
                                }),
                 records_.end());
}

void RumourQueue::FillPinned(std::size_t bytes, MemberMessage* message) {
  std::size_t used = EstimateBytes(*message);
  for (const StoredRumour& it : rumours_) {
    if (it.held || it.rumour.kind != RumourKind::kConfigurationNumber) continue;
    used += EstimateBytes(it.rumour);
    if (used > bytes) return;
    message->rumours.push_back(it.rumour);
  }
}

void RumourQueue::FillStored(std::size_t bytes, MemberMessage* message) {
  std::size_t used = EstimateBytes(*message);
  const std::size_t n = std::min(kStoredPerDatagram, rumours_.size());
  for (std::size_t it = 0; it < n; ++it) {
    const StoredRumour& stored = rumours_[next_stored_++ % rumours_.size()];
    if (stored.held) continue;
    used += EstimateBytes(stored.rumour);
    if (used > bytes) return;
    message->rumours.push_back(stored.rumour);
  }
}

void RumourQueue::ClearQueue() {
  records_.clear();
  for (StoredRumour& it : rumours_) it.queued = false;
}

bool RumourQueue::HasRumours() const {
  return std::any_of(rumours_.begin(), rumours_.end(),
                     [](const StoredRumour& it) { return it.queued; });
}

}  // namespace dogwoodrail::core::member
