#include "core/base/event_table.h"

#include <boost/test/unit_test.hpp>
#include <cctype>
#include <cstdint>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace dogwoodrail::core::base {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream in(DOGWOODRAIL_SOURCE_DIR + path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// "kRequestReceived" -> "request_received".
std::string SnakeCase(const std::string& constant) {
  std::string name;
  for (const char c : constant.substr(1)) {
    if (c >= 'A' && c <= 'Z' && !name.empty()) name += '_';
    name += static_cast<char>(std::tolower(c));
  }
  return name;
}

BOOST_AUTO_TEST_CASE(each_event_number_has_a_row) {
  const std::string source = ReadFile("/src/core/base/event_type.h");
  const std::regex pattern(R"((k\w+) = (\d+),)");
  std::size_t count = 0;
  for (std::sregex_iterator it(source.begin(), source.end(), pattern), end;
       it != end; ++it) {
    const auto number = static_cast<std::uint16_t>(std::stoi((*it)[2]));
    const EventSpec* spec = FindEvent(number);
    BOOST_TEST_CONTEXT((*it)[0]) {
      BOOST_REQUIRE(spec != nullptr);
      BOOST_TEST(spec->name == SnakeCase((*it)[1]));
      BOOST_TEST(!EventCategoryText(GetEventCategory(spec->number)).empty());
    }
    ++count;
  }
  BOOST_TEST(count == EventTable().size());
}

BOOST_AUTO_TEST_CASE(rows_are_in_ascending_order) {
  std::uint16_t last = 0;
  for (const EventSpec& it : EventTable()) {
    const auto number = static_cast<std::uint16_t>(it.number);
    BOOST_TEST(last < number);
    last = number;
  }
}

BOOST_AUTO_TEST_CASE(events_page_is_up_to_date) {
  BOOST_TEST((ReadFile("/docs/EVENTS.md") == EventsMarkdown()),
             "run: dogwoodrail events --markdown > docs/EVENTS.md");
}

}  // namespace
}  // namespace dogwoodrail::core::base
