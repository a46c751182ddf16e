#include <algorithm>
#include <charconv>
#include <chrono>
#include <ctime>
#include <iostream>
#include <utility>

#include "command/command_func.h"
#include "command/exit_code.h"
#include "json/json_reader.h"
#include "json/json_writer.h"
#include "node/timeline_codec.h"
#include "objectapi/http_exchange.h"
#include "wire/address_func.h"

namespace dogwoodrail::command {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;

constexpr std::chrono::seconds kRequestTimeout{5};
constexpr unsigned kHttpOk = 200;
constexpr std::size_t kMaxPages = 1000;

// An event and the node that logged it, for the merged timeline.
struct NodeEvent {
  std::string node;
  node::LoggedEvent entry;
};

// Sends a GET request to a node's operator endpoint; returns the body.
Result<std::string> FetchFromNode(const std::string& address,
                                  const std::string& path,
                                  const std::string& query) {
  const auto endpoint = wire::ParseIpPort(address);
  if (!endpoint) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "--nodes: '" + address + "' is not IP:port");
  }
  objectapi::HttpRequest request;
  request.path = path;
  request.query = query;
  const auto response = objectapi::ExchangeOnce(endpoint->ip, endpoint->port,
                                                request, kRequestTimeout);
  if (!response) {
    return MakeError(ErrorCode::kUnavailable,
                     address + ": " + response.error().detail);
  }
  if (response->status != kHttpOk) {
    return MakeError(
        ErrorCode::kUnavailable,
        address + ": answered " + std::to_string(response->status));
  }
  return response->body;
}

// Returns the higher exit code: bad input (2) outranks an unreachable node (1).
int WorseExitCode(int a, int b) { return std::max(a, b); }

int PrintMissingNodes() {
  return PrintError({ErrorCode::kInvalidArgument,
                     "--nodes IP:PORT,... names the operator endpoints"});
}

// Prints the members of a JSON value as indented "name: value" lines.
void PrintJson(const json::JsonNode& node, int depth) {
  const std::string indent(static_cast<std::size_t>(depth) * 2, ' ');
  for (const json::JsonNode& it : node) {
    const std::string name = it.name().empty() ? "-" : it.name() + ":";
    if (it.category() == json::JsonNode::Value) {
      std::string text;
      if (!it.isNull()) it.getValue(text);
      std::cout << indent << name << " " << text << "\n";
      continue;
    }
    std::cout << indent << name << "\n";
    PrintJson(it, depth + 1);
  }
}

Result<node::EventQuery> ParseEventQuery(const CommandFlags& flags) {
  node::EventQuery query;
  query.request = core::base::RequestId(flags.request);
  query.account = core::base::AccountName(flags.account);
  if (flags.event.empty()) return query;
  std::uint16_t number = 0;
  const char* end = flags.event.data() + flags.event.size();
  const auto [stop, ec] = std::from_chars(flags.event.data(), end, number);
  if (ec != std::errc() || stop != end) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "--event must be a number of docs/EVENTS.md");
  }
  query.number = number;
  return query;
}

// Appends the events of one node's timeline, which is read page by page.
Result<void> ReadTimeline(const std::string& address, node::EventQuery query,
                          std::vector<NodeEvent>& events) {
  for (std::size_t page = 0; page < kMaxPages; ++page) {
    const auto text =
        FetchFromNode(address, "/v1/timeline", node::FormatEventQuery(query));
    if (!text) return tl::make_unexpected(text.error());
    auto timeline = node::DecodeTimeline(*text);
    if (!timeline) {
      return MakeError(ErrorCode::kCorrupt,
                       address + ": " + timeline.error().detail);
    }
    if (timeline->events.empty()) return {};
    query.after = timeline->events.back().sequence;
    for (node::LoggedEvent& it : timeline->events) {
      events.push_back({timeline->node.value(), std::move(it)});
    }
  }
  return MakeError(ErrorCode::kUnavailable, address + ": events never end");
}

std::string FormatWallTime(core::base::WallTime time) {
  constexpr std::size_t kTextBytes = 32;
  const std::int64_t ms = time.time_since_epoch().count();
  const std::time_t seconds = ms / 1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char day[kTextBytes];
  char text[2 * kTextBytes];
  std::strftime(day, sizeof(day), "%Y-%m-%dT%H:%M:%S", &utc);
  std::snprintf(text, sizeof(text), "%s.%03dZ", day,
                static_cast<int>(ms % 1000));
  return text;
}

void PrintEvents(const std::vector<NodeEvent>& events, bool as_json) {
  for (const NodeEvent& it : events) {
    if (!as_json) {
      std::cout << FormatWallTime(it.entry.time) << " " << it.node << " "
                << node::FormatEvent(it.entry.event) << "\n";
      continue;
    }
    node::Timeline line;
    line.node = core::base::NodeAddress(it.node);
    line.events = {it.entry};
    std::cout << node::EncodeTimeline(line) << "\n";
  }
}

}  // namespace

int StatusCommand(const CommandFlags& flags) {
  if (flags.nodes.empty()) return PrintMissingNodes();
  int exit_code = kExitOk;
  for (const std::string& it : flags.nodes) {
    const auto text = FetchFromNode(it, "/v1/status", "");
    if (!text) {
      exit_code = WorseExitCode(exit_code, PrintError(text.error()));
      continue;
    }
    const auto node = json::ParseJson(*text);
    if (!node) {
      exit_code = WorseExitCode(exit_code, PrintError(node.error()));
    } else if (flags.json) {
      std::cout << json::WriteJson(*node) << "\n";
    } else {
      std::cout << it << "\n";
      PrintJson(*node, 1);
    }
  }
  return exit_code;
}

// The sort is stable, so events of one node with the same timestamp keep their
// order.
int TimelineCommand(const CommandFlags& flags) {
  if (flags.nodes.empty()) return PrintMissingNodes();
  const auto query = ParseEventQuery(flags);
  if (!query) return PrintError(query.error());
  int exit_code = kExitOk;
  std::vector<NodeEvent> events;
  for (const std::string& it : flags.nodes) {
    const auto result = ReadTimeline(it, *query, events);
    if (!result) {
      exit_code = WorseExitCode(exit_code, PrintError(result.error()));
    }
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const NodeEvent& a, const NodeEvent& b) {
                     return a.entry.time < b.entry.time;
                   });
  PrintEvents(events, flags.json);
  return exit_code;
}

}  // namespace dogwoodrail::command
