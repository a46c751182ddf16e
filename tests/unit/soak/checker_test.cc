// Each promise of the soak is broken by a planted record.
#include "soak/checker.h"

#include <boost/test/unit_test.hpp>

namespace dogwoodrail::soak {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStart{1000};
constexpr milliseconds kLong{300};  // longer than a crossing request
constexpr milliseconds kShort{100};

// A request that was answered with its whole body after kLong.
RequestRecord GoodRecord() {
  RequestRecord record;
  record.target = "/wages/1";
  record.vm = 1;
  record.sent = true;
  record.status = 200;
  record.complete = true;
  record.right_body = true;
  record.started_at = kStart;
  record.sent_at = kStart;
  record.ended_at = kStart + kLong;
  return record;
}

// A request whose connection closed after `time`, without an answer.
RequestRecord ClosedRecord(milliseconds time) {
  RequestRecord record = GoodRecord();
  record.status = 0;
  record.complete = false;
  record.right_body = false;
  record.ended_at = kStart + time;
  return record;
}

std::size_t CountBroken(const RequestRecord& record, std::size_t runs,
                        const std::vector<Disruption>& disruptions = {}) {
  RunCounts counts;
  if (runs > 0) counts.by_target[record.target] = runs;
  return FindBroken({record}, counts, disruptions).size();
}

// A disruption of the node of GoodRecord() while the request was there.
Disruption DisruptionOf(std::size_t vm, bool killed) {
  return {vm, killed, kStart + milliseconds(10), kStart + milliseconds(20)};
}

BOOST_AUTO_TEST_SUITE(checker)

BOOST_AUTO_TEST_CASE(kept_promises_are_not_reported) {
  BOOST_TEST(CountBroken(GoodRecord(), 1) == 0U);
}

// A check at the end of a run passed over a fleet that had missed a change and
// was healed by the next one.
BOOST_AUTO_TEST_CASE(a_run_with_a_withdrawn_key_is_found) {
  RequestRecord record = GoodRecord();
  record.withdrawn_key = true;
  BOOST_TEST(CountBroken(record, 1) == 1U);
  record.status = 401;
  record.right_body = false;
  BOOST_TEST(CountBroken(record, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_found) {
  BOOST_TEST(CountBroken(ClosedRecord(kShort), 1) == 1U);
  BOOST_TEST(CountBroken(ClosedRecord(kLong), 0) == 1U);
  RequestRecord cut = ClosedRecord(kLong);
  cut.status = 200;
  BOOST_TEST(CountBroken(cut, 1) == 1U);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_not_read_is_not_lost) {
  BOOST_TEST(CountBroken(ClosedRecord(kShort), 0) == 0U);
  RequestRecord unsent = ClosedRecord(kLong);
  unsent.sent = false;
  BOOST_TEST(CountBroken(unsent, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(only_a_kill_of_the_own_node_excuses_a_lost_answer) {
  const RequestRecord closed = ClosedRecord(kLong);
  BOOST_TEST(CountBroken(closed, 1, {DisruptionOf(1, true)}) == 0U);
  BOOST_TEST(CountBroken(closed, 1, {DisruptionOf(0, true)}) == 1U);
  BOOST_TEST(CountBroken(closed, 1, {DisruptionOf(1, false)}) == 1U);
  BOOST_TEST(CountBroken(closed, 0, {DisruptionOf(1, false)}) == 0U);
  const Disruption before{1, true, milliseconds(0), kStart - milliseconds(1)};
  BOOST_TEST(CountBroken(closed, 1, {before}) == 1U);
}

BOOST_AUTO_TEST_CASE(a_second_run_is_found) {
  RequestRecord record = GoodRecord();
  BOOST_TEST(CountBroken(record, 2) == 1U);
  record.idempotent = true;
  BOOST_TEST(CountBroken(record, 2) == 0U);
}

BOOST_AUTO_TEST_CASE(a_false_refusal_is_found) {
  RequestRecord record = GoodRecord();
  record.status = 503;
  record.not_run = true;
  record.right_body = false;
  BOOST_TEST(CountBroken(record, 1) == 1U);
  BOOST_TEST(CountBroken(record, 0) == 0U);
}

BOOST_AUTO_TEST_CASE(a_wrong_body_is_found) {
  RequestRecord record = GoodRecord();
  record.right_body = false;
  BOOST_TEST(CountBroken(record, 1) == 1U);
  record.status = 502;
  BOOST_TEST(CountBroken(record, 1) == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_that_goes_on_to_crash_is_found) {
  RunCounts counts;
  counts.crash_target = "/lots/crash";
  counts.by_target[counts.crash_target] = 6;
  BOOST_TEST(FindBroken({}, counts, {}).empty());
  counts.by_target[counts.crash_target] = 7;
  BOOST_TEST(FindBroken({}, counts, {}).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::soak
