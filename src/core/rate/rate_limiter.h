#ifndef DOGWOODRAIL_CORE_RATE_RATE_LIMITER_H_
#define DOGWOODRAIL_CORE_RATE_RATE_LIMITER_H_

#include <cstdint>
#include <deque>
#include <map>

#include "core/rate/rate_type.h"

namespace dogwoodrail::core::rate {

// Admits calls of client accounts at an entry node. Each admitted call spends a
// token that a grantor has granted to this node.
class RateLimiter {
 public:
  RateLimiter(RateSettings settings, std::uint32_t shard_count);
  virtual ~RateLimiter() = default;

  // Sets the rate and burst of an account.
  void OnConfig(const AccountName& account, RateLimit limit);
  // Sets the number of nodes that share the rates while no grantor answers.
  void SetNodeCount(std::size_t nodes) { nodes_ = nodes; }
  // Lifts the limit of an account and admits its pending calls.
  void OnUnlimited(const AccountName& account);
  // Disables an account and refuses its pending calls.
  void OnRemoved(const AccountName& account);

  // Admits or refuses a call, or leaves it pending. A ResolveCall action
  // completes a pending call later.
  RateDecision Admit(const AccountName& account, CallId call, TimePoint now);
  // Returns the token of a call that was admitted but has not run.
  void Refund(const AccountName& account, TimePoint now);
  // Removes a pending call whose caller has disconnected.
  void Cancel(const AccountName& account, CallId call);
  // Handles a grantor's reply.
  void OnReply(const RateReply& reply, TimePoint now);
  // Sends requests that are due and refuses calls that have waited too long.
  void Tick(TimePoint now);
  // Returns and clears the actions queued since the last call.
  RateActions TakeActions();

  // Returns the tokens of an account that this node may still spend.
  Tokens HeldTokens(const AccountName& account, TimePoint now) const;
  // Number of accounts with state at this node, also those without a limit.
  std::size_t account_count() const { return accounts_.size(); }
  // Number of pending calls at this node.
  std::size_t pending_count() const;

 protected:
  struct PendingCall {
    CallId call;
    TimePoint since;
  };
  struct InFlightRequest {
    bool active = false;
    RateRequest request;
    TimePoint sent;    // first transmission; start of the grant's lease
    TimePoint resent;  // last transmission
  };
  // What the configuration says of an account.
  enum class AccountState : std::uint8_t { kLimited, kUnlimited, kRemoved };
  struct Account {
    AccountName name;
    RateLimit limit;
    std::uint32_t holders = 0;  // from the grantor's last reply
    AccountState state = AccountState::kLimited;
    ShardIndex shard;
    Tokens held = 0;
    TimePoint expires_at;
    std::uint64_t spent = 0;
    std::uint64_t reported = 0;  // part of `spent` sent to the grantor
    RequestSequence sequence;
    Epoch epoch;
    InFlightRequest in_flight;
    std::deque<PendingCall> pending;
    double demand_per_s = 0;
    TimePoint last_call;
    TimePoint surplus_since;
    TimePoint next_request;      // earliest time, after a shortage of tokens
    TimePoint refuse_until;      // calls are refused at once until this time
    Duration refusal_time{0};    // doubles with each shortage in a row
    double fallback_tokens = 0;  // for calls admitted without a grantor
    TimePoint fallback_updated_at;
    // The last request timed out or was not granted.
    bool grantor_unavailable = false;
  };

  // Drops tokens whose lease has expired. Tests override it to inject a fault.
  virtual void DropExpired(Account* account, TimePoint now) const;

 private:
  void UpdateDemand(Account* account, TimePoint now) const;
  double DemandPerSecond(const Account& account, TimePoint now) const;
  Tokens TargetTokens(const Account& account, TimePoint now) const;
  bool ShouldRequest(const Account& account, TimePoint now) const;
  void SendRequest(Account* account, Tokens target, TimePoint now);
  void AdmitPending(Account* account);
  void Resolve(const PendingCall& call, RateDecision decision);
  // Ends the limit of an account; its pending calls get the decision.
  void EndLimit(const AccountName& name, AccountState state,
                const RateDecision& decision);
  void RefuseForShortage(Account* account, Duration retry_after, TimePoint now);
  bool IsReportDue(const Account& account, TimePoint now) const;
  void TickRequest(Account* account, TimePoint now);
  void TickFallback(Account* account, TimePoint now);
  void TickPending(Account* account, TimePoint now);
  void TickSurplus(Account* account, TimePoint now);

  RateSettings settings_;
  std::uint32_t shard_count_;
  std::size_t nodes_ = 0;  // 0 if unknown
  std::map<AccountName, Account> accounts_;
  RateActions actions_;
};

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_RATE_LIMITER_H_
