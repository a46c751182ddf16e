#ifndef DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_BUDGET_H_
#define DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_BUDGET_H_

#include <optional>
#include <vector>

#include "core/attempt/attempt_type.h"

namespace dogwoodrail::core::attempt {

// Attempts left to one call, at its entry node or within its execution. The sum
// over the call chain never exceeds the bound set at the first entry node.
class AttemptBudget {
 public:
  AttemptBudget() = default;

  // Creates the budget of a new request: the maximum of the route, or that of
  // the caller if it is lower.
  static AttemptBudget FromRoute(AttemptCount route_max,
                                 std::optional<AttemptCount> caller_max);

  // Creates the budget of an execution from the share sent with its dispatch.
  static AttemptBudget FromShare(AttemptCount count);

  // Spends one attempt; returns false if none is left.
  bool TrySpend();

  // Gives back an attempt that reached no backend server.
  void Refund() { ++remaining_; }

  // Reserves attempts for the nested calls of a dispatch. A quarter is retained
  // for retries and concurrent calls.
  AttemptShare Reserve();

  // Reserves at most max_count attempts.
  AttemptShare Reserve(AttemptCount max_count);

  // Takes back the unspent attempts that an answer reports. Ignored if the
  // share is no longer outstanding.
  void Return(ShareId id, AttemptCount unspent);

  // Counts a share as fully spent because its answer was lost.
  void MarkLost(ShareId id);

  // Closes the budget and returns the unspent attempts, to be reported in the
  // answer. Outstanding shares count as spent.
  AttemptCount Close();

  // Number of attempts left, without outstanding shares.
  AttemptCount remaining() const { return remaining_; }

 private:
  explicit AttemptBudget(AttemptCount count) : remaining_(count) {}

  // Removes and returns the share if it is outstanding.
  std::optional<AttemptShare> RemoveShare(ShareId id);

  AttemptCount remaining_ = 0;
  std::uint32_t next_share_ = 1;
  std::vector<AttemptShare> outstanding_shares_;
};

}  // namespace dogwoodrail::core::attempt

#endif  // DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_BUDGET_H_
