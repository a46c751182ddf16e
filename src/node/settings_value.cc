#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <sstream>
#include <type_traits>

#include "node/settings_table.h"
#include "wire/address_func.h"

namespace dogwoodrail::node {
namespace {

using core::base::Duration;
using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;

constexpr std::size_t kMaxNameLength = 64;

// A unit of time; kTimeUnits lists them from the largest.
struct TimeUnit {
  const char* name;
  std::int64_t microseconds;
};

constexpr std::array<TimeUnit, 4> kTimeUnits = {{
    {"min", 60'000'000},
    {"s", 1'000'000},
    {"ms", 1'000},
    {"us", 1},
}};

tl::unexpected<core::base::Error> InvalidValue(std::string why) {
  return MakeError(ErrorCode::kInvalidArgument, std::move(why));
}

// Parses an unsigned integer that spans the entire text.
bool ParseWhole(const std::string& text, std::uint64_t& n) {
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, n);
  return ec == std::errc() && stop == end && !text.empty();
}

bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '-' || c == '.';
  });
}

// Splits at commas and trims spaces around the parts.
std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    const auto first = part.find_first_not_of(' ');
    const auto last = part.find_last_not_of(' ');
    parts.push_back(first == std::string::npos
                        ? std::string()
                        : part.substr(first, last - first + 1));
  }
  return parts;
}

std::string JoinList(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& it : parts) text += (text.empty() ? "" : ", ") + it;
  return text;
}

std::string FormatNumber(double n) {
  std::ostringstream out;
  out << n;
  return out.str();
}

// Rejects port 0: other processes could not know a port that the system picks.
Result<void> CheckEndpoint(const std::string& text) {
  const auto endpoint = wire::ParseIpPort(text);
  if (endpoint && endpoint->port != 0) return {};
  return InvalidValue("not an IP address with a port of 1 to 65535");
}

bool IsOneOf(const std::string& text, const std::vector<std::string>& choices) {
  return std::find(choices.begin(), choices.end(), text) != choices.end();
}

// Parses a value of each kind and stores it in the settings.
struct Applier {
  const std::string& value;
  Settings& settings;

  Result<void> operator()(const TimeSetting& kind) const {
    const auto time = ParseTime(value);
    if (!time) return tl::make_unexpected(time.error());
    if (*time < kind.min || *time > kind.max) {
      return InvalidValue("out of range");
    }
    kind.set(settings, *time);
    return {};
  }

  Result<void> operator()(const CountSetting& kind) const {
    std::uint64_t n = 0;
    if (!ParseWhole(value, n)) return InvalidValue("not a whole number");
    if (n < kind.min || n > kind.max) return InvalidValue("out of range");
    kind.set(settings, n);
    return {};
  }

  Result<void> operator()(const NumberSetting& kind) const {
    double n = 0;
    const char* end = value.data() + value.size();
    const auto [stop, ec] = std::from_chars(value.data(), end, n);
    if (ec != std::errc() || stop != end || !std::isfinite(n)) {
      return InvalidValue("not a number");
    }
    if (n < kind.min || n > kind.max) return InvalidValue("out of range");
    kind.access(settings) = n;
    return {};
  }

  Result<void> operator()(const FlagSetting& kind) const {
    if (value != "true" && value != "false") {
      return InvalidValue("not a boolean");
    }
    kind.access(settings) = value == "true";
    return {};
  }

  Result<void> operator()(const EndpointSetting& kind) const {
    if (auto result = CheckEndpoint(value); !result) return result;
    kind.access(settings) = value;
    return {};
  }

  Result<void> operator()(const EndpointListSetting& kind) const {
    std::vector<core::base::NodeAddress> addresses;
    for (const std::string& it : SplitList(value)) {
      if (auto result = CheckEndpoint(it); !result) return result;
      addresses.emplace_back(it);
    }
    kind.access(settings) = std::move(addresses);
    return {};
  }

  Result<void> operator()(const NameSetting& kind) const {
    if (!IsName(value)) return InvalidValue("not a name");
    kind.set(settings, value);
    return {};
  }

  Result<void> operator()(const ChoiceSetting& kind) const {
    if (!IsOneOf(value, kind.choices)) return InvalidValue("unknown word");
    kind.access(settings) = value;
    return {};
  }

  Result<void> operator()(const ChoiceListSetting& kind) const {
    std::vector<std::string> words = SplitList(value);
    for (const std::string& it : words) {
      if (!IsOneOf(it, kind.choices)) return InvalidValue("unknown word " + it);
    }
    kind.access(settings) = std::move(words);
    return {};
  }

  Result<void> operator()(const TextSetting& kind) const {
    kind.access(settings) = value;
    return {};
  }
};

// Formats a value of each kind. The accessors take non-const settings, so
// callers pass a copy.
struct Formatter {
  Settings& settings;

