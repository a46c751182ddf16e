// Crashes of a node as an object of the store.
#include "platform/crash_codec.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

namespace dogwoodrail::platform {
namespace {

namespace data = boost::unit_test::data;
namespace poison = core::poison;
using core::base::Incarnation;
using std::chrono::milliseconds;

constexpr std::uint64_t kLargest = ~std::uint64_t{0};

poison::StoredCrashes MakeCrashes() {
  poison::StoredCrash record;
  record.id = {Incarnation(kLargest), 7};
  record.ended_at = core::base::WallTime(milliseconds(1'796'688'953'196));
  record.entries = {{{1, kLargest}, milliseconds(120), true},
                    {{kLargest, 2}, milliseconds(0), false}};
  record.cleared = 2;
  poison::StoredCrashes crashes;
  crashes.observer = core::base::NodeAddress("10.0.0.1:7000");
  crashes.records = {record};
  crashes.cleared = {{{Incarnation(5), 1}, 3}};
  return crashes;
}

// Returns a spec whose only record has one field replaced by a JSON text.
Json MakeOddRecord(const std::string& field, const std::string& value) {
  Json spec = EncodeStoredCrashes(MakeCrashes());
  spec["records"][0][field] = *ParseBody(value);
  return spec;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(crash_codec)

BOOST_AUTO_TEST_CASE(round_trip) {
  const poison::StoredCrashes crashes = MakeCrashes();
  const auto text = FormatBody(EncodeStoredCrashes(crashes));
  const auto read = DecodeStoredCrashes(*ParseBody(text));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->observer.value() == "10.0.0.1:7000");
  BOOST_TEST((read->records == crashes.records));
  BOOST_REQUIRE(read->cleared.size() == 1U);
  BOOST_TEST((read->cleared[0].id == crashes.cleared[0].id));
  BOOST_TEST(read->cleared[0].cleared == 3U);
}

// Another writer may leave anything.
BOOST_DATA_TEST_CASE(odd_spec_is_refused,
                     data::make({"7", "[]", "{}", "null",
                                 R"({"peer":"x","records":[],"cleared":[]})",
                                 R"({"peer":"1.2.3.4:5","records":[]})",
                                 R"({"peer":"1.2.3.4:5","records":[7],)"
                                 R"("cleared":[]})",
                                 R"({"peer":"1.2.3.4:5","records":[],)"
                                 R"("cleared":[{"number":1}]})"})) {
  BOOST_TEST(!DecodeStoredCrashes(*ParseBody(sample)).has_value());
}

BOOST_DATA_TEST_CASE(
    odd_record_is_refused,
    data::make({"observer", "observer", "number", "ended_ms", "ended_ms",
                "ended_ms", "cleared_mask", "requests", "requests",
                "requests"}) ^
        data::make({"7", "\"f\"", "-1", "-1", "18446744073709551615", "1e300",
                    "1.5", "[]", "{}",
                    R"([{"fingerprint":"x","run_ms":1,"isolated":true}])"}),
    field, value) {
  BOOST_TEST(!DecodeStoredCrashes(MakeOddRecord(field, value)).has_value());
}

BOOST_AUTO_TEST_CASE(list_that_is_too_long_is_refused) {
  Json spec = EncodeStoredCrashes(MakeCrashes());
  const Json entry = spec["records"][0]["requests"][0];
  for (std::size_t it = 0; it < poison::kMaxCrashEntries; ++it) {
    spec["records"][0]["requests"].push_back(entry);
  }
  BOOST_TEST(!DecodeStoredCrashes(spec).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::platform
