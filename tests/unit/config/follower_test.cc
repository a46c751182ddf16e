// Tests when the configuration is requested, and how long it admits keys.
#include <boost/test/unit_test.hpp>
#include <chrono>

#include "core/config/config_follower.h"

namespace dogwoodrail::core::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

base::TimePoint At(base::Duration time) { return base::TimePoint(time); }

// Returns a follower that has read the configuration at 1 s.
ConfigFollower MakeStarted() {
  ConfigFollower follower(FollowSettings(), 1);
  BOOST_REQUIRE(follower.Next(StoreUse::kWatch, At(seconds(1))).has_value());
  follower.OnResult(FollowResult::kRead, StoreRevision(7),
                    At(seconds(1) + milliseconds(5)));
  return follower;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(config_follower)

BOOST_AUTO_TEST_CASE(reads_first_then_watches_from_that_revision) {
  ConfigFollower follower = MakeStarted();
  const auto call = follower.Next(StoreUse::kWatch, At(seconds(2)));
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(call->watch);
  BOOST_TEST(call->after.value() == 7U);
  BOOST_TEST(!follower.Next(StoreUse::kWatch, At(seconds(2))).has_value());
}

BOOST_AUTO_TEST_CASE(reads_again_when_the_history_is_gone) {
  ConfigFollower follower = MakeStarted();
  follower.Next(StoreUse::kWatch, At(seconds(2)));
  follower.OnResult(FollowResult::kHistoryGone, {}, At(seconds(2)));
  const auto call = follower.Next(StoreUse::kWatch, At(seconds(2)));
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(!call->watch);
}

BOOST_AUTO_TEST_CASE(retry_delay_grows_to_its_maximum) {
  ConfigFollower follower(FollowSettings(), 3);
  base::TimePoint now = At(seconds(1));
  base::Duration longest{0};
  for (int it = 0; it < 12; ++it) {
    BOOST_REQUIRE(follower.Next(StoreUse::kWatch, now).has_value());
    follower.OnResult(FollowResult::kFailed, {}, now);
    const base::TimePoint failed = now;
    while (!follower.Next(StoreUse::kWatch, now)) now += milliseconds(1);
    longest = std::max<base::Duration>(longest, now - failed);
    follower.OnResult(FollowResult::kFailed, {}, now);
    now += seconds(1);
  }
  BOOST_TEST(longest.count() <= base::Duration(milliseconds(801)).count());
  BOOST_TEST(longest.count() >= base::Duration(milliseconds(400)).count());
}

// A node without a connection to the store cannot learn that a key was
// withdrawn.
BOOST_AUTO_TEST_CASE(lease_expires_without_confirmation) {
  ConfigFollower follower = MakeStarted();
  BOOST_TEST(follower.IsFresh(At(seconds(4))));
  BOOST_TEST(!follower.IsFresh(At(seconds(5))));
}

// The response to a watch that timed out confirms the configuration at the end
// of the wait; an early response confirms it only at the time of the call.
BOOST_AUTO_TEST_CASE(timed_out_watch_confirms_until_the_end_of_its_wait) {
  ConfigFollower waited = MakeStarted();
  waited.Next(StoreUse::kWatch, At(seconds(2)));
  waited.OnResult(FollowResult::kUnchanged, StoreRevision(9),
                  At(seconds(2) + milliseconds(1600)));
  BOOST_TEST(waited.IsFresh(At(seconds(7) + milliseconds(400))));
  BOOST_TEST(!waited.IsFresh(At(seconds(7) + milliseconds(500))));

  ConfigFollower early = MakeStarted();
  early.Next(StoreUse::kWatch, At(seconds(2)));
  early.OnResult(FollowResult::kUnchanged, StoreRevision(9),
                 At(seconds(2) + milliseconds(10)));
  BOOST_TEST(!early.IsFresh(At(seconds(6))));
}

BOOST_AUTO_TEST_CASE(suspended_time_counts_against_the_lease) {
  ConfigFollower follower = MakeStarted();
  follower.OnSuspended(seconds(3));
  BOOST_TEST(!follower.IsFresh(At(seconds(3))));
}

BOOST_AUTO_TEST_CASE(nothing_is_fresh_before_the_first_response) {
  ConfigFollower follower(FollowSettings(), 1);
  BOOST_TEST(!follower.IsFresh(At(milliseconds(1))));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::config
