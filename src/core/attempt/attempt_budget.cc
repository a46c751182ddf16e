#include "core/attempt/attempt_budget.h"

#include <algorithm>

namespace dogwoodrail::core::attempt {
namespace {

// One part in this many stays with the caller of a child call. Halves would
// need a bound of 2^9 to reach the eighth hop; quarters need 32.
constexpr AttemptCount kKeptPart = 4;

}  // namespace

// A caller that asks for no attempts at all still gets its first one.
AttemptBudget AttemptBudget::FromRoute(AttemptCount route_max,
                                       std::optional<AttemptCount> caller_max) {
  AttemptCount count = std::max<AttemptCount>(route_max, 1);
  if (caller_max) {
    count = std::min(count, std::max<AttemptCount>(*caller_max, 1));
  }
  return AttemptBudget(count);
}

AttemptBudget AttemptBudget::FromShare(AttemptCount count) {
  return AttemptBudget(count);
}

bool AttemptBudget::TrySpend() {
  if (remaining_ == 0) return false;
  --remaining_;
  return true;
}

AttemptShare AttemptBudget::Reserve() {
  return Reserve(remaining_ - remaining_ / kKeptPart);
}

AttemptShare AttemptBudget::Reserve(AttemptCount wanted) {
  const AttemptShare share{ShareId{next_share_++},
                           std::min(wanted, remaining_)};
  remaining_ -= share.count;
  shares_out_.push_back(share);
  return share;
}

// The count is clamped because the answer comes from another process.
void AttemptBudget::Return(ShareId id, AttemptCount unspent) {
  const std::optional<AttemptShare> share = TakeShare(id);
  if (!share) return;
  remaining_ += std::min(unspent, share->count);
}

void AttemptBudget::MarkLost(ShareId id) { TakeShare(id); }

AttemptCount AttemptBudget::Close() {
  const AttemptCount unspent = remaining_;
  remaining_ = 0;
  shares_out_.clear();
  return unspent;
}

std::optional<AttemptShare> AttemptBudget::TakeShare(ShareId id) {
  const auto it =
      std::find_if(shares_out_.begin(), shares_out_.end(),
                   [id](const AttemptShare& share) { return share.id == id; });
  if (it == shares_out_.end()) return std::nullopt;
  const AttemptShare share = *it;
  shares_out_.erase(it);
  return share;
}

}  // namespace dogwoodrail::core::attempt
