#include "core/rate/rate_ledger.h"

#include <algorithm>
#include <cmath>

namespace dogwoodrail::core::rate {
namespace {

constexpr std::int64_t kMicro = 1'000'000;
// Half of the burst, and at least kMinReserve tokens, are never prefetched. The
// reserve serves waiting calls at any node.
constexpr Tokens kReserveDivisor = 2;
constexpr Tokens kMinReserve = 16;

}  // namespace

RateLedger::RateLedger(RateLimit limit, const RateSettings& settings,
                       TimePoint now)
    : limit_(limit),
      settings_(settings),
      level_(settings.start_empty ? 0 : limit.burst * kMicro),
      accrued_at_(now),
      blocked_until_(now),
      next_expiry_(now) {}

// All grants of the predecessor answer requests sent before now, so one lease
// from now they have expired by any holder's clock.
void RateLedger::AssumeFullyGranted(TimePoint now) {
  level_ = 0;
  blocked_until_ = now + settings_.grant_lease + settings_.lease_margin;
  accrued_at_ = blocked_until_;
}

void RateLedger::SetLimit(RateLimit limit, TimePoint now) {
  Accrue(now);
  limit_ = limit;
  ClampLevel();
}

// The rate in tokens per second equals millionths of a token per microsecond.
// The maximum clock drift is subtracted, so that a fast clock does not add
// tokens above the rate.
void RateLedger::Accrue(TimePoint now) {
  if (now <= accrued_at_) return;
  const double rate = limit_.rate_per_s *
                      static_cast<double>(kMicro - settings_.max_drift_ppm) /
                      static_cast<double>(kMicro);
  const auto elapsed = static_cast<double>((now - accrued_at_).count());
  const double gain = std::floor(rate * elapsed);
  if (gain < 1 && limit_.rate_per_s > 0) return;
  accrued_at_ = now;
  const auto room = static_cast<double>(limit_.burst * kMicro);
  level_ += static_cast<std::int64_t>(std::min(gain, room));
  ClampLevel();
}

void RateLedger::ClampLevel() {
  const std::int64_t cap = (limit_.burst - outstanding_) * kMicro;
  level_ = std::max<std::int64_t>(0, std::min(level_, cap));
}

Tokens RateLedger::Available() const { return level_ / kMicro; }

bool RateLedger::IsNew(const MemberId& from, RequestSequence sequence) const {
  const auto it = holders_.find(from);
  return it == holders_.end() || it->second.sequence < sequence;
}

bool RateLedger::IsRepeat(const MemberId& from,
                          RequestSequence sequence) const {
  const auto it = holders_.find(from);
  return it != holders_.end() && it->second.sequence == sequence;
}

Tokens RateLedger::OutstandingOf(const MemberId& holder) const {
  const auto it = holders_.find(holder);
  return it == holders_.end() ? 0 : it->second.outstanding;
}

Tokens RateLedger::LastGrant(const MemberId& from) const {
  const auto it = holders_.find(from);
  return it == holders_.end() ? 0 : it->second.granted;
}

// A holder ignores replies to requests older than this one. Each token granted
// to it is therefore held, spent, or never going to be used; unused tokens
// return to the level. Tokens that a holder reports beyond its grants are
// ignored. Unused tokens of a replicated grant do not return: the former
// primary may have let that grant expire and refilled the bucket in its place.
Tokens RateLedger::Grant(const MemberId& from, const RateRequest& request,
                         TimePoint now) {
  Expire(now);
  Accrue(now);
  const auto [it, added] = holders_.try_emplace(from);
  Holder& holder = it->second;
  if (added) holder.spent = request.spent;
  const auto spent = request.spent > holder.spent
                         ? static_cast<Tokens>(request.spent - holder.spent)
                         : 0;
  const Tokens held = std::min(holder.outstanding, request.held);
  const Tokens unused = std::max<Tokens>(0, holder.outstanding - held - spent);
  outstanding_ += held - holder.outstanding;
  if (!holder.from_copy) level_ += unused * kMicro;
  holder.from_copy = false;
  ClampLevel();

  const Tokens needed = std::min(request.needed, Available());
  const Tokens reserve = std::max(limit_.burst / kReserveDivisor, kMinReserve);
  const Tokens room = limit_.burst - reserve - outstanding_ - needed;
  const Tokens in_advance = std::max<Tokens>(
      0, std::min({request.wanted, room, Available() - needed}));
  const Tokens granted = needed + in_advance;
  level_ -= granted * kMicro;
  outstanding_ += granted;

  holder.sequence = request.sequence;
  holder.spent = std::max(holder.spent, request.spent);
  holder.granted = granted;
  holder.outstanding = held + granted;
  holder.expires_at = now + settings_.grant_lease + settings_.lease_margin;
  next_expiry_ = std::min(next_expiry_, holder.expires_at);
  return granted;
}

Duration RateLedger::TimeUntil(Tokens tokens, TimePoint now) {
  Accrue(now);
  if (now < blocked_until_) return blocked_until_ - now;
  const std::int64_t missing = tokens * kMicro - level_;
  if (missing <= 0) return Duration(0);
  if (limit_.rate_per_s <= 0) return settings_.grant_lease;
  const double wait = static_cast<double>(missing) / limit_.rate_per_s;
  return Duration(static_cast<std::int64_t>(std::ceil(wait)));
}

// Tokens of expired grants do not return to the level, because the holder may
// have spent them without reporting it.
void RateLedger::Expire(TimePoint now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + settings_.grant_lease;
  for (auto it = holders_.begin(); it != holders_.end();) {
    if (now < it->second.expires_at) {
      next_expiry_ = std::min(next_expiry_, it->second.expires_at);
      ++it;
      continue;
    }
    Accrue(now);
    outstanding_ -= it->second.outstanding;
    it = holders_.erase(it);
  }
}

bool RateLedger::IsFull(TimePoint now) {
  Expire(now);
  Accrue(now);
  return holders_.empty() && level_ >= limit_.burst * kMicro;
}

RateCopy RateLedger::Copy(const MemberId* holder, TimePoint now) {
  Accrue(now);
  copy_index_ = CopyIndex(copy_index_.value() + 1);
  RateCopy copy;
  copy.kind = holder ? RateCopyKind::kHolders : RateCopyKind::kAccount;
  copy.index = copy_index_;
  copy.level = level_;
  for (const auto& [id, it] : holders_) {
    if (holder != nullptr && id != *holder) continue;
    copy.holders.push_back({id, it.sequence, it.outstanding, it.granted,
                            it.spent, it.expires_at - now});
  }
  return copy;
}

// Updates apply in order, because a level that includes returned tokens must
// not be combined with an older count of their holder's tokens. Refilling the
// level, and running each lease in full, from the receipt of the update can
// only make this ledger stricter than the primary's.
bool RateLedger::Apply(const RateCopy& copy, TimePoint now) {
  if (!(copy_index_ < copy.index)) return true;
  const bool whole = copy.kind == RateCopyKind::kAccount;
  const CopyIndex next(copy_index_.value() + 1);
  if (!whole && copy.index != next) return false;
  if (whole) {
    holders_.clear();
    outstanding_ = 0;
  }
  for (const HolderState& it : copy.holders) {
    Holder& holder = holders_[it.holder];
    outstanding_ += it.outstanding - holder.outstanding;
    holder.sequence = it.sequence;
    holder.outstanding = it.outstanding;
    holder.granted = it.granted;
    holder.spent = it.spent;
    holder.expires_at = now + it.remaining + settings_.lease_margin;
    holder.from_copy = true;
    next_expiry_ = std::min(next_expiry_, holder.expires_at);
  }
  copy_index_ = copy.index;
  level_ = copy.level;
  accrued_at_ = now;
  ClampLevel();
  return true;
}

}  // namespace dogwoodrail::core::rate
