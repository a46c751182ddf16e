#include "core/rate/rate_ledger.h"

#include <algorithm>
#include <cmath>

namespace dogwoodrail::core::rate {
namespace {

constexpr std::int64_t kMicro = 1'000'000;
// Half of the burst, and at least so many tokens, are not given in advance:
// they are for calls that wait, wherever those are.
constexpr Tokens kReserveDivisor = 2;
constexpr Tokens kMinReserve = 16;

}  // namespace

RateLedger::RateLedger(RateLimit row, const RateSettings& settings,
                       TimePoint now)
    : row_(row),
      settings_(settings),
      level_(settings.start_empty ? 0 : row.burst * kMicro),
      accrued_(now),
      unknown_until_(now),
      next_expiry_(now) {}

// Whatever the predecessor granted was asked for before now, so it has lapsed
// one lease from now on any holder's clock.
void RateLedger::AssumeFullyGranted(TimePoint now) {
  level_ = 0;
  unknown_until_ = now + settings_.grant_lease + settings_.lease_margin;
  accrued_ = unknown_until_;
}

void RateLedger::SetLimit(RateLimit row, TimePoint now) {
  Accrue(now);
  row_ = row;
  Cap();
}

// Tokens per second are millionths of a token per microsecond. A clock that
// runs fast must not add more than the rate, so the drift is taken off.
void RateLedger::Accrue(TimePoint now) {
  if (now <= accrued_) return;
  const double rate = row_.rate_per_s *
                      static_cast<double>(kMicro - settings_.drift_ppm) /
                      static_cast<double>(kMicro);
  const auto elapsed = static_cast<double>((now - accrued_).count());
  const double gain = std::floor(rate * elapsed);
  if (gain < 1 && row_.rate_per_s > 0) return;
  accrued_ = now;
  const auto room = static_cast<double>(row_.burst * kMicro);
  level_ += static_cast<std::int64_t>(std::min(gain, room));
  Cap();
}

void RateLedger::Cap() {
  const std::int64_t cap = (row_.burst - outstanding_) * kMicro;
  level_ = std::max<std::int64_t>(0, std::min(level_, cap));
}

Tokens RateLedger::Available() const { return level_ / kMicro; }

bool RateLedger::IsNew(const MemberId& from, RequestSequence sequence) const {
  const auto it = holders_.find(from);
  return it == holders_.end() || it->second.sequence < sequence;
}

bool RateLedger::IsLast(const MemberId& from, RequestSequence sequence) const {
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

// A holder refuses answers to requests before this one. So all that it was
// granted is either still held, or spent, or will never be used; the last goes
// back to the level. Tokens it claims to hold beyond what it was granted are
// not counted. The former primary may have let a copied grant lapse already and
// accrued into its place, so nothing of it returns.
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
  if (!holder.copied) level_ += unused * kMicro;
  holder.copied = false;
  Cap();

  const Tokens needed = std::min(request.needed, Available());
  const Tokens reserve = std::max(row_.burst / kReserveDivisor, kMinReserve);
  const Tokens room = row_.burst - reserve - outstanding_ - needed;
  const Tokens in_advance = std::max<Tokens>(
      0, std::min({request.wanted, room, Available() - needed}));
  const Tokens granted = needed + in_advance;
  level_ -= granted * kMicro;
  outstanding_ += granted;

  holder.sequence = request.sequence;
  holder.spent = std::max(holder.spent, request.spent);
  holder.granted = granted;
  holder.outstanding = held + granted;
  holder.lapses = now + settings_.grant_lease + settings_.lease_margin;
  next_expiry_ = std::min(next_expiry_, holder.lapses);
  return granted;
}

Duration RateLedger::TimeUntil(Tokens tokens, TimePoint now) {
  Accrue(now);
  if (now < unknown_until_) return unknown_until_ - now;
  const std::int64_t missing = tokens * kMicro - level_;
  if (missing <= 0) return Duration(0);
  if (row_.rate_per_s <= 0) return settings_.grant_lease;
  const double wait = static_cast<double>(missing) / row_.rate_per_s;
  return Duration(static_cast<std::int64_t>(std::ceil(wait)));
}

// A holder that let its grants lapse may have spent them: they do not return
// to the level.
void RateLedger::Expire(TimePoint now) {
  if (now < next_expiry_) return;
  next_expiry_ = now + settings_.grant_lease;
  for (auto it = holders_.begin(); it != holders_.end();) {
    if (now < it->second.lapses) {
      next_expiry_ = std::min(next_expiry_, it->second.lapses);
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
  return holders_.empty() && level_ >= row_.burst * kMicro;
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
                            it.spent, it.lapses - now});
  }
  return copy;
}

// Copies apply in order, because a level that includes returned tokens must
// not be combined with an older count of what their holder has. Counting the
// level from the receipt of the copy, and each lease in full from there, can
// only make this ledger stricter than the one copied.
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
    holder.lapses = now + it.remaining + settings_.lease_margin;
    holder.copied = true;
    next_expiry_ = std::min(next_expiry_, holder.lapses);
  }
  copy_index_ = copy.index;
  level_ = copy.level;
  accrued_ = now;
  Cap();
  return true;
}

}  // namespace dogwoodrail::core::rate
