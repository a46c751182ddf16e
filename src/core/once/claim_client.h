#ifndef DOGWOODRAIL_CORE_ONCE_CLAIM_CLIENT_H_
#define DOGWOODRAIL_CORE_ONCE_CLAIM_CLIENT_H_

#include <unordered_map>
#include <variant>
#include <vector>

#include "core/once/once_type.h"

namespace dogwoodrail::core::once {

// A non-idempotent call that needs a grant before it may run.
struct ClaimCall {
  base::CallId call;
  ShardIndex shard;
  ClaimId id;
  std::uint64_t request_digest = 0;
  Duration time_left{0};
};

// Send the message to the owner of the shard, which may be this node.
struct SendToOwner {
  ShardIndex shard;
  ClaimMessage message;
};
// The known owner of the shard is wrong or does not answer.
struct LookUpOwner {
  ShardIndex shard;
};
// This entry node alone may dispatch the call, until `dispatch_by`.
struct ProceedWithCall {
  base::CallId call;
  TimePoint dispatch_by;
};
// The request already ran; the caller gets the stored answer.
struct ReplayAnswer {
  base::CallId call;
  std::string answer;
};
// The call is refused and must not be dispatched.
struct RefuseCall {
  base::CallId call;
  base::Reason reason = base::Reason::kInternal;
  base::Ran ran = base::Ran::kUnknown;
};

using ClaimAction = std::variant<SendToOwner, LookUpOwner, ProceedWithCall,
                                 ReplayAnswer, RefuseCall>;
using ClaimActions = std::vector<ClaimAction>;

// Entry node's side of at-most-once execution. Claims each non-idempotent call
// at the shard owner before it runs, and reports its outcome.
class ClaimClient {
 public:
  ClaimClient(OnceSettings settings, base::Incarnation incarnation);
  virtual ~ClaimClient() = default;

  // Claims the call at the owner.
  ClaimActions Begin(const ClaimCall& call, TimePoint now);
  // Handles the owner's answer.
  ClaimActions OnAnswer(const ClaimAnswer& answer, TimePoint now);
  // Reports the outcome of a call. kNotRun is allowed only if no dispatch can
  // have reached a backend server. Before the grant this withdraws the claim.
  ClaimActions OnFinished(base::CallId call, base::Ran ran, std::string answer,
                          TimePoint now);
  // Handles the owner's acknowledgement of an outcome.
  void OnOutcomeAck(const ClaimOutcomeAck& ack);
  // Resends unanswered messages and refuses calls that waited too long.
  ClaimActions Tick(TimePoint now);

  // Returns the number of calls that wait for a grant, run, or wait for the
  // acknowledgement of their outcome.
  std::size_t size() const { return calls_.size(); }

 protected:
  // Returns the outcome to report for a finished call. Virtual so that tests
  // can replace it with an unsafe rule.
  virtual base::Ran ReportedRan(base::Ran ran) const;

 private:
  enum class Stage : std::uint8_t { kWaitingForGrant, kRunning, kFinished };

  struct Call {
    ClaimRequest request;
    Stage stage = Stage::kWaitingForGrant;
    TimePoint started;
    TimePoint deadline;
    TimePoint sent;
    ClaimOutcome outcome;
    int outcome_sends = 0;
  };

  // Ends a call that was not dispatched and releases its claim, if granted.
  void Withdraw(Call& call, TimePoint now, ClaimActions* out) const;
  void SendOutcome(Call& call, TimePoint now, ClaimActions* out) const;
  void ResendClaim(Call& call, TimePoint now, ClaimActions* out) const;
  // Returns true if the call is finished and can be removed.
  bool TickCall(Call& call, TimePoint now, ClaimActions* out) const;

  OnceSettings settings_;
  base::Incarnation incarnation_;
  std::unordered_map<base::CallId, Call> calls_;
};

}  // namespace dogwoodrail::core::once

#endif  // DOGWOODRAIL_CORE_ONCE_CLAIM_CLIENT_H_
