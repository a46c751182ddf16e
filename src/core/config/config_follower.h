#ifndef DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_
#define DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <optional>

#include "core/base/id_type.h"
#include "core/base/random_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::config {

// Revision of the store that holds the configuration.
using StoreRevision = base::StrongNumber<struct StoreRevisionTag>;

// Timing of reads and watches of the configuration.
struct FollowSettings {
  // Maximum wait of one watch; limits the age of the known configuration.
  base::Duration watch_wait = std::chrono::milliseconds(1500);
  // Minimum and maximum delay of the exponential backoff after failures.
  base::Duration retry_min = std::chrono::milliseconds(100);
  base::Duration retry_max = std::chrono::milliseconds(800);
  // Maximum delay on a node that other nodes will tell of the store's return.
  base::Duration confirm_retry_max = std::chrono::seconds(4);
  // Time for which a confirmed configuration is valid for admitting requests
  // with a key.
  base::Duration key_lease = std::chrono::seconds(4);
};

// What a node needs of the store at the moment.
enum class StoreUse : std::uint8_t {
  kNone,     // other nodes confirm the configuration
  kWatch,    // continuous watches, to learn of a change at once
  kConfirm,  // one confirmation as soon as possible
};

// A call to make to the store.
struct FollowCall {
  bool watch = false;      // false: read the current state
  StoreRevision after;     // for a watch: report changes after this revision
  base::Duration wait{0};  // for a watch
};

// Result of a call to the store.
enum class FollowResult : std::uint8_t {
  kRead,         // read the configuration, or that there is none
  kChanged,      // a watch reported changes
  kUnchanged,    // a watch timed out without changes
  kHistoryGone,  // the store no longer has the revision of a watch
  kFailed,       // no usable response
};

// Decides when to read or watch the configuration in the store, and how long a
// confirmed configuration is valid for admitting requests with a key. Because
// of this lease, a withdrawn key also stops working on nodes that cannot reach
// the store.
class ConfigFollower {
 public:
  ConfigFollower(const FollowSettings& settings, std::uint64_t seed);

  // Returns the call that is due now, if any. Only one call is in progress at a
  // time.
  std::optional<FollowCall> Next(StoreUse use, base::TimePoint now);
  // Handles the result of the call in progress, with the revision of the store.
  void OnResult(FollowResult result, StoreRevision revision,
                base::TimePoint now);
  // Handles a confirmation by another node: the store confirmed the
  // configuration at `time` or later.
  void Confirm(base::TimePoint time);
  // Accounts for a time during which the process was suspended and its clock
  // stopped.
  void OnSuspended(base::Duration time);

  // Returns true if requests with a key may be admitted.
  bool IsFresh(base::TimePoint now) const;
  // Returns the time since the store last confirmed the configuration.
  base::Duration Age(base::TimePoint now) const { return now - confirmed_at_; }
  // Returns the time when the store last confirmed the configuration, if ever.
  std::optional<base::TimePoint> confirmed_at() const {
    return confirmed_ ? std::optional(confirmed_at_) : std::nullopt;
  }
  // Returns the number of consecutive failures.
  std::uint32_t failures() const { return failures_; }

 private:
  void ScheduleRetry(base::TimePoint now);

  FollowSettings settings_;
  base::Random random_;
  std::optional<StoreRevision> revision_;
  base::TimePoint revision_at_;  // when revision_ was received
  std::optional<FollowCall> call_;
  StoreUse use_ = StoreUse::kNone;  // of the last call
  base::TimePoint sent_at_;
  base::TimePoint next_at_;
  base::TimePoint confirmed_at_;
  bool confirmed_ = false;
  std::uint32_t failures_ = 0;
};

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_
