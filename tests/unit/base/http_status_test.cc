// Kinds of status codes.
#include "core/base/http_status.h"

#include <boost/test/unit_test.hpp>

namespace dogwoodrail::core::base {

BOOST_AUTO_TEST_SUITE(http_status)

BOOST_AUTO_TEST_CASE(only_interim_and_final_codes_are_responses) {
  for (const int it : {200, 204, 304, 421, 503, 599}) {
    BOOST_TEST((KindOfStatus(it) == StatusKind::kFinal));
  }
  for (const int it : {100, 102, 103, 199}) {
    BOOST_TEST((KindOfStatus(it) == StatusKind::kInterim));
  }
  for (const int it : {-1, 0, 1, 99, 101, 600, 999, 1000}) {
    BOOST_TEST((KindOfStatus(it) == StatusKind::kInvalid));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::core::base
