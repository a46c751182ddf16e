#include "core/attempt/attempt_budget.h"

#include <algorithm>

namespace dogwoodrail::core::attempt {
namespace {

// One in this many attempts is retained by the caller of a nested call. To
// reach the eighth hop, retaining a half would need a bound of 2^9 attempts;
// retaining a quarter needs 32.
constexpr AttemptCount kRetainedDivisor = 4;

}  // namespace

// The first attempt is always allowed, even if the caller asks for none.
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
  return Reserve(remaining_ - remaining_ / kRetainedDivisor);
}

AttemptShare AttemptBudget::Reserve(AttemptCount max_count) {
  const AttemptShare share{ShareId{next_share_++},
                           std::min(max_count, remaining_)};
  remaining_ -= share.count;
  outstanding_shares_.push_back(share);
  return share;
}

// The count is clamped because it comes from another process.
void AttemptBudget::Return(ShareId id, AttemptCount unspent) {
  const std::optional<AttemptShare> share = RemoveShare(id);
  if (!share) return;
  remaining_ += std::min(unspent, share->count);
}

void AttemptBudget::MarkLost(ShareId id) { RemoveShare(id); }

AttemptCount AttemptBudget::Close() {
  const AttemptCount unspent = remaining_;
  remaining_ = 0;
  outstanding_shares_.clear();
  return unspent;
}

std::optional<AttemptShare> AttemptBudget::RemoveShare(ShareId id) {
  const auto it =
      std::find_if(outstanding_shares_.begin(), outstanding_shares_.end(),
                   [id](const AttemptShare& share) { return share.id == id; });
  if (it == outstanding_shares_.end()) return std::nullopt;
  const AttemptShare share = *it;
  outstanding_shares_.erase(it);
  return share;
}

}  // namespace dogwoodrail::core::attempt
