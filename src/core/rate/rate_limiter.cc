#include "core/rate/rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/shard/shard_func.h"

namespace dogwoodrail::core::rate {
namespace {

// A node holds at most this part of the burst in advance.
constexpr Tokens kHoldDivisor = 4;
// What all holders together leave unreported stays within this part of the
// burst.
constexpr Tokens kReportDivisor = 8;
constexpr Tokens kMinHolders = 8;
// Tokens kept for the next calls of a slow account.
constexpr Tokens kMinTarget = 2;
constexpr Duration kMinDryTime = std::chrono::milliseconds(5);
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

void RateLimiter::OnConfig(const AccountName& name, RateLimit row) {
  Account& account = accounts_[name];
  account.name = name;
  account.row = row;
  account.removed = false;
  account.shard = shard::ShardOf(name.value(), shard_count_);
}

// What was spent and the sequence stay: the account may come back while the
// grantor still knows this holder.
void RateLimiter::OnRemoved(const AccountName& name) {
  const auto it = accounts_.find(name);
  if (it == accounts_.end()) return;
  for (const PendingCall& call : it->second.pending) {
    Resolve(call, Refused(base::Reason::kUnknownKey, Duration(0)));
  }
  it->second.pending.clear();
  it->second.held = 0;
  it->second.removed = true;
}

void RateLimiter::DropLapsed(Account* account, TimePoint now) const {
  if (now >= account->lapses) account->held = 0;
}

// Exponentially weighted arrival rate.
double RateLimiter::Demand(const Account& account, TimePoint now) const {
  const double window = Seconds(settings_.demand_window);
  return account.demand_per_s *
         std::exp(-Seconds(now - account.last_call) / window);
}

void RateLimiter::CountDemand(Account* account, TimePoint now) const {
  account->demand_per_s =
      Demand(*account, now) + 1 / Seconds(settings_.demand_window);
  account->last_call = now;
}

// Tokens held in advance are missing everywhere else, so they stay within a
// part of the burst, and none is held if the burst has no room for it.
Tokens RateLimiter::Target(const Account& account, TimePoint now) const {
  const double horizon = Seconds(settings_.prefetch_horizon);
  const double expected = std::ceil(Demand(account, now) * horizon);
  const Tokens limit = account.row.burst / kHoldDivisor;
  const auto wanted = static_cast<Tokens>(std::min(expected, kMaxExpected));
  return std::min(std::max(kMinTarget, wanted), limit);
}

bool RateLimiter::WantsMore(const Account& account, TimePoint now) const {
  if (!account.pending.empty()) return true;
  const Tokens target = Target(account, now);
  return target > 0 && account.held * 2 <= target;
}

RateDecision RateLimiter::Admit(const AccountName& name, CallId call,
                                TimePoint now) {
  const auto it = accounts_.find(name);
  if (it == accounts_.end() || it->second.removed) {
    return Refused(base::Reason::kUnknownKey, Duration(0));
  }
  Account& account = it->second;
  CountDemand(&account, now);
  DropLapsed(&account, now);
  RateDecision decision;
  if (account.held > 0 && account.pending.empty()) {
    --account.held;
    ++account.spent;
  } else if (now < account.dry_until ||
             account.pending.size() >= settings_.max_pending) {
    const Duration wait = std::max(account.dry_until - now, kMinDryTime);
    return Refused(base::Reason::kRateExceeded, wait);
  } else {
    account.pending.push_back({call, now});
    decision.verdict = RateDecision::Verdict::kPending;
  }
  const bool may_ask = !account.flight.active && now >= account.next_request;
  if (may_ask && WantsMore(account, now)) {
    SendRequest(&account, Target(account, now), now);
  }
  return decision;
}

// A token that the grantor counts as spent is gone.
void RateLimiter::Refund(const AccountName& name, TimePoint now) {
  const auto it = accounts_.find(name);
  if (it == accounts_.end() || it->second.removed) return;
  Account& account = it->second;
  DropLapsed(&account, now);
  if (account.spent == account.reported || now >= account.lapses) return;
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

// A new sequence number makes answers to earlier requests void, so the
// grantor may count their tokens as unused.
void RateLimiter::SendRequest(Account* account, Tokens target, TimePoint now) {
  DropLapsed(account, now);
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
  account->flight = Flight{true, request, now, now};
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

// The lease of all tokens held now counts from the request: the grantor
// renewed what was reported as held with the same answer.
void RateLimiter::OnReply(const RateReply& reply, TimePoint now) {
  const auto it = accounts_.find(reply.account);
  if (it == accounts_.end()) return;
  Account& account = it->second;
  Flight& flight = account.flight;
  if (!flight.active || reply.sequence != flight.request.sequence) return;
  if (reply.status == RateReplyStatus::kNotOwner) {
    actions_.emplace_back(RefreshShardOwner{account.shard});
    return;
  }
  if (reply.epoch < account.epoch) return;
  account.epoch = reply.epoch;
  account.holders = reply.holders;
  DropLapsed(&account, now);
  flight.active = false;
  const TimePoint lapses = flight.sent + settings_.grant_lease;
  if (now < lapses && reply.status == RateReplyStatus::kGranted) {
    account.held += reply.granted;
    account.lapses = lapses;
  }
  account.unavailable = reply.status != RateReplyStatus::kGranted;
  AdmitPending(&account);
  const bool short_of_tokens = reply.granted < flight.request.needed;
  if (short_of_tokens && !account.pending.empty()) {
    RefuseShort(&account, reply.retry_after, now);
    return;
  }
  account.dry_time = Duration(0);
  if (WantsMore(account, now) && !account.pending.empty()) {
    SendRequest(&account, Target(account, now), now);
  }
}

// Calls wait for tokens that accrue soon; others are refused, and so are new
// ones until it makes sense to ask again.
void RateLimiter::RefuseShort(Account* account, Duration retry_after,
                              TimePoint now) {
  account->next_request = now + std::min(std::max(retry_after, kMinDryTime),
                                         settings_.max_dry_time);
  if (account->unavailable) return;
  while (!account->pending.empty()) {
    const PendingCall& call = account->pending.front();
    if (account->next_request <= call.since + settings_.short_hold) break;
    Resolve(call, Refused(base::Reason::kRateExceeded, retry_after));
    account->pending.pop_front();
  }
  if (!account->pending.empty()) return;
  account->dry_time =
      std::clamp(account->dry_time * 2, kMinDryTime, settings_.max_dry_time);
  account->dry_until = now + std::min(account->dry_time, retry_after);
}

// Until it is reported, a spent token counts as held by the grantor, and keeps
// the account from accruing another.
bool RateLimiter::OwesReport(const Account& account, TimePoint now) const {
  if (now < account.flight.sent + settings_.report_interval) return false;
  const auto owed = static_cast<Tokens>(account.spent - account.reported);
  const Tokens holders = std::max<Tokens>(kMinHolders, account.holders);
  return owed > 0 && owed * holders * kReportDivisor >= account.row.burst;
}

void RateLimiter::TickFlight(Account* account, TimePoint now) {
  Flight& flight = account->flight;
  if (!flight.active) {
    const bool waits = !account->pending.empty();
    const Duration half = settings_.grant_lease / 2;
    const bool active = now < account->last_call + settings_.idle_time;
    const bool renew =
        account->held > 0 && active && now >= account->lapses - half;
    const bool due = waits || renew || OwesReport(*account, now);
    if (now >= account->next_request && due) {
      SendRequest(account, Target(*account, now), now);
    }
    return;
  }
  if (now >= flight.sent + settings_.request_lifetime) {
    flight.active = false;
    account->unavailable = true;
    actions_.emplace_back(RefreshShardOwner{account->shard});
    const bool active = now < account->last_call + settings_.idle_time;
    if (active || !account->pending.empty()) {
      SendRequest(account, Target(*account, now), now);
    }
    return;
  }
  if (now < flight.resent + settings_.resend_interval) return;
  flight.resent = now;
  actions_.emplace_back(RefreshShardOwner{account->shard});
  actions_.emplace_back(SendRateRequest{flight.request});
}

// The tokens come only with time, from nothing: all nodes together stay below
// the rate, whatever the grantor had given out before it fell silent.
void RateLimiter::TickFallback(Account* account, TimePoint now) {
  const bool silent = settings_.fallback_after.count() > 0 && nodes_ > 0 &&
                      account->flight.active &&
                      now >= account->flight.sent + settings_.fallback_after;
  if (!silent) {
    account->fallback = 0;
    account->fallback_at = now;
    return;
  }
  const double pace = account->row.rate_per_s * settings_.fallback_share /
                      static_cast<double>(nodes_);
  account->fallback += pace * Seconds(now - account->fallback_at);
  account->fallback = std::min(account->fallback, 1.0 + pace);
  account->fallback_at = now;
  while (account->fallback >= 1 && !account->pending.empty()) {
    account->fallback -= 1;
    ++account->spent;
    Resolve(account->pending.front(), Admitted());
    account->pending.pop_front();
  }
}

// Without an answer a call is held longer than with one that says that tokens
// are short.
void RateLimiter::TickPending(Account* account, TimePoint now) {
  const bool no_answer = account->flight.active || account->unavailable;
  const Duration hold =
      no_answer ? settings_.outage_hold : settings_.short_hold;
  const auto reason =
      no_answer ? base::Reason::kRateUnavailable : base::Reason::kRateExceeded;
  while (!account->pending.empty()) {
    const PendingCall& call = account->pending.front();
    if (now < call.since + hold) break;
    Resolve(call, Refused(reason, settings_.max_dry_time));
    account->pending.pop_front();
  }
}

// Tokens beyond the demand go back, so that other nodes can have them.
void RateLimiter::TickSurplus(Account* account, TimePoint now) {
  if (account->held == 0 || account->flight.active) {
    account->surplus_since = now;
    return;
  }
  const bool idle = now >= account->last_call + settings_.idle_time;
  if (idle) {
    account->held = 0;
    SendRequest(account, 0, now);
    return;
  }
  const Tokens target = Target(*account, now);
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
    const bool waits = account.flight.active || !account.pending.empty();
    const bool idle = account.held == 0 && account.spent == account.reported;
    if (!waits && idle) continue;
    DropLapsed(&account, now);
    TickFallback(&account, now);
    TickFlight(&account, now);
    TickPending(&account, now);
    TickSurplus(&account, now);
  }
}

RateActions RateLimiter::TakeActions() { return std::exchange(actions_, {}); }

Tokens RateLimiter::HeldTokens(const AccountName& name, TimePoint now) const {
  const auto it = accounts_.find(name);
  if (it == accounts_.end() || now >= it->second.lapses) return 0;
  return it->second.held;
}

std::size_t RateLimiter::pending_count() const {
  std::size_t n = 0;
  for (const auto& [name, account] : accounts_) n += account.pending.size();
  return n;
}

}  // namespace dogwoodrail::core::rate
