#ifndef DOGWOODRAIL_CORE_RATE_RATE_LEDGER_H_
#define DOGWOODRAIL_CORE_RATE_RATE_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/rate/rate_type.h"

namespace dogwoodrail::core::rate {

// Tokens of one account: what may still be granted, and what each holder may
// still spend. Level and outstanding together never exceed the burst.
class RateLedger {
 public:
  // Starts with a full burst, or empty if the settings say so.
  RateLedger(RateLimit row, const RateSettings& settings, TimePoint now);

  // Starts with the whole burst granted by an unknown predecessor.
  virtual void AssumeFullyGranted(TimePoint now);
  // Changes rate and burst; what is granted already lapses by itself.
  void SetLimit(RateLimit row, TimePoint now);

  // True if the request is newer than the last one of its holder.
  bool IsNew(const MemberId& from, RequestSequence sequence) const;
  // True if the request repeats the last one of its holder.
  bool IsLast(const MemberId& from, RequestSequence sequence) const;
  // Takes over what a holder reports and grants what it may have. Returns the
  // tokens granted.
  Tokens Grant(const MemberId& from, const RateRequest& request, TimePoint now);
  // Returns what the last request of a holder was granted.
  Tokens LastGrant(const MemberId& from) const;
  // Returns the tokens that a holder may still spend.
  Tokens OutstandingOf(const MemberId& holder) const;
  // Returns the time until `tokens` can be granted.
  Duration TimeUntil(Tokens tokens, TimePoint now);
  // Returns the end of the time for which nothing can be granted.
  TimePoint unknown_until() const { return unknown_until_; }

  // Forgets grants that have lapsed everywhere.
  virtual void Expire(TimePoint now);
  // True if the account is as full as a new one.
  bool IsFull(TimePoint now);

  // Returns the copy of one holder, or of all if `holder` is null.
  RateCopy Copy(const MemberId* holder, TimePoint now);
  // Applies a copy from the primary. False if an earlier one is missing.
  bool Apply(const RateCopy& copy, TimePoint now);

  // Number of holders with grants.
  std::size_t holder_count() const { return holders_.size(); }
  // Tokens that holders may still spend.
  Tokens outstanding() const { return outstanding_; }

  virtual ~RateLedger() = default;

 protected:
  struct Holder {
    RequestSequence sequence;
    Tokens outstanding = 0;
    Tokens granted = 0;
    std::uint64_t spent = 0;
    TimePoint lapses;
    bool copied = false;  // not granted by this ledger itself
  };

  void Accrue(TimePoint now);
  void Cap();
  Tokens Available() const;

  RateLimit row_;
  RateSettings settings_;
  std::int64_t level_ = 0;  // millionths of a token
  TimePoint accrued_;
  Tokens outstanding_ = 0;
  TimePoint unknown_until_;
  CopyIndex copy_index_;
  std::map<MemberId, Holder> holders_;
  TimePoint next_expiry_;
};

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_RATE_LEDGER_H_
