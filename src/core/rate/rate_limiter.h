#ifndef DOGWOODRAIL_CORE_RATE_RATE_LIMITER_H_
#define DOGWOODRAIL_CORE_RATE_RATE_LIMITER_H_

#include <cstdint>
#include <deque>
#include <map>

#include "core/rate/rate_type.h"

namespace dogwoodrail::core::rate {

// Admits calls of client accounts from tokens that grantors have handed out.
class RateLimiter {
 public:
  RateLimiter(RateSettings settings, std::uint32_t shard_count);
  virtual ~RateLimiter() = default;

  // Puts the rate and burst of an account in force.
  void OnConfig(const AccountName& account, RateLimit row);
  // Takes the number of nodes that share the rates while no grantor answers.
  void SetNodeCount(std::size_t nodes) { nodes_ = nodes; }
  // Forgets an account; calls that wait are refused.
  void OnRemoved(const AccountName& account);

  // Decides a call. A pending one is decided later by a ResolveCall action.
  RateDecision Admit(const AccountName& account, CallId call, TimePoint now);
  // Gives back the token of a call that was admitted and has not run.
  void Refund(const AccountName& account, TimePoint now);
  // Forgets a pending call whose caller went away.
  void Cancel(const AccountName& account, CallId call);
  // Handles an answer of a grantor.
  void OnReply(const RateReply& reply, TimePoint now);
  // Sends requests that are due and decides calls held too long.
  void Tick(TimePoint now);
  // Returns and clears what has to be done since the last call.
  RateActions TakeActions();

  // Tokens of an account that this node may still spend.
  Tokens HeldTokens(const AccountName& account, TimePoint now) const;
  // Number of accounts with state at this node.
  std::size_t account_count() const { return accounts_.size(); }
  // Number of calls held at this node.
  std::size_t pending_count() const;

 protected:
  struct PendingCall {
    CallId call;
    TimePoint since;
  };
  struct Flight {
    bool active = false;
    RateRequest request;
    TimePoint sent;  // first sending; the lease counts from here
    TimePoint resent;
  };
  struct Account {
    AccountName name;
    RateLimit row;
    std::uint32_t holders = 0;  // as the grantor said
    bool removed = false;
    ShardIndex shard;
    Tokens held = 0;
    TimePoint lapses;
    std::uint64_t spent = 0;
    std::uint64_t reported = 0;  // of `spent`
    RequestSequence sequence;
    Epoch epoch;
    Flight flight;
    std::deque<PendingCall> pending;
    double demand_per_s = 0;
    TimePoint last_call;
    TimePoint surplus_since;
    TimePoint next_request;  // not before, after tokens were short
    TimePoint dry_until;     // refuse at once until then
    Duration dry_time{0};
    double fallback = 0;  // tokens admitted without a grantor
    TimePoint fallback_at;
    bool unavailable = false;  // the last answer was not from a ready grantor
  };

  // Drops tokens whose lease has ended. Tests override it with a fault.
  virtual void DropLapsed(Account* account, TimePoint now) const;

 private:
  void CountDemand(Account* account, TimePoint now) const;
  double Demand(const Account& account, TimePoint now) const;
  Tokens Target(const Account& account, TimePoint now) const;
  bool WantsMore(const Account& account, TimePoint now) const;
  void SendRequest(Account* account, Tokens target, TimePoint now);
  void AdmitPending(Account* account);
  void Resolve(const PendingCall& call, RateDecision decision);
  void RefuseShort(Account* account, Duration retry_after, TimePoint now);
  bool OwesReport(const Account& account, TimePoint now) const;
  void TickFlight(Account* account, TimePoint now);
  void TickFallback(Account* account, TimePoint now);
  void TickPending(Account* account, TimePoint now);
  void TickSurplus(Account* account, TimePoint now);

  RateSettings settings_;
  std::uint32_t shard_count_;
  std::size_t nodes_ = 0;  // 0: not known
  std::map<AccountName, Account> accounts_;
  RateActions actions_;
};

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_RATE_LIMITER_H_
