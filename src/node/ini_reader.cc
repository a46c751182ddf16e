#include "node/ini_reader.h"

#include <cxxtools/char.h>
#include <cxxtools/iniparser.h>

#include <algorithm>
#include <cstddef>
#include <sstream>

namespace dogwoodrail::node {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;

// Collects the entries in file order. cxxtools::IniFile drops duplicate entries
// and line numbers, which error messages need.
class EntryCollector : public cxxtools::IniParser::Event {
 public:
  using cxxtools::IniParser::Event::onKey;
  using cxxtools::IniParser::Event::onSection;
  using cxxtools::IniParser::Event::onValue;

  // Number of the line being parsed.
  int line = 1;
  bool has_error = false;
  std::vector<IniEntry> entries;

  bool onSection(const std::string& section) override {
    section_ = section;
    return false;
  }

  bool onKey(const std::string& key) override {
    entries.push_back({section_, key, "", line});
    return false;
  }

  bool onValue(const std::string& value) override {
    entries.back().value = value;
    return false;
  }

  bool onError() override {
    has_error = true;
    return true;
  }

 private:
  std::string section_;
};

tl::unexpected<core::base::Error> MakeLineError(int line,
                                                const std::string& why) {
  return MakeError(ErrorCode::kInvalidArgument,
                   std::to_string(line) + ": " + why);
}

bool IsPrintableOrTab(char c) { return (c >= ' ' && c <= '~') || c == '\t'; }

// Validates a line before it is parsed. The parser continues an unterminated
// section or key on the next line, and a value that ends in a backslash, too.
Result<void> CheckLine(const std::string& line, int number) {
  if (!std::all_of(line.begin(), line.end(), IsPrintableOrTab)) {
    return MakeLineError(number, "non-ASCII or control character");
  }
  const std::size_t first = line.find_first_not_of(" \t");
  if (first == std::string::npos) return {};
  const std::size_t last = line.find_last_not_of(" \t");
  const char c = line[first];
  const bool section = c == '[' && line[last] == ']';
  const bool entry = c != '[' && line.find('=') != std::string::npos;
  if (c == '#' || c == ';' || section || (entry && line[last] != '\\')) {
    return {};
  }
  return MakeLineError(
      number,
      "expected \"[section]\", \"key = value\" or a comment that "
      "begins with # or ;");
}

}  // namespace

Result<std::vector<IniEntry>> ReadIni(const std::string& text) {
  EntryCollector collector;
  cxxtools::IniParser parser(collector);
  std::istringstream in(text);
  for (std::string line; std::getline(in, line); ++collector.line) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (auto result = CheckLine(line, collector.line); !result) {
      return tl::make_unexpected(result.error());
    }
    for (const char c : line) parser.parse(cxxtools::Char(c));
    parser.parse(cxxtools::Char('\n'));
    if (collector.has_error) {
      return MakeLineError(collector.line, "syntax error");
    }
  }
  parser.end();
  if (collector.has_error) {
    return MakeLineError(collector.line - 1, "syntax error");
  }
  return collector.entries;
}

}  // namespace dogwoodrail::node
