#include "core/poison/completion_log.h"

#include <utility>

namespace dogwoodrail::core::poison {
namespace {

constexpr std::size_t kMaxRequests = 2048;  // in each half
constexpr base::Duration kHalfTime = std::chrono::seconds(10);

}  // namespace

void CompletionLog::Add(const Fingerprint& fingerprint, base::TimePoint now) {
  if (newer_.size() >= kMaxRequests || now - newer_since_ > kHalfTime) {
    older_ = std::exchange(newer_, {});
    newer_since_ = now;
  }
  newer_.insert_or_assign(fingerprint, now);
}

bool CompletionLog::HasSince(const Fingerprint& fingerprint,
                             base::TimePoint time) const {
  for (const Times* it : {&newer_, &older_}) {
    const auto found = it->find(fingerprint);
    if (found != it->end() && found->second >= time) return true;
  }
  return false;
}

}  // namespace dogwoodrail::core::poison
