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
  const auto call = follower.Next(StoreUse::kWatch, At(seconds(1)));
  BOOST_REQUIRE(call.has_value());
  follower.OnResult(call->id, FollowResult::kRead, {{}, StoreRevision(7)},
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
  BOOST_TEST(call->after.revision.value() == 7U);
  BOOST_TEST(!follower.Next(StoreUse::kWatch, At(seconds(2))).has_value());
}

BOOST_AUTO_TEST_CASE(reads_again_when_the_history_is_gone) {
  ConfigFollower follower = MakeStarted();
  const auto watch = follower.Next(StoreUse::kWatch, At(seconds(2)));
  follower.OnResult(watch->id, FollowResult::kHistoryGone, {}, At(seconds(2)));
  const auto call = follower.Next(StoreUse::kWatch, At(seconds(2)));
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(!call->watch);
}

BOOST_AUTO_TEST_CASE(retry_delay_grows_to_its_maximum) {
  ConfigFollower follower(FollowSettings(), 3);
  base::TimePoint now = At(seconds(1));
  base::Duration longest{0};
  for (int it = 0; it < 12; ++it) {
    auto call = follower.Next(StoreUse::kWatch, now);
    BOOST_REQUIRE(call.has_value());
    follower.OnResult(call->id, FollowResult::kFailed, {}, now);
    const base::TimePoint failed = now;
    while (!(call = follower.Next(StoreUse::kWatch, now))) {
      now += milliseconds(1);
    }
    longest = std::max<base::Duration>(longest, now - failed);
    follower.OnResult(call->id, FollowResult::kFailed, {}, now);
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
  const auto long_watch = waited.Next(StoreUse::kWatch, At(seconds(2)));
  waited.OnResult(long_watch->id, FollowResult::kUnchanged,
                  {{}, StoreRevision(9)}, At(seconds(2) + milliseconds(1350)));
  BOOST_TEST(waited.IsFresh(At(seconds(7) + milliseconds(200))));
  BOOST_TEST(!waited.IsFresh(At(seconds(7) + milliseconds(250))));

  ConfigFollower early = MakeStarted();
  const auto short_watch = early.Next(StoreUse::kWatch, At(seconds(2)));
  early.OnResult(short_watch->id, FollowResult::kUnchanged,
                 {{}, StoreRevision(9)}, At(seconds(2) + milliseconds(10)));
  BOOST_TEST(!early.IsFresh(At(seconds(6))));
}

// A watch whose response was lost must not hold back the next call until it
// times out.
BOOST_AUTO_TEST_CASE(overdue_call_is_replaced_and_its_late_result_ignored) {
  ConfigFollower follower = MakeStarted();
  const base::TimePoint sent = At(seconds(1) + milliseconds(10));
  const auto lost = follower.Next(StoreUse::kWatch, sent);
  const base::TimePoint in_time = sent + milliseconds(1450);
  BOOST_TEST(!follower.Next(StoreUse::kWatch, in_time).has_value());
  BOOST_TEST(follower.IsWatching(in_time));
  const base::TimePoint late = sent + milliseconds(1510);
  BOOST_TEST(!follower.IsWatching(late));
  const auto second = follower.Next(StoreUse::kWatch, late);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((second->wait < milliseconds(10)));
  const base::TimePoint answered = late + milliseconds(5);
  BOOST_TEST(!follower.Next(StoreUse::kWatch, answered).has_value());
  follower.OnResult(second->id, FollowResult::kUnchanged,
                    {{}, StoreRevision(9)}, answered);
  BOOST_TEST(follower.IsWatching(answered));
  const auto third = follower.Next(StoreUse::kWatch, answered);
  BOOST_REQUIRE(third.has_value());
  BOOST_TEST(third->after.revision.value() == 9U);
  const base::TimePoint timed_out = sent + milliseconds(2250);
  follower.OnResult(lost->id, FollowResult::kFailed, {}, timed_out);
  BOOST_TEST(follower.IsWatching(timed_out));
  BOOST_TEST(!follower.Next(StoreUse::kWatch, timed_out).has_value());
}

// A store that answers slowly is not taken for silent each time.
BOOST_AUTO_TEST_CASE(expected_response_time_follows_a_slow_store) {
  ConfigFollower follower = MakeStarted();
  const base::TimePoint sent = At(seconds(1) + milliseconds(10));
  const auto slow = follower.Next(StoreUse::kWatch, sent);
  const base::TimePoint answered = sent + milliseconds(1650);
  follower.OnResult(slow->id, FollowResult::kUnchanged, {{}, StoreRevision(9)},
                    answered);
  BOOST_REQUIRE(follower.Next(StoreUse::kWatch, answered).has_value());
  BOOST_TEST(follower.IsWatching(answered + milliseconds(2000)));
  BOOST_TEST(!follower.IsWatching(answered + milliseconds(2100)));
}

BOOST_AUTO_TEST_CASE(failed_call_ends_the_watch_until_the_next_answer) {
  ConfigFollower follower = MakeStarted();
  const base::TimePoint sent = At(seconds(1) + milliseconds(10));
  const auto failed = follower.Next(StoreUse::kWatch, sent);
  follower.OnResult(failed->id, FollowResult::kFailed, {}, sent);
  BOOST_TEST(!follower.IsWatching(sent));
  const base::TimePoint later = sent + milliseconds(200);
  const auto retry = follower.Next(StoreUse::kWatch, later);
  BOOST_REQUIRE(retry.has_value());
  follower.OnResult(retry->id, FollowResult::kUnchanged, {{}, StoreRevision(9)},
                    later);
  BOOST_TEST(follower.IsWatching(later));
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
