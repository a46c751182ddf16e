#ifndef DOGWOODRAIL_CORE_RATE_RATE_LEDGER_H_
#define DOGWOODRAIL_CORE_RATE_RATE_LEDGER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "core/rate/rate_type.h"

namespace dogwoodrail::core::rate {

// Token bucket of one account, kept by the grantor. Tracks the tokens that may
// still be granted (the level) and those that holders may still spend (the
// outstanding ones). Together these never exceed the burst.
class RateLedger {
 public:
  // Starts with a full burst, or empty if settings.start_empty is set.
  RateLedger(RateLimit limit, const RateSettings& settings, TimePoint now);

  // Assumes that an unknown predecessor has granted the whole burst, and grants
  // nothing until such grants have expired.
  virtual void AssumeFullyGranted(TimePoint now);
  // Changes rate and burst. Existing grants stay valid until they expire.
  void SetLimit(RateLimit limit, TimePoint now);

  // Returns true if the request is newer than the last one of its holder.
  bool IsNew(const MemberId& from, RequestSequence sequence) const;
  // Returns true if the request is a retransmission of its holder's last one.
  bool IsRepeat(const MemberId& from, RequestSequence sequence) const;
  // Applies a holder's report of held and spent tokens, then grants what is
  // available. Returns the number of tokens granted.
  Tokens Grant(const MemberId& from, const RateRequest& request, TimePoint now);
  // Returns the tokens granted by the reply to a holder's last request.
  Tokens LastGrant(const MemberId& from) const;
  // Returns the tokens that a holder may still spend.
  Tokens OutstandingOf(const MemberId& holder) const;
  // Returns the time until `tokens` can be granted.
  Duration TimeUntil(Tokens tokens, TimePoint now);
  // Returns the time before which nothing can be granted.
  TimePoint blocked_until() const { return blocked_until_; }

  // Removes grants that have expired by every holder's clock.
  virtual void Expire(TimePoint now);
  // Returns true if the level is at the burst and no grants are outstanding.
  bool IsFull(TimePoint now);

  // Returns an update that replicates one holder, or all if `holder` is null.
  RateCopy Copy(const MemberId* holder, TimePoint now);
  // Applies an update from the primary. Returns false if an earlier update is
  // missing.
  bool Apply(const RateCopy& copy, TimePoint now);

  // Number of holders with grants.
  std::size_t holder_count() const { return holders_.size(); }
  // Number of tokens that holders may still spend.
  Tokens outstanding() const { return outstanding_; }

  virtual ~RateLedger() = default;

 protected:
  struct Holder {
    RequestSequence sequence;
    Tokens outstanding = 0;
    Tokens granted = 0;
    std::uint64_t spent = 0;
    TimePoint expires_at;
    bool from_copy = false;  // replicated from the primary, not granted here
  };

  void Accrue(TimePoint now);
  void ClampLevel();
  Tokens Available() const;

  RateLimit limit_;
  RateSettings settings_;
  std::int64_t level_ = 0;  // millionths of a token
  TimePoint accrued_at_;
  Tokens outstanding_ = 0;
  TimePoint blocked_until_;
  CopyIndex copy_index_;
  std::map<MemberId, Holder> holders_;
  TimePoint next_expiry_;
};

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_RATE_LEDGER_H_
