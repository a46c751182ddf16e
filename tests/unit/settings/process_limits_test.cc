// Limits of the process from the command line.
#include "node/process_limits.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace dogwoodrail::node {
namespace {

namespace data = boost::unit_test::data;
using core::stop::StopSettings;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the steps of a shutdown of a process that is killed after a time.
StopSettings StepsWithin(const std::string& kill_after_s) {
  Settings settings;
  settings.shutdown.steps.leave_after = seconds(2);
  settings.shutdown.steps.idle_grace = milliseconds(2200);
  settings.shutdown.steps.serve_grace = milliseconds(500);
  const auto limits = ParseProcessLimits(kill_after_s, "");
  BOOST_REQUIRE(limits.has_value());
  return WithLimits(settings, *limits).shutdown.steps;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(process_limits)

BOOST_AUTO_TEST_CASE(no_limit_leaves_the_settings) {
  BOOST_CHECK(StepsWithin("").deadline == StopSettings().deadline);
}

BOOST_AUTO_TEST_CASE(shutdown_ends_before_the_process_is_killed) {
  BOOST_CHECK(StepsWithin("6").deadline == milliseconds(5500));
  BOOST_CHECK(StepsWithin("10.0").deadline == milliseconds(9500));
  BOOST_CHECK(StepsWithin("3").deadline == milliseconds(2750));
}

BOOST_AUTO_TEST_CASE(steps_keep_their_times_if_there_is_time) {
  for (const char* kill_after_s : {"6", "10"}) {
    const StopSettings steps = StepsWithin(kill_after_s);
    BOOST_CHECK(steps.leave_after == seconds(2));
    BOOST_CHECK(steps.idle_grace == milliseconds(2200));
    BOOST_CHECK(steps.serve_grace == milliseconds(500));
  }
}

BOOST_AUTO_TEST_CASE(steps_fit_into_a_short_time) {
  const StopSettings steps = StepsWithin("1.2");
  BOOST_CHECK(steps.deadline == milliseconds(1100));
  BOOST_CHECK(steps.leave_after + steps.serve_grace < steps.deadline);
  BOOST_CHECK(steps.idle_grace * 3 / 2 < steps.deadline);
}

BOOST_DATA_TEST_CASE(invalid_limit_is_an_error,
                     data::make({"0", "-1", "x", "6s", "1e9", "nan", "inf",
                                 " 6"})) {
  BOOST_TEST(!ParseProcessLimits(sample, "").has_value());
  BOOST_TEST(!ParseProcessLimits("", sample).has_value());
}

BOOST_AUTO_TEST_CASE(memory_goes_before_the_settings) {
  const auto none = ParseProcessLimits("", "");
  BOOST_REQUIRE(none.has_value());
  BOOST_TEST(WithLimits(Settings(), *none).identity.memory_bytes ==
             Settings().identity.memory_bytes);
  const auto some = ParseProcessLimits("", "160");
  BOOST_REQUIRE(some.has_value());
  BOOST_TEST(WithLimits(Settings(), *some).identity.memory_bytes ==
             160'000'000U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::node
