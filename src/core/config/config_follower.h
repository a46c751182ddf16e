#ifndef DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_
#define DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_

#include <cstdint>
#include <optional>

#include "core/base/id_type.h"
#include "core/base/random_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::config {

// Revision of the whole store that the configuration is kept in.
using StoreRevision = base::StrongNumber<struct StoreRevisionTag>;

// Times of following the configuration at its store.
struct FollowSettings {
  // Longest wait of one watch; bounds the age of what is known.
  base::Duration watch_wait = std::chrono::milliseconds(1500);
  // Pause after the first failure in a row; doubles up to the longest.
  base::Duration retry_min = std::chrono::milliseconds(100);
  base::Duration retry_max = std::chrono::milliseconds(800);
  // Time for which a confirmed configuration may admit requests with a key.
  base::Duration key_lease = std::chrono::seconds(4);
};

// A call to the store that is due.
struct FollowCall {
  bool watch = false;   // false: read what is there
  StoreRevision after;  // of a watch
  base::Duration wait{0};
};

// How a call ended.
enum class FollowResult : std::uint8_t {
  kRead,         // the configuration as it is, or that there is none
  kChanged,      // a watch saw changes
  kUnchanged,    // a watch ended without one
  kHistoryGone,  // the store has forgotten what a watch asks for
  kFailed,       // no usable answer
};

// Decides when the store is asked for the configuration, and for how long what
// it said admits requests with a key. A withdrawn key stops working on a node
// that cannot reach the store, because its lease ends.
class ConfigFollower {
 public:
  ConfigFollower(const FollowSettings& settings, std::uint64_t seed);

  // Returns the call that is due now, if any; one is under way at a time.
  std::optional<FollowCall> Next(base::TimePoint now);
  // Takes the end of the call under way; the revision is that of the store.
  void OnResult(FollowResult result, StoreRevision revision,
                base::TimePoint now);
  // Takes a time for which the process stood still without its clock running.
  void OnSuspended(base::Duration time);

  // True if requests with a key may be admitted.
  bool IsFresh(base::TimePoint now) const;
  // Time since the store last confirmed the configuration.
  base::Duration Age(base::TimePoint now) const { return now - confirmed_at_; }
  // Number of failures in a row.
  std::uint32_t failures() const { return failures_; }

 private:
  void Fail(base::TimePoint now);

  FollowSettings settings_;
  base::Random random_;
  std::optional<StoreRevision> revision_;
  std::optional<FollowCall> call_;
  base::TimePoint sent_at_;
  base::TimePoint next_at_;
  base::TimePoint confirmed_at_;
  bool confirmed_ = false;
  std::uint32_t failures_ = 0;
};

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_CONFIG_FOLLOWER_H_
