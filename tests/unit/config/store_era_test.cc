// Tests which statements of the store's era count as a change.
#include "core/config/store_era.h"

#include <boost/test/unit_test.hpp>

namespace dogwoodrail::core::config {

BOOST_AUTO_TEST_SUITE(store_era)

BOOST_AUTO_TEST_CASE(first_era_is_no_change) {
  StoreEraTracker tracker;
  BOOST_TEST(!tracker.OnEra(StoreEra(4)).has_value());
  BOOST_TEST(tracker.era().value() == 4U);
  BOOST_TEST(!tracker.OnEra(StoreEra(4)).has_value());
}

BOOST_AUTO_TEST_CASE(later_era_is_one_change) {
  StoreEraTracker tracker;
  tracker.OnEra(StoreEra(4));
  const auto change = tracker.OnEra(StoreEra(6));
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->before.value() == 4U);
  BOOST_TEST(change->after.value() == 6U);
  BOOST_TEST(!tracker.OnEra(StoreEra(6)).has_value());
}

// Answers of two connections may overtake each other.
BOOST_AUTO_TEST_CASE(late_answer_of_an_older_era_is_no_change) {
  StoreEraTracker tracker;
  tracker.OnEra(StoreEra(4));
  tracker.OnEra(StoreEra(5));
  BOOST_TEST(!tracker.OnEra(StoreEra(4)).has_value());
  BOOST_TEST(!tracker.OnEra(StoreEra()).has_value());
  BOOST_TEST(tracker.era().value() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::config
