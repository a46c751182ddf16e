#ifndef DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_BUDGET_H_
#define DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_BUDGET_H_

#include <optional>
#include <vector>

#include "core/attempt/attempt_type.h"

namespace dogwoodrail::core::attempt {

// Attempts that one call may still use, at its entry or within its execution.
// The sum over the call chain never exceeds the bound made at the first entry.
class AttemptBudget {
 public:
  AttemptBudget() = default;

  // Makes the bound of a whole request: the route's, lowered by the caller's.
  static AttemptBudget FromRoute(AttemptCount route_max,
                                 std::optional<AttemptCount> caller_max);

  // Makes the budget of an execution from the share it was dispatched with.
  static AttemptBudget FromShare(AttemptCount count);

  // Takes one attempt for a dispatch; false if none is left.
  bool TrySpend();

  // Gives back an attempt that reached no backend server.
  void Refund() { ++remaining_; }

  // Sets aside attempts for the calls below a dispatch; a quarter stays here
  // for retries and for calls made at the same time.
  AttemptShare Reserve();

  // Sets aside at most `wanted` attempts.
  AttemptShare Reserve(AttemptCount wanted);

  // Takes back what an answer reports as unspent. Ignores a share that was
  // returned or lost before.
  void Return(ShareId id, AttemptCount unspent);

  // Counts a whole share as spent, because its answer was lost.
  void MarkLost(ShareId id);

  // Ends the budget and returns what is unspent, for the answer. Shares still
  // out count as spent; nothing can be spent afterwards.
  AttemptCount Close();

  // Attempts left here.
  AttemptCount remaining() const { return remaining_; }

 private:
  explicit AttemptBudget(AttemptCount count) : remaining_(count) {}

  // Removes and returns the share, if it is still out.
  std::optional<AttemptShare> TakeShare(ShareId id);

  AttemptCount remaining_ = 0;
  std::uint32_t next_share_ = 1;
  std::vector<AttemptShare> shares_out_;
};

}  // namespace dogwoodrail::core::attempt

#endif  // DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_BUDGET_H_
