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

constexpr std::chrono::seconds kNodeTimeout{5};
constexpr unsigned kOk = 200;
constexpr std::size_t kMaxPages = 1000;

// Event of one node, for the merged time line.
struct FleetEvent {
  std::string node;
  node::LoggedEvent logged;
};

// Reads one path of a node's operator endpoint.
Result<std::string> Fetch(const std::string& address, const std::string& path,
                          const std::string& query) {
  const auto endpoint = wire::ParseIpPort(address);
  if (!endpoint) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "--nodes: '" + address + "' is not IP:port");
  }
  objectapi::HttpRequest call;
  call.path = path;
  call.query = query;
  const auto answer =
      objectapi::ExchangeOnce(endpoint->ip, endpoint->port, call, kNodeTimeout);
  if (!answer) {
    return MakeError(ErrorCode::kUnavailable,
                     address + ": " + answer.error().detail);
  }
  if (answer->status != kOk) {
    return MakeError(ErrorCode::kUnavailable,
                     address + ": answered " + std::to_string(answer->status));
  }
  return answer->body;
}

// The worse of two exit codes: bad input before what did not answer.
int Worse(int a, int b) { return std::max(a, b); }

int NeedNodes() {
  return PrintError({ErrorCode::kInvalidArgument,
                     "--nodes IP:PORT,... names the operator endpoints"});
}

// Prints a JSON value as indented "name: value" lines.
void PrintNode(const json::JsonNode& node, int depth) {
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
    PrintNode(it, depth + 1);
  }
}

Result<node::EventQuery> MakeQuery(const CommandFlags& flags) {
  node::EventQuery query;
  query.request = core::base::RequestId(flags.request);
  query.account = core::base::AccountName(flags.account);
  if (flags.event.empty()) return query;
  std::uint16_t n = 0;
  const char* end = flags.event.data() + flags.event.size();
  const auto [stop, ec] = std::from_chars(flags.event.data(), end, n);
  if (ec != std::errc() || stop != end) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "--event must be a number of docs/EVENTS.md");
  }
  query.number = n;
  return query;
}

// Reads the time line of one node, page by page.
Result<void> ReadNode(const std::string& address, node::EventQuery query,
                      std::vector<FleetEvent>& events) {
  for (std::size_t page = 0; page < kMaxPages; ++page) {
    const auto text =
        Fetch(address, "/v1/timeline", node::FormatEventQuery(query));
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

void PrintEvents(const std::vector<FleetEvent>& events, bool as_json) {
  for (const FleetEvent& it : events) {
    if (!as_json) {
      std::cout << FormatWallTime(it.logged.time) << " " << it.node << " "
                << node::FormatEvent(it.logged.event) << "\n";
      continue;
    }
    node::Timeline line;
    line.node = core::base::NodeAddress(it.node);
    line.events = {it.logged};
    std::cout << node::EncodeTimeline(line) << "\n";
  }
}

}  // namespace

int StatusCommand(const CommandFlags& flags) {
  if (flags.nodes.empty()) return NeedNodes();
  int exit_code = kExitOk;
  for (const std::string& it : flags.nodes) {
    const auto text = Fetch(it, "/v1/status", "");
    if (!text) {
      exit_code = Worse(exit_code, PrintError(text.error()));
      continue;
    }
    const auto node = json::ParseJson(*text);
    if (!node) {
      exit_code = Worse(exit_code, PrintError(node.error()));
    } else if (flags.json) {
      std::cout << json::WriteJson(*node) << "\n";
    } else {
      std::cout << it << "\n";
      PrintNode(*node, 1);
    }
  }
  return exit_code;
}

// Events of one millisecond keep the order of their node.
int TimelineCommand(const CommandFlags& flags) {
  if (flags.nodes.empty()) return NeedNodes();
  const auto query = MakeQuery(flags);
  if (!query) return PrintError(query.error());
  int exit_code = kExitOk;
  std::vector<FleetEvent> events;
  for (const std::string& it : flags.nodes) {
    const auto result = ReadNode(it, *query, events);
    if (!result) exit_code = Worse(exit_code, PrintError(result.error()));
  }
  std::stable_sort(events.begin(), events.end(),
                   [](const FleetEvent& a, const FleetEvent& b) {
                     return a.logged.time < b.logged.time;
                   });
  PrintEvents(events, flags.json);
  return exit_code;
}

}  // namespace dogwoodrail::command
