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

StorePosition PositionOf(std::uint64_t era, std::uint64_t revision) {
  return {StoreEra(era), StoreRevision(revision)};
}

// Time at which the first read of MakeInEra is sent, and is answered.
constexpr base::Duration kRead = seconds(1);
constexpr base::Duration kReadAnswered = kRead + milliseconds(5);
// The first watch after it, and the answer to it.
constexpr base::Duration kWatched = kRead + milliseconds(10);
constexpr base::Duration kWatchAnswered = kWatched + milliseconds(1260);
constexpr base::Duration kLongWait = FollowSettings().watch_wait;
constexpr base::Duration kShortEnough = milliseconds(10);

// Returns a follower that has read revision 7 of an era.
ConfigFollower MakeInEra(std::uint64_t era) {
  ConfigFollower follower(FollowSettings(), 1);
  const auto call = follower.Next(StoreUse::kWatch, At(kRead));
  BOOST_REQUIRE(call.has_value());
  follower.OnResult(call->id, FollowResult::kRead, PositionOf(era, 7),
                    At(kReadAnswered));
  return follower;
}

// Returns the call that is due, which has to exist.
FollowCall RequireCall(ConfigFollower& follower, base::Duration now) {
  const auto call = follower.Next(StoreUse::kWatch, At(now));
  BOOST_REQUIRE(call.has_value());
  return *call;
}

void RequireRead(ConfigFollower& follower, base::Duration now) {
  BOOST_TEST(!RequireCall(follower, now).watch);
}

void CheckAfter(const FollowCall& call, std::uint64_t era,
                std::uint64_t revision) {
  BOOST_TEST(call.watch);
  BOOST_TEST(call.after.era.value() == era);
  BOOST_TEST(call.after.revision.value() == revision);
}

// Checks that the latest confirmation is that of the first read.
void CheckConfirmedByFirstReadOnly(const ConfigFollower& follower) {
  BOOST_REQUIRE(follower.confirmed_at().has_value());
  BOOST_TEST((*follower.confirmed_at() == At(kRead)));
  BOOST_TEST(!follower.IsFresh(At(kRead + FollowSettings().key_lease)));
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

// A store that states no era shows its return by a revision that goes back.
BOOST_AUTO_TEST_CASE(lower_revision_without_an_era_is_read_anew) {
  ConfigFollower follower = MakeStarted();
  const auto watch = follower.Next(StoreUse::kWatch, At(seconds(2)));
  BOOST_REQUIRE(watch.has_value());
  const base::TimePoint answered = At(seconds(2) + milliseconds(5));
  follower.OnResult(watch->id, FollowResult::kChanged, {{}, StoreRevision(6)},
                    answered);
  BOOST_TEST(!follower.IsWatching(answered));
  BOOST_TEST(!follower.IsFresh(At(seconds(5))));
  const auto read = follower.Next(StoreUse::kWatch, answered);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->watch);
}

BOOST_AUTO_TEST_CASE(nothing_is_fresh_before_the_first_response) {
  ConfigFollower follower(FollowSettings(), 1);
  BOOST_TEST(!follower.IsFresh(At(milliseconds(1))));
}

// In the present era, a change may lie at the revision asked from or below.
BOOST_AUTO_TEST_CASE(unchanged_watch_answered_in_another_era_confirms_nothing) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  CheckAfter(watch, 1, 7);
  follower.OnResult(watch.id, FollowResult::kUnchanged, PositionOf(2, 7),
                    At(kWatchAnswered));
  CheckConfirmedByFirstReadOnly(follower);
  RequireRead(follower, kWatchAnswered);
}

// The change that it reports need not be the only one.
BOOST_AUTO_TEST_CASE(changed_watch_answered_in_another_era_confirms_nothing) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  const base::Duration answered = kWatched + milliseconds(300);
  follower.OnResult(watch.id, FollowResult::kChanged, PositionOf(2, 9),
                    At(answered));
  CheckConfirmedByFirstReadOnly(follower);
  RequireRead(follower, answered);
}

