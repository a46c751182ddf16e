#include "node/timeline_codec.h"

#include <charconv>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

#include "json/json_reader.h"
#include "json/json_writer.h"

namespace dogwoodrail::node {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxTime = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxNumber = std::numeric_limits<std::uint16_t>::max();

Result<LoggedEvent> ReadEvent(const json::JsonNode& node) {
  json::JsonReader in(node, "event");
  LoggedEvent logged;
  logged.sequence = in.Number("sequence", kMaxUint64);
  logged.time = core::base::WallTime(core::base::WallTime::duration(
      static_cast<std::int64_t>(in.Number("time_ms", kMaxTime))));
  logged.event.number =
      static_cast<core::base::EventNumber>(in.Number("number", kMaxNumber));
  in.String("name");
  logged.event.request = core::base::RequestId(in.String("request"));
  logged.event.account = core::base::AccountName(in.String("account"));
  logged.event.detail = in.String("detail");
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  return logged;
}

// Parses an unsigned integer of at most `max` that spans the entire text.
bool ParseWhole(const std::string& text, std::uint64_t max, std::uint64_t& n) {
  const char* end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, n);
  return ec == std::errc() && stop == end && n <= max;
}

// Parses one "name=value" parameter of a query; false if it is invalid.
bool ParseQueryParameter(const std::string& name, const std::string& value,
                         EventQuery& query) {
  std::uint64_t n = 0;
  if (name == "request") {
    query.request = core::base::RequestId(value);
    return true;
  }
  if (name == "account") {
    query.account = core::base::AccountName(value);
    return true;
  }
  if (name == "after") return ParseWhole(value, kMaxUint64, query.after);
  if (name != "event" || !ParseWhole(value, kMaxNumber, n)) return false;
  query.number = static_cast<std::uint16_t>(n);
  return true;
}

}  // namespace

std::string EncodeTimeline(const Timeline& timeline) {
  json::JsonNode node = json::MakeObject();
  node.addValue("node", timeline.node.value());
  json::JsonNode& rows = json::AddArray(node, "events");
  for (const LoggedEvent& it : timeline.events) {
    const auto number = static_cast<std::uint16_t>(it.event.number);
    const core::base::EventSpec* spec = core::base::FindEvent(number);
    json::JsonNode& row = json::AddObject(rows);
    row.addValue("sequence", it.sequence);
    row.addValue("time_ms",
                 static_cast<std::int64_t>(it.time.time_since_epoch().count()));
    row.addValue("number", number);
    row.addValue("name",
                 spec == nullptr ? std::string() : std::string(spec->name));
    row.addValue("request", it.event.request.value());
    row.addValue("account", it.event.account.value());
    row.addValue("detail", Printable(it.event.detail));
  }
  return json::WriteJson(node);
}

Result<Timeline> DecodeTimeline(const std::string& text) {
  const auto node = json::ParseJson(text);
  if (!node) return MakeError(ErrorCode::kCorrupt, node.error().detail);
  json::JsonReader in(*node, "time line");
  Timeline timeline;
  timeline.node = core::base::NodeAddress(in.String("node"));
  for (const json::JsonNode* it : in.Array("events")) {
    auto event = ReadEvent(*it);
    if (!event) return MakeError(ErrorCode::kCorrupt, event.error().detail);
    timeline.events.push_back(std::move(*event));
  }
  if (auto result = in.Finish(); !result) {
    return MakeError(ErrorCode::kCorrupt, result.error().detail);
  }
  return timeline;
}

Result<EventQuery> ParseEventQuery(const std::string& query) {
  EventQuery result;
  std::set<std::string> seen;
  std::istringstream in(query);
  for (std::string field; std::getline(in, field, '&');) {
    const std::string name = field.substr(0, field.find('='));
    const std::string value =
        name.size() == field.size() ? "" : field.substr(name.size() + 1);
    if (!seen.insert(name).second ||
        !ParseQueryParameter(name, value, result)) {
      return MakeError(ErrorCode::kInvalidArgument,
                       "allowed are after, request, account and event, each "
                       "once; after and event are numbers");
    }
  }
  return result;
}

std::string FormatEventQuery(const EventQuery& query) {
  std::string text = "after=" + std::to_string(query.after);
  if (!query.request.empty()) text += "&request=" + query.request.value();
  if (!query.account.empty()) text += "&account=" + query.account.value();
  if (query.number) text += "&event=" + std::to_string(*query.number);
  return text;
}

}  // namespace dogwoodrail::node
