// Tests that messages about the configuration survive encoding.
#include "wire/spread_codec.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "wire/frame_func.h"

namespace dogwoodrail::wire {
namespace {

namespace spread = core::spread;
using core::base::TicketNumber;

// Returns the answer after it was encoded and decoded.
spread::PeerAnswer RoundTrip(const spread::PeerAnswer& answer) {
  const Bytes frame = EncodeSpread(answer);
  const Bytes payload(frame.begin() + kFrameLengthBytes + kFramePrefixBytes,
                      frame.end());
  const auto decoded = DecodeSpread(payload);
  BOOST_REQUIRE(decoded.has_value());
  return std::get<spread::PeerAnswer>(*decoded);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(spread_codec)

BOOST_AUTO_TEST_CASE(age_of_a_confirmation_is_kept) {
  spread::PeerAnswer answer;
  answer.sequence = 7;
  answer.in_force = TicketNumber(12);
  answer.confirmed_age = std::chrono::milliseconds(1234);
  answer.watched = true;
  answer.has_snapshot = true;
  answer.snapshot = {TicketNumber(12), "body"};
  const spread::PeerAnswer decoded = RoundTrip(answer);
  BOOST_TEST(decoded.sequence == 7U);
  BOOST_TEST(decoded.in_force.value() == 12U);
  BOOST_REQUIRE(decoded.confirmed_age.has_value());
  BOOST_TEST((*decoded.confirmed_age == *answer.confirmed_age));
  BOOST_TEST(decoded.watched);
  BOOST_TEST(decoded.snapshot.body == "body");
}

// A node without these fields, of an earlier version, is not settled.
BOOST_AUTO_TEST_CASE(era_and_start_of_the_sender_are_kept) {
  spread::PeerAnswer answer;
  BOOST_TEST(RoundTrip(answer).store_era.value() == 0U);
  BOOST_TEST(!RoundTrip(answer).settled);
  answer.store_era = core::config::StoreEra(9);
  answer.settled = true;
  BOOST_TEST(RoundTrip(answer).store_era.value() == 9U);
  BOOST_TEST(RoundTrip(answer).settled);
}

// An age of zero is a confirmation, none at all is not.
BOOST_AUTO_TEST_CASE(missing_age_is_not_an_age_of_zero) {
  spread::PeerAnswer answer;
  BOOST_TEST(!RoundTrip(answer).confirmed_age.has_value());
  answer.confirmed_age = std::chrono::seconds(0);
  BOOST_TEST(RoundTrip(answer).confirmed_age.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::wire