BOOST_AUTO_TEST_CASE(era_learned_elsewhere_allows_a_read_beside_the_watch) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  const base::Duration learned = kWatched + milliseconds(300);
  BOOST_TEST(!follower.Next(StoreUse::kWatch, At(learned)).has_value());
  follower.OnEra(StoreEra(2), At(learned));
  const FollowCall read = RequireCall(follower, learned);
  BOOST_TEST(!read.watch);
  const base::Duration answered = learned + milliseconds(10);
  BOOST_TEST(!follower.Next(StoreUse::kWatch, At(answered)).has_value());
  follower.OnResult(read.id, FollowResult::kRead, PositionOf(2, 3),
                    At(answered));
  BOOST_TEST((*follower.confirmed_at() == At(learned)));
  follower.OnResult(watch.id, FollowResult::kUnchanged, PositionOf(2, 5),
                    At(kWatchAnswered));
  BOOST_TEST((*follower.confirmed_at() == At(learned)));
  CheckAfter(RequireCall(follower, kWatchAnswered), 2, 3);
}

// The answer to the watch comes first.
BOOST_AUTO_TEST_CASE(watch_of_the_older_era_does_not_disturb_the_read) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  const base::Duration learned = kWatched + milliseconds(300);
  follower.OnEra(StoreEra(2), At(learned));
  const FollowCall read = RequireCall(follower, learned);
  follower.OnResult(watch.id, FollowResult::kUnchanged, PositionOf(2, 5),
                    At(learned + milliseconds(5)));
  CheckConfirmedByFirstReadOnly(follower);
  follower.OnResult(read.id, FollowResult::kRead, PositionOf(2, 3),
                    At(learned + milliseconds(10)));
  BOOST_TEST((*follower.confirmed_at() == At(learned)));
  CheckAfter(RequireCall(follower, learned + milliseconds(20)), 2, 3);
}

// The node waits to try again after a failure; what it learns is a reason to
// try at once.
BOOST_AUTO_TEST_CASE(era_learned_elsewhere_ends_the_delay_after_a_failure) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  follower.OnResult(watch.id, FollowResult::kFailed, {}, At(kWatched));
  const base::Duration learned = kWatched + milliseconds(1);
  BOOST_TEST(!follower.Next(StoreUse::kWatch, At(learned)).has_value());
  follower.OnEra(StoreEra(2), At(learned));
  RequireRead(follower, learned);
}

// A node that stands in for the readers will be told by them. All of them at
// once would be more calls than the store can take.
BOOST_AUTO_TEST_CASE(era_learned_elsewhere_leaves_the_delay_of_a_stand_in) {
  ConfigFollower follower = MakeInEra(1);
  const auto watch = follower.Next(StoreUse::kStandInWatch, At(kWatched));
  BOOST_REQUIRE(watch.has_value());
  follower.OnResult(watch->id, FollowResult::kFailed, {}, At(kWatched));
  const base::Duration learned = kWatched + milliseconds(1);
  follower.OnEra(StoreEra(2), At(learned));
  BOOST_TEST(!follower.Next(StoreUse::kStandInWatch, At(learned)).has_value());
  const auto longest = FollowSettings().stand_in_retry_max;
  const auto read =
      follower.Next(StoreUse::kStandInWatch, At(learned + longest));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->watch);
}

BOOST_AUTO_TEST_CASE(era_that_is_known_changes_nothing) {
  ConfigFollower follower = MakeInEra(2);
  RequireCall(follower, kWatched);
  const base::Duration learned = kWatched + milliseconds(300);
  follower.OnEra(StoreEra(2), At(learned));
  BOOST_TEST(!follower.Next(StoreUse::kWatch, At(learned)).has_value());
}

// The era may have changed, which a long watch would tell only at its end.
BOOST_AUTO_TEST_CASE(first_watch_after_a_failure_is_short_and_the_next_long) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall failed = RequireCall(follower, kWatched);
  BOOST_TEST((failed.wait == kLongWait));
  follower.OnResult(failed.id, FollowResult::kFailed, {}, At(kWatched));
  const base::Duration later = kWatched + milliseconds(200);
  const FollowCall first = RequireCall(follower, later);
  CheckAfter(first, 1, 7);
  BOOST_TEST((first.wait <= kShortEnough));
  follower.OnResult(first.id, FollowResult::kUnchanged, PositionOf(1, 8),
                    At(later + milliseconds(5)));
  const FollowCall next = RequireCall(follower, later + milliseconds(10));
  CheckAfter(next, 1, 8);
  BOOST_TEST((next.wait == kLongWait));
}

