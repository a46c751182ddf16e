#include "core/rate/rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/shard/shard_func.h"

namespace dogwoodrail::core::rate {
namespace {

// A node prefetches at most burst / kMaxHeldDivisor tokens.
constexpr Tokens kMaxHeldDivisor = 4;
// The spent tokens that all holders together have not reported stay below
// burst / kMaxUnreportedDivisor, assuming at least kMinHolders holders.
constexpr Tokens kMaxUnreportedDivisor = 8;
constexpr Tokens kMinHolders = 8;
// Minimum number of tokens to hold for the next calls of a slow account.
constexpr Tokens kMinTarget = 2;
constexpr Duration kMinRefusalTime = std::chrono::milliseconds(5);
constexpr double kMaxExpected = 1e12;

double Seconds(Duration span) {
  return std::chrono::duration<double>(span).count();
}

RateDecision Refused(base::Reason reason, Duration retry_after) {
  return {RateDecision::Verdict::kRefused, reason, retry_after};
}

RateDecision Admitted() { return {}; }

}  // namespace

RateLimiter::RateLimiter(RateSettings settings, std::uint32_t shard_count)
    : settings_(settings), shard_count_(shard_count) {}

// With another limit, an earlier shortage of tokens says nothing anymore.
void RateLimiter::OnConfig(const AccountName& name, RateLimit limit) {
  Account& account = accounts_[name];
  const bool changed =
      account.state != AccountState::kLimited || !(account.limit == limit);
  account.name = name;
  account.limit = limit;
  account.state = AccountState::kLimited;
  account.shard = shard::ShardOf(name.value(), shard_count_);
  if (!changed) return;
  account.next_request = TimePoint();
  account.refuse_until = TimePoint();
  account.refusal_time = Duration(0);
}

void RateLimiter::OnUnlimited(const AccountName& name) {
  EndLimit(name, AccountState::kUnlimited, Admitted());
}

void RateLimiter::OnRemoved(const AccountName& name) {
  EndLimit(name, AccountState::kRemoved,
           Refused(base::Reason::kUnknownKey, Duration(0)));
}

// Keeps the count of spent tokens and the sequence number, because the account
// may be limited again while the grantor still has state of this holder.
void RateLimiter::EndLimit(const AccountName& name, AccountState state,
                           const RateDecision& decision) {
  const auto it = accounts_.find(name);
  if (it == accounts_.end()) return;
  Account& account = it->second;
  for (const PendingCall& call : account.pending) Resolve(call, decision);
  account.pending.clear();
  account.held = 0;
  account.in_flight.active = false;
  account.state = state;
}

void RateLimiter::DropExpired(Account* account, TimePoint now) const {
  if (now >= account->expires_at) account->held = 0;
}

// Returns the exponentially weighted average of the call rate.
double RateLimiter::DemandPerSecond(const Account& account,
                                    TimePoint now) const {
  const double window = Seconds(settings_.demand_window);
  return account.demand_per_s *
         std::exp(-Seconds(now - account.last_call) / window);
}

void RateLimiter::UpdateDemand(Account* account, TimePoint now) const {
  account->demand_per_s =
      DemandPerSecond(*account, now) + 1 / Seconds(settings_.demand_window);
  account->last_call = now;
}

// Prefetched tokens are not available to other nodes, so their number is
// limited to a part of the burst. That is zero if the burst is too small.
Tokens RateLimiter::TargetTokens(const Account& account, TimePoint now) const {
  const double horizon = Seconds(settings_.prefetch_horizon);
  const double expected = std::ceil(DemandPerSecond(account, now) * horizon);
  const Tokens limit = account.limit.burst / kMaxHeldDivisor;
  const auto wanted = static_cast<Tokens>(std::min(expected, kMaxExpected));
  return std::min(std::max(kMinTarget, wanted), limit);
}

bool RateLimiter::ShouldRequest(const Account& account, TimePoint now) const {
  if (!account.pending.empty()) return true;
  const Tokens target = TargetTokens(account, now);
  return target > 0 && account.held * 2 <= target;
}

RateDecision RateLimiter::Admit(const AccountName& name, CallId call,
                                TimePoint now) {
  const auto it = accounts_.find(name);
  if (it == accounts_.end() || it->second.state == AccountState::kRemoved) {
    return Refused(base::Reason::kUnknownKey, Duration(0));
  }
  if (it->second.state == AccountState::kUnlimited) return Admitted();
  Account& account = it->second;
  UpdateDemand(&account, now);
  DropExpired(&account, now);
  RateDecision decision;
  if (account.held > 0 && account.pending.empty()) {
    --account.held;
    ++account.spent;
  } else if (now < account.refuse_until ||
             account.pending.size() >= settings_.max_pending) {
    const Duration wait = std::max(account.refuse_until - now, kMinRefusalTime);
    return Refused(base::Reason::kRateExceeded, wait);
  } else {
    account.pending.push_back({call, now});
    decision.verdict = RateDecision::Verdict::kPending;
  }
  const bool may_ask = !account.in_flight.active && now >= account.next_request;
  if (may_ask && ShouldRequest(account, now)) {
    SendRequest(&account, TargetTokens(account, now), now);
  }
  return decision;
}

// A token that has been reported to the grantor as spent cannot be returned.
void RateLimiter::Refund(const AccountName& name, TimePoint now) {
  const auto it = accounts_.find(name);
  if (it == accounts_.end()) return;
  if (it->second.state != AccountState::kLimited) return;
  Account& account = it->second;
  DropExpired(&account, now);
  if (account.spent == account.reported || now >= account.expires_at) return;
  --account.spent;
  ++account.held;
}

void RateLimiter::Cancel(const AccountName& name, CallId call) {
  const auto it = accounts_.find(name);
  if (it == accounts_.end()) return;
  auto& pending = it->second.pending;
  const auto same = [&](const PendingCall& p) { return p.call == call; };
  pending.erase(std::remove_if(pending.begin(), pending.end(), same),
                pending.end());
}

// Replies to requests with an older sequence number are ignored, so the grantor
// may count the tokens granted by them as unused.
void RateLimiter::SendRequest(Account* account, Tokens target, TimePoint now) {
  DropExpired(account, now);
  account->sequence = RequestSequence(account->sequence.value() + 1);
  RateRequest request;
  request.account = account->name;
  request.shard = account->shard;
  request.sequence = account->sequence;
  request.held = account->held;
  request.spent = account->spent;
  account->reported = account->spent;
  request.needed = static_cast<Tokens>(account->pending.size());
  request.wanted = std::max<Tokens>(0, target - account->held);
  account->in_flight = InFlightRequest{true, request, now, now};
  account->next_request = now;
  actions_.emplace_back(SendRateRequest{std::move(request)});
}

void RateLimiter::Resolve(const PendingCall& call, RateDecision decision) {
  actions_.emplace_back(ResolveCall{call.call, decision});
}

void RateLimiter::AdmitPending(Account* account) {
  while (account->held > 0 && !account->pending.empty()) {
    --account->held;
    ++account->spent;
    Resolve(account->pending.front(), Admitted());
    account->pending.pop_front();
  }
}

// The lease of all tokens held now starts at the time of the request, because
// the grant also renews the tokens that the request reported as held.
void RateLimiter::OnReply(const RateReply& reply, TimePoint now) {
  const auto it = accounts_.find(reply.account);
  if (it == accounts_.end()) return;
  Account& account = it->second;
  InFlightRequest& in_flight = account.in_flight;
  if (!in_flight.active || reply.sequence != in_flight.request.sequence) return;
  if (reply.status == RateReplyStatus::kNotOwner) {
    actions_.emplace_back(RefreshShardOwner{account.shard});
    return;
  }
  if (reply.epoch < account.epoch) return;
  account.epoch = reply.epoch;
  account.holders = reply.holders;
  DropExpired(&account, now);
  in_flight.active = false;
  const TimePoint expires_at = in_flight.sent + settings_.grant_lease;
  if (now < expires_at && reply.status == RateReplyStatus::kGranted) {
    account.held += reply.granted;
    account.expires_at = expires_at;
  }
  account.grantor_unavailable = reply.status != RateReplyStatus::kGranted;
  AdmitPending(&account);
  const bool short_of_tokens = reply.granted < in_flight.request.needed;
  if (short_of_tokens && !account.pending.empty()) {
    RefuseForShortage(&account, reply.retry_after, now);
    return;
  }
  account.refusal_time = Duration(0);
  if (ShouldRequest(account, now) && !account.pending.empty()) {
    SendRequest(&account, TargetTokens(account, now), now);
  }
}

// Calls that can get a token within short_hold keep waiting; the others are
// refused. If none is left, new calls are refused at once for a while, so that
// the grantor is not asked again in vain.
void RateLimiter::RefuseForShortage(Account* account, Duration retry_after,
                                    TimePoint now) {
  account->next_request = now + std::min(std::max(retry_after, kMinRefusalTime),
                                         settings_.max_refusal_time);
  if (account->grantor_unavailable) return;
  while (!account->pending.empty()) {
    const PendingCall& call = account->pending.front();
    if (account->next_request <= call.since + settings_.short_hold) break;
    Resolve(call, Refused(base::Reason::kRateExceeded, retry_after));
    account->pending.pop_front();
  }
  if (!account->pending.empty()) return;
  account->refusal_time = std::clamp(account->refusal_time * 2, kMinRefusalTime,
                                     settings_.max_refusal_time);
  account->refuse_until = now + std::min(account->refusal_time, retry_after);
}

// The grantor counts a spent token as outstanding until it is reported, and so
// does not refill it.
bool RateLimiter::IsReportDue(const Account& account, TimePoint now) const {
  if (now < account.in_flight.sent + settings_.report_interval) return false;
  const auto unreported = static_cast<Tokens>(account.spent - account.reported);
  const Tokens holders = std::max<Tokens>(kMinHolders, account.holders);
  return unreported > 0 &&
         unreported * holders * kMaxUnreportedDivisor >= account.limit.burst;
}

void RateLimiter::TickRequest(Account* account, TimePoint now) {
  InFlightRequest& in_flight = account->in_flight;
  if (!in_flight.active) {
    const bool has_pending = !account->pending.empty();
    const Duration half = settings_.grant_lease / 2;
    const bool active = now < account->last_call + settings_.idle_time;
    const bool renew =
        account->held > 0 && active && now >= account->expires_at - half;
    const bool due = has_pending || renew || IsReportDue(*account, now);
    if (now >= account->next_request && due) {
      SendRequest(account, TargetTokens(*account, now), now);
    }
    return;
  }
  if (now >= in_flight.sent + settings_.request_lifetime) {
    in_flight.active = false;
    account->grantor_unavailable = true;
    actions_.emplace_back(RefreshShardOwner{account->shard});
    const bool active = now < account->last_call + settings_.idle_time;
    if (active || !account->pending.empty()) {
      SendRequest(account, TargetTokens(*account, now), now);
    }
    return;
  }
  if (now < in_flight.resent + settings_.resend_interval) return;
  in_flight.resent = now;
  actions_.emplace_back(RefreshShardOwner{account->shard});
  actions_.emplace_back(SendRateRequest{in_flight.request});
}

// The fallback starts without tokens, and each node accrues its part of
// fallback_share of the rate. All nodes together therefore stay below the rate,
// whatever the grantor granted before it stopped answering.
void RateLimiter::TickFallback(Account* account, TimePoint now) {
  const bool silent = settings_.fallback_after.count() > 0 && nodes_ > 0 &&
                      account->in_flight.active &&
                      now >= account->in_flight.sent + settings_.fallback_after;
  if (!silent) {
    account->fallback_tokens = 0;
    account->fallback_updated_at = now;
    return;
  }
  const double node_rate = account->limit.rate_per_s *
                           settings_.fallback_share /
                           static_cast<double>(nodes_);
  account->fallback_tokens +=
      node_rate * Seconds(now - account->fallback_updated_at);
  account->fallback_tokens =
      std::min(account->fallback_tokens, 1.0 + node_rate);
  account->fallback_updated_at = now;
  while (account->fallback_tokens >= 1 && !account->pending.empty()) {
    account->fallback_tokens -= 1;
    ++account->spent;
    Resolve(account->pending.front(), Admitted());
    account->pending.pop_front();
  }
}

// A call waits longer for a grantor that does not answer than for one that
// reports a shortage of tokens.
void RateLimiter::TickPending(Account* account, TimePoint now) {
  const bool no_grantor =
      account->in_flight.active || account->grantor_unavailable;
  const Duration hold =
      no_grantor ? settings_.outage_hold : settings_.short_hold;
  const auto reason =
      no_grantor ? base::Reason::kRateUnavailable : base::Reason::kRateExceeded;
  while (!account->pending.empty()) {
    const PendingCall& call = account->pending.front();
    if (now < call.since + hold) break;
    Resolve(call, Refused(reason, settings_.max_refusal_time));
    account->pending.pop_front();
  }
}

// Returns tokens that exceed the demand, so that they can be granted to other
// nodes.
void RateLimiter::TickSurplus(Account* account, TimePoint now) {
  if (account->held == 0 || account->in_flight.active) {
    account->surplus_since = now;
    return;
  }
  const bool idle = now >= account->last_call + settings_.idle_time;
  if (idle) {
    account->held = 0;
    SendRequest(account, 0, now);
    return;
  }
  const Tokens target = TargetTokens(*account, now);
  if (account->held <= target * 2) {
    account->surplus_since = now;
    return;
  }
  if (now < account->surplus_since + settings_.surplus_time) return;
  account->held = target;
  SendRequest(account, target, now);
}

void RateLimiter::Tick(TimePoint now) {
  for (auto& [name, account] : accounts_) {
    if (account.state != AccountState::kLimited) continue;
    const bool waiting = account.in_flight.active || !account.pending.empty();
    const bool idle = account.held == 0 && account.spent == account.reported;
    if (!waiting && idle) continue;
    DropExpired(&account, now);
    TickFallback(&account, now);
    TickRequest(&account, now);
    TickPending(&account, now);
    TickSurplus(&account, now);
  }
}

RateActions RateLimiter::TakeActions() { return std::exchange(actions_, {}); }

Tokens RateLimiter::HeldTokens(const AccountName& name, TimePoint now) const {
  const auto it = accounts_.find(name);
  if (it == accounts_.end() || now >= it->second.expires_at) return 0;
  return it->second.held;
}

std::size_t RateLimiter::pending_count() const {
  std::size_t n = 0;
  for (const auto& [name, account] : accounts_) n += account.pending.size();
  return n;
}

}  // namespace dogwoodrail::core::rate
