#ifndef DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_
#define DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/random_type.h"
#include "core/base/time_type.h"
#include "core/config/store_era.h"

namespace dogwoodrail::core::config {

// Timing of reads and watches of the configuration.
struct FollowSettings {
  // Maximum wait of one watch; limits the age of the known configuration.
  base::Duration watch_wait = std::chrono::milliseconds(1250);
  // Time after the wait of a call within which a response is expected; twice
  // the last response's, within these limits.
  base::Duration min_response_time = std::chrono::milliseconds(250);
  base::Duration max_response_time = std::chrono::seconds(1);
  // Minimum and maximum delay of the exponential backoff after failures.
  base::Duration retry_min = std::chrono::milliseconds(100);
  base::Duration retry_max = std::chrono::milliseconds(800);
  // Maximum delay on a node that other nodes will tell of the store's return.
  base::Duration stand_in_retry_max = std::chrono::seconds(4);
  // Time for which a confirmed configuration is valid for admitting requests
  // with a key.
  base::Duration key_lease = std::chrono::seconds(4);
};

// What a node needs of the store at the moment.
enum class StoreUse : std::uint8_t {
  kNone,          // other nodes confirm the configuration
  kWatch,         // continuous watches, to learn of a change at once
  kStandInWatch,  // as kWatch, while the nodes that should watch cannot
  kConfirm,       // one confirmation as soon as possible
};

// A call to make to the store.
struct FollowCall {
  std::uint64_t id = 0;    // passed back with the result
  bool watch = false;      // false: read the current state
  StorePosition after;     // for a watch: report changes after this position
  base::Duration wait{0};  // for a watch
};

// What last confirmed the configuration.
enum class ConfirmSource : std::uint8_t { kNone, kRead, kWatch, kPeer };

// Result of a call to the store.
enum class FollowResult : std::uint8_t {
  kRead,         // read the configuration, or that there is none
  kChanged,      // a watch reported changes
  kUnchanged,    // a watch timed out without changes
  kHistoryGone,  // the store does not have the revision of a watch
  kFailed,       // no usable response
};

// Decides when to read or watch the configuration in the store, and how long a
// confirmed configuration is valid for admitting requests with a key. Because
// of this lease, a withdrawn key also stops working on nodes that cannot reach
// the store. A revision is used only in the era of the store in which it was
// received; after a change of the era the configuration is read anew.
class ConfigFollower {
 public:
  ConfigFollower(const FollowSettings& settings, std::uint64_t seed);

  // Returns the call that is due now, if any. A second call is made while the
  // response to the first is overdue.
  std::optional<FollowCall> Next(StoreUse use, base::TimePoint now);
  // Handles the result of a call, with the position of the store. With
  // `confirms` false it does not confirm the configuration in force, because a
  // newer one is known to exist.
  void OnResult(std::uint64_t id, FollowResult result, StorePosition position,
                base::TimePoint now, bool confirms = true);
  // Handles an era of the store that another call or node has learned of.
  void OnEra(StoreEra era, base::TimePoint now);
  // Handles a confirmation by another node: the store confirmed the
  // configuration at `time` or later.
  void ConfirmByPeer(base::TimePoint time) {
    Confirm(time, ConfirmSource::kPeer);
  }
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
  // Returns what the latest confirmation came from.
  ConfirmSource confirmed_by() const { return confirmed_by_; }
  // Returns true if the store answers the watches of this node: it will be told
  // of a change at once.
  bool IsWatching(base::TimePoint now) const;

 private:
  struct OpenCall {
    FollowCall call;
    base::TimePoint sent_at;
  };

  std::optional<OpenCall> TakeCall(std::uint64_t id);
  bool IsOverdue(const OpenCall& open, base::TimePoint now) const;
  // Returns true if a call watches from a position of another era.
  bool IsOfOtherEra(const FollowCall& call) const;
  // Returns true if an answer states an older era than the one known.
  bool IsOfOlderEra(const StorePosition& position) const;
  void Confirm(base::TimePoint time, ConfirmSource source);
  void ScheduleRetry(base::TimePoint now);

  FollowSettings settings_;
  base::Random random_;
  StoreEra era_;  // latest known
  std::optional<StorePosition> position_;
  base::TimePoint position_at_;       // when position_ was received
  std::vector<OpenCall> open_calls_;  // in the order in which they were sent
  std::uint64_t last_id_ = 0;
  std::uint64_t answered_id_ = 0;  // latest call with a response
  base::TimePoint answered_at_;
  StoreUse use_ = StoreUse::kNone;  // of the last call
  base::Duration response_time_;    // expected, after the wait of a call
  base::TimePoint next_at_;
  base::TimePoint confirmed_at_;
  bool confirmed_ = false;
  ConfirmSource confirmed_by_ = ConfirmSource::kNone;
  std::uint32_t failures_ = 0;
};

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_