BOOST_AUTO_TEST_CASE(read_of_a_new_era_gives_the_position_of_the_next_watch) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  follower.OnResult(watch.id, FollowResult::kHistoryGone, PositionOf(2, 0),
                    At(kWatchAnswered));
  const FollowCall read = RequireCall(follower, kWatchAnswered);
  BOOST_TEST(!read.watch);
  const base::Duration answered = kWatchAnswered + milliseconds(5);
  follower.OnResult(read.id, FollowResult::kRead, PositionOf(2, 4),
                    At(answered));
  BOOST_TEST((*follower.confirmed_at() == At(kWatchAnswered)));
  const FollowCall next = RequireCall(follower, answered);
  CheckAfter(next, 2, 4);
  BOOST_TEST((next.wait == kLongWait));
}

// The store comes back from a copy while the read after its first return is
// still open, and once more after that.
BOOST_AUTO_TEST_CASE(two_changes_within_seconds_are_each_followed_by_a_read) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  follower.OnResult(watch.id, FollowResult::kUnchanged, PositionOf(2, 7),
                    At(kWatchAnswered));
  const FollowCall read = RequireCall(follower, kWatchAnswered);
  const base::Duration answered = kWatchAnswered + milliseconds(5);
  follower.OnResult(read.id, FollowResult::kRead, PositionOf(2, 7),
                    At(answered));
  const FollowCall second = RequireCall(follower, answered);
  CheckAfter(second, 2, 7);
  const base::Duration returned = answered + seconds(1);
  follower.OnResult(second.id, FollowResult::kUnchanged, PositionOf(3, 7),
                    At(returned));
  BOOST_TEST((*follower.confirmed_at() == At(kWatchAnswered)));
  const FollowCall last = RequireCall(follower, returned);
  BOOST_TEST(!last.watch);
  follower.OnResult(last.id, FollowResult::kRead, PositionOf(3, 6),
                    At(returned + milliseconds(5)));
  CheckAfter(RequireCall(follower, returned + milliseconds(10)), 3, 6);
}

// An answer that was on its way while the era changed states the older one. Its
// position must not be used: a long watch from it would hide a change.
BOOST_AUTO_TEST_CASE(late_answer_of_the_older_era_gives_no_position) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  const base::Duration learned = kWatched + milliseconds(300);
  follower.OnEra(StoreEra(2), At(learned));
  follower.OnResult(watch.id, FollowResult::kUnchanged, PositionOf(1, 9),
                    At(learned + milliseconds(5)));
  RequireRead(follower, learned + milliseconds(10));
}

// The next read waits for the shortest delay, so that a store whose era went
// back would not be read without a pause.
BOOST_AUTO_TEST_CASE(late_read_of_the_older_era_gives_no_position) {
  ConfigFollower follower = MakeInEra(1);
  const FollowCall watch = RequireCall(follower, kWatched);
  follower.OnResult(watch.id, FollowResult::kUnchanged, PositionOf(2, 7),
                    At(kWatchAnswered));
  const FollowCall read = RequireCall(follower, kWatchAnswered);
  const base::Duration learned = kWatchAnswered + milliseconds(5);
  follower.OnEra(StoreEra(3), At(learned));
  const base::Duration answered = learned + milliseconds(5);
  follower.OnResult(read.id, FollowResult::kRead, PositionOf(2, 7),
                    At(answered));
  BOOST_TEST(!follower.Next(StoreUse::kWatch, At(answered)).has_value());
  RequireRead(follower, answered + FollowSettings().retry_min);
}

BOOST_AUTO_TEST_CASE(store_that_states_no_era_is_followed_by_its_revisions) {
  ConfigFollower follower = MakeInEra(0);
  const FollowCall watch = RequireCall(follower, kWatched);
  CheckAfter(watch, 0, 7);
  follower.OnEra(StoreEra(), At(kWatched));
  BOOST_TEST(!follower.Next(StoreUse::kWatch, At(kWatched)).has_value());
  follower.OnResult(watch.id, FollowResult::kUnchanged, PositionOf(0, 9),
                    At(kWatchAnswered));
  BOOST_TEST((*follower.confirmed_at() == At(kWatched + kLongWait)));
  const FollowCall next = RequireCall(follower, kWatchAnswered);
  CheckAfter(next, 0, 9);
  BOOST_TEST((next.wait == kLongWait));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::config
