#include "core/once/idempotency_key.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace dogwoodrail::core::once {
namespace {

BOOST_AUTO_TEST_SUITE(idempotency_key)

BOOST_AUTO_TEST_CASE(version_7_key_is_read_and_written_back) {
  const auto key = ParseIdempotencyKey("0192F5C2-8e00-7abc-8def-0123456789ab");
  BOOST_TEST_REQUIRE(key.has_value());
  BOOST_TEST(FormatIdempotencyKey(*key) ==
             "0192f5c2-8e00-7abc-8def-0123456789ab");
  BOOST_TEST(key->created().time_since_epoch().count() == 0x0192f5c28e00LL);
}

constexpr const char* kMalformed[] = {
    "",
    "0192f5c2-8e00-4abc-8def-0123456789ab",  // version 4
    "0192f5c2-8e00-7abc-cdef-0123456789ab",  // other variant
    "0192f5c28e007abc8def0123456789ab",
    "0192f5c2-8e00-7abc-8def-0123456789a",
    "0192f5c2-8e00-7abc-8def-0123456789ag",
    "0192f5c2-8e00-7abc-8def-0123456789ab ",
    "0192f5c2x8e00-7abc-8def-0123456789ab",
};

BOOST_DATA_TEST_CASE(anything_else_is_refused,
                     boost::unit_test::data::make(kMalformed), text) {
  BOOST_TEST(!ParseIdempotencyKey(text).has_value());
}

BOOST_AUTO_TEST_CASE(derived_key_is_stable_and_differs_between_calls) {
  DerivedKeySource source;
  source.root = base::RequestId{"0123"};
  source.root_received = base::WallTime{std::chrono::milliseconds{1'800'000}};
  source.route = base::RouteName{"assign"};
  source.path = "/assign/1";
  source.body_digest = 42;
  const IdempotencyKey key = DeriveIdempotencyKey(source);
  BOOST_TEST((key == DeriveIdempotencyKey(source)));
  BOOST_TEST((key.created() == source.root_received));
  BOOST_TEST(ParseIdempotencyKey(FormatIdempotencyKey(key)).has_value());
  source.path = "/assign/2";
  BOOST_TEST(!(key == DeriveIdempotencyKey(source)));
  source.path = "/assign/1";
  source.body_digest = 43;
  BOOST_TEST(!(key == DeriveIdempotencyKey(source)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::core::once