  std::string operator()(const TimeSetting& kind) const {
    return FormatTime(kind.get(settings));
  }
  std::string operator()(const CountSetting& kind) const {
    return std::to_string(kind.get(settings));
  }
  std::string operator()(const NumberSetting& kind) const {
    return FormatNumber(kind.access(settings));
  }
  std::string operator()(const FlagSetting& kind) const {
    return kind.access(settings) ? "true" : "false";
  }
  std::string operator()(const EndpointSetting& kind) const {
    return kind.access(settings);
  }
  std::string operator()(const EndpointListSetting& kind) const {
    std::vector<std::string> parts;
    for (const auto& it : kind.access(settings)) parts.push_back(it.value());
    return JoinList(parts);
  }
  std::string operator()(const NameSetting& kind) const {
    return kind.get(settings);
  }
  std::string operator()(const ChoiceSetting& kind) const {
    return kind.access(settings);
  }
  std::string operator()(const ChoiceListSetting& kind) const {
    return JoinList(kind.access(settings));
  }
  std::string operator()(const TextSetting& kind) const {
    return kind.access(settings);
  }
};

template <typename T, typename = void>
struct HasGet : std::false_type {};
template <typename T>
struct HasGet<T, std::void_t<decltype(&T::get)>> : std::true_type {};

// Compares a value of each kind. The accessors take non-const settings, so
// callers pass copies.
struct Comparer {
  Settings& a;
  Settings& b;

  template <typename T>
  bool operator()(const T& kind) const {
    if constexpr (HasGet<T>::value) {
      return kind.get(a) == kind.get(b);
    } else {
      return kind.access(a) == kind.access(b);
    }
  }
};

// Copies a value of each kind.
struct Copier {
  Settings& from;
  Settings& to;

  template <typename T>
  void operator()(const T& kind) const {
    if constexpr (HasGet<T>::value) {
      kind.set(to, kind.get(from));
    } else {
      kind.access(to) = kind.access(from);
    }
  }
};

// Describes the allowed values of each kind.
struct Describer {
  std::string operator()(const TimeSetting& kind) const {
    return "time from " + FormatTime(kind.min) + " to " + FormatTime(kind.max) +
           " with its unit (us, ms, s, min)";
  }
  std::string operator()(const CountSetting& kind) const {
    return "whole number from " + std::to_string(kind.min) + " to " +
           std::to_string(kind.max);
  }
  std::string operator()(const NumberSetting& kind) const {
    return "number from " + FormatNumber(kind.min) + " to " +
           FormatNumber(kind.max);
  }
  std::string operator()(const FlagSetting& /*kind*/) const {
    return "true or false";
  }
  std::string operator()(const EndpointSetting& /*kind*/) const {
    return "IP:port, by IP number";
  }
  std::string operator()(const EndpointListSetting& /*kind*/) const {
    return "list of IP:port, parted by commas";
  }
  std::string operator()(const NameSetting& /*kind*/) const {
    return "1 to 64 characters of a-z, 0-9, '_', '-' and '.'";
  }
  std::string operator()(const ChoiceSetting& kind) const {
    return "one of " + JoinList(kind.choices);
  }
  std::string operator()(const ChoiceListSetting& kind) const {
    return "any of " + JoinList(kind.choices) + ", parted by commas";
  }
  std::string operator()(const TextSetting& /*kind*/) const { return "text"; }
};

}  // namespace

Result<void> ApplySetting(const SettingRow& row, const std::string& value,
                          Settings& settings) {
  return std::visit(Applier{value, settings}, row.kind);
}

std::string FormatSetting(const SettingRow& row, const Settings& settings) {
  Settings copy = settings;
  return std::visit(Formatter{copy}, row.kind);
}

bool IsSettingEqual(const SettingRow& row, const Settings& a,
                    const Settings& b) {
  Settings copy_a = a;
  Settings copy_b = b;
  return std::visit(Comparer{copy_a, copy_b}, row.kind);
}

void CopySetting(const SettingRow& row, const Settings& from, Settings& to) {
  Settings copy = from;
  std::visit(Copier{copy, to}, row.kind);
}

std::string AllowedValues(const SettingRow& row) {
  return std::visit(Describer{}, row.kind);
}

Result<Duration> ParseTime(const std::string& text) {
  const std::size_t digits =
      std::min(text.find_first_not_of("0123456789"), text.size());
  std::uint64_t n = 0;
  if (!ParseWhole(text.substr(0, digits), n)) return InvalidValue("not a time");
  const std::string unit = text.substr(digits);
  if (unit.empty()) return InvalidValue("the unit is missing");
  for (const TimeUnit& it : kTimeUnits) {
    if (unit != it.name) continue;
    const auto limit = std::numeric_limits<std::int64_t>::max();
    if (n > static_cast<std::uint64_t>(limit / it.microseconds)) {
      return InvalidValue("out of range");
    }
    return Duration(static_cast<std::int64_t>(n) * it.microseconds);
  }
  return InvalidValue("unknown unit '" + unit + "'");
}

std::string FormatTime(Duration time) {
  for (const TimeUnit& it : kTimeUnits) {
    if (time.count() != 0 && time.count() % it.microseconds == 0) {
      return std::to_string(time.count() / it.microseconds) + it.name;
    }
  }
  return "0s";
}

}  // namespace dogwoodrail::node
