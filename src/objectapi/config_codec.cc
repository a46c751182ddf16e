#include "objectapi/config_codec.h"

#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "core/base/reason_table.h"
#include "core/config/config_cmd.h"
#include "json/json_reader.h"
#include "json/json_writer.h"

namespace dogwoodrail::objectapi {
namespace {

using core::base::ErrorCode;
using core::base::Importance;
using core::base::MakeError;
using core::base::Result;
using core::config::Account;
using core::config::ConfigState;
using core::config::EntryState;
using core::config::KeyEntry;
using core::config::KeyState;
using core::config::Route;
using core::config::ServiceShare;
using core::config::Ticket;
using json::JsonNode;
using json::JsonReader;

constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxTime = std::numeric_limits<std::int64_t>::max();

// Entries of a ticket or of a configuration state.
struct Entries {
  std::vector<Account> accounts;
  std::vector<KeyEntry> keys;
  std::vector<Route> routes;
};

std::uint32_t ReadUint32(JsonReader& in, const char* name) {
  return static_cast<std::uint32_t>(in.Number(name, kMaxUint32));
}

EntryState ReadEntryState(JsonReader& in) {
  return in.Choice("state", {"active", "removed"}) == 0 ? EntryState::kActive
                                                        : EntryState::kRemoved;
}

// The fields of an active entry are required; a removed entry needs only its
// name.
bool ShouldReadField(const JsonReader& in, EntryState state, const char* name) {
  return state == EntryState::kActive || in.Has(name);
}

Importance ReadImportance(JsonReader& in) {
  std::vector<std::string_view> names;
  for (std::size_t it = 0; it < core::base::kImportanceCount; ++it) {
    names.push_back(core::base::ImportanceText(static_cast<Importance>(it)));
  }
  return static_cast<Importance>(in.Choice("importance", names));
}

Result<Account> ReadAccount(const JsonNode& node) {
  JsonReader in(node, "account");
  Account account;
  account.name = core::base::AccountName(in.String("name"));
  account.state = ReadEntryState(in);
  if (ShouldReadField(in, account.state, "rate_per_s")) {
    account.rate_per_s = ReadUint32(in, "rate_per_s");
  }
  if (ShouldReadField(in, account.state, "burst")) {
    account.burst = ReadUint32(in, "burst");
  }
  if (in.Has("importance")) account.importance = ReadImportance(in);
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  return account;
}

Result<KeyEntry> ReadKey(const JsonNode& node) {
  JsonReader in(node, "key");
  KeyEntry key;
  key.hash = core::config::KeyHash(in.String("sha256"));
  key.account = core::base::AccountName(in.String("account"));
  key.state = in.Choice("state", {"active", "withdrawn"}) == 0
                  ? KeyState::kActive
                  : KeyState::kWithdrawn;
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  return key;
}

Result<ServiceShare> ReadServiceShare(const JsonNode& node) {
  JsonReader in(node, "share");
  ServiceShare share;
  share.service = core::base::ServiceName(in.String("service"));
  share.weight = ReadUint32(in, "weight");
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  return share;
}

// Reads the weighted services among which a route splits its requests.
void ReadSplit(JsonReader& in, Route& route) {
  for (const JsonNode* node : in.Array("split")) {
    const Result<ServiceShare> share = ReadServiceShare(*node);
    if (!share) return in.Fail("split: " + share.error().detail);
    route.split.push_back(*share);
  }
}

// Reads the fields required of an active route.
void ReadRoutePolicy(JsonReader& in, Route& route) {
  route.path_prefix = in.String("path_prefix");
  route.service = core::base::ServiceName(in.String("service"));
  route.importance = ReadImportance(in);
  route.idempotent = in.Bool("idempotent");
  route.open_to_all = in.Bool("open_to_all");
  route.max_attempts = ReadUint32(in, "max_attempts");
  route.retry_percent = ReadUint32(in, "retry_percent");
  route.timeout = std::chrono::milliseconds(ReadUint32(in, "timeout_ms"));
  if (in.Has("host")) route.host = in.String("host");
  if (in.Has("latency_objective_ms")) {
    route.latency_objective =
        std::chrono::milliseconds(ReadUint32(in, "latency_objective_ms"));
  }
  if (in.Has("split")) ReadSplit(in, route);
}

Result<Route> ReadRoute(const JsonNode& node) {
  JsonReader in(node, "route");
  Route route;
  route.name = core::base::RouteName(in.String("name"));
  route.state = ReadEntryState(in);
  if (route.state == EntryState::kActive || in.Has("path_prefix")) {
    ReadRoutePolicy(in, route);
  }
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  return route;
}

// Reads an array of entries; an error is reported through the reader of the
// enclosing object.
template <typename Entry>
void ReadArray(JsonReader& in, const char* name,
               Result<Entry> (*read)(const JsonNode&),
               std::vector<Entry>& out) {
  std::size_t n = 0;
  for (const JsonNode* node : in.Array(name)) {
    Result<Entry> entry = read(*node);
    if (!entry) {
      in.Fail(std::string(name) + "[" + std::to_string(n) +
              "]: " + entry.error().detail);
      return;
    }
    out.push_back(std::move(*entry));
    ++n;
  }
}

void ReadEntries(JsonReader& in, Entries& entries) {
  ReadArray(in, "accounts", &ReadAccount, entries.accounts);
  ReadArray(in, "keys", &ReadKey, entries.keys);
  ReadArray(in, "routes", &ReadRoute, entries.routes);
}

const char* EntryStateText(EntryState state) {
  return state == EntryState::kActive ? "active" : "removed";
}

void WriteAccount(JsonNode& array, const Account& account) {
  JsonNode& node = json::AddObject(array);
  node.addValue("name", account.name.value());
  node.addValue("rate_per_s", account.rate_per_s);
  node.addValue("burst", account.burst);
  if (account.importance) {
    node.addValue("importance",
                  std::string(core::base::ImportanceText(*account.importance)));
  }
  node.addValue("state", EntryStateText(account.state));
}

void WriteKey(JsonNode& array, const KeyEntry& key) {
  JsonNode& node = json::AddObject(array);
  node.addValue("sha256", key.hash.value());
  node.addValue("account", key.account.value());
  node.addValue("state",
                key.state == KeyState::kActive ? "active" : "withdrawn");
}

void WriteSplit(JsonNode& node, const Route& route) {
  JsonNode& shares = json::AddArray(node, "split");
  for (const ServiceShare& it : route.split) {
    JsonNode& share = json::AddObject(shares);
    share.addValue("service", it.service.value());
    share.addValue("weight", it.weight);
  }
}

void WriteRoute(JsonNode& array, const Route& route) {
  JsonNode& node = json::AddObject(array);
  node.addValue("name", route.name.value());
  node.addValue("path_prefix", route.path_prefix);
  node.addValue("service", route.service.value());
  node.addValue("importance",
                std::string(core::base::ImportanceText(route.importance)));
  node.addValue("idempotent", route.idempotent);
  node.addValue("open_to_all", route.open_to_all);
  node.addValue("max_attempts", route.max_attempts);
  node.addValue("retry_percent", route.retry_percent);
  node.addValue("timeout_ms", static_cast<std::int64_t>(route.timeout.count()));
  if (!route.host.empty()) node.addValue("host", route.host);
  if (route.latency_objective.count() > 0) {
    node.addValue("latency_objective_ms",
                  static_cast<std::int64_t>(route.latency_objective.count()));
  }
  if (!route.split.empty()) WriteSplit(node, route);
  node.addValue("state", EntryStateText(route.state));
}

void WriteEntries(JsonNode& node, const Entries& entries) {
  JsonNode& accounts = json::AddArray(node, "accounts");
  for (const Account& it : entries.accounts) WriteAccount(accounts, it);
  JsonNode& keys = json::AddArray(node, "keys");
  for (const KeyEntry& it : entries.keys) WriteKey(keys, it);
  JsonNode& routes = json::AddArray(node, "routes");
  for (const Route& it : entries.routes) WriteRoute(routes, it);
}

void WriteTicket(JsonNode& node, const Ticket& ticket) {
  node.addValue("number", ticket.number.value());
  node.addValue("id", ticket.id.value());
  node.addValue("author", ticket.author);
  node.addValue("time_ms", static_cast<std::int64_t>(
                               ticket.time.time_since_epoch().count()));
  WriteEntries(node, {ticket.accounts, ticket.keys, ticket.routes});
}

Result<Ticket> ReadTicket(const JsonNode& node) {
  JsonReader in(node, "ticket");
  Ticket ticket;
  ticket.number = core::base::TicketNumber(
      in.Number("number", std::numeric_limits<std::uint64_t>::max()));
  ticket.id = core::config::TicketId(in.String("id"));
  ticket.author = in.String("author");
  ticket.time = core::base::WallTime(core::base::WallTime::duration(
      static_cast<int64_t>(in.Number("time_ms", kMaxTime))));
  Entries entries;
  ReadEntries(in, entries);
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  ticket.accounts = std::move(entries.accounts);
  ticket.keys = std::move(entries.keys);
  ticket.routes = std::move(entries.routes);
  return ticket;
}

template <typename Table>
std::vector<typename Table::mapped_type> TableValues(const Table& table) {
  std::vector<typename Table::mapped_type> values;
  values.reserve(table.size());
  for (const auto& [key, value] : table) values.push_back(value);
  return values;
}

// Reads the tables of a state; the number is that of its last ticket.
Result<ConfigState> ReadState(const JsonNode& node,
                              core::base::TicketNumber number) {
  JsonReader in(node, "state");
  Entries entries;
  ReadEntries(in, entries);
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  return core::config::BuildState(number, entries.accounts, entries.keys,
                                  entries.routes);
}

// Stored data was valid when a node or the operator's tool wrote it, so a
// decode error means corruption or an incompatible version.
tl::unexpected<core::base::Error> MakeCorruptError(
    const std::string& what, const core::base::Error& error) {
  return MakeError(ErrorCode::kCorrupt, what + ": " + error.detail);
}

}  // namespace

Result<Ticket> DecodeTicketFile(const std::string& text) {
  const Result<JsonNode> node = json::ParseJson(text);
  if (!node) return tl::make_unexpected(node.error());
  JsonReader in(*node, "ticket");
  Entries entries;
  ReadEntries(in, entries);
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  Ticket ticket;
  ticket.accounts = std::move(entries.accounts);
  ticket.keys = std::move(entries.keys);
  ticket.routes = std::move(entries.routes);
  return ticket;
}

std::string EncodeTicket(const Ticket& ticket, bool indented) {
  JsonNode node = json::MakeObject();
  WriteTicket(node, ticket);
  return json::WriteJson(node, indented);
}

Result<Ticket> DecodeTicket(const std::string& text) {
  const Result<JsonNode> node = json::ParseJson(text);
  if (!node) return MakeCorruptError("stored ticket", node.error());
  Result<Ticket> ticket = ReadTicket(*node);
  if (!ticket) return MakeCorruptError("stored ticket", ticket.error());
  return ticket;
}

std::string EncodeHead(const ConfigHead& head) {
  JsonNode node = json::MakeObject();
  node.addValue("number", head.state.number().value());
  WriteTicket(json::AddObject(node, "ticket"), head.last_ticket);
  const Entries tables = {TableValues(head.state.accounts()),
                          TableValues(head.state.keys()),
                          TableValues(head.state.routes())};
  WriteEntries(json::AddObject(node, "state"), tables);
  return json::WriteJson(node);
}

Result<ConfigHead> DecodeHead(const std::string& text) {
  const Result<JsonNode> node = json::ParseJson(text);
  if (!node) return MakeCorruptError("configuration", node.error());
  JsonReader in(*node, "configuration");
  const core::base::TicketNumber number(
      in.Number("number", std::numeric_limits<std::uint64_t>::max()));
  const JsonNode* ticket_node = in.Object("ticket");
  const JsonNode* state_node = in.Object("state");
  if (auto result = in.Finish(); !result) {
    return MakeCorruptError("configuration", result.error());
  }
  Result<Ticket> ticket = ReadTicket(*ticket_node);
  if (!ticket) return MakeCorruptError("configuration", ticket.error());
  if (ticket->number != number) {
    return MakeError(ErrorCode::kCorrupt,
                     "configuration: its ticket has a different number");
  }
  Result<ConfigState> state = ReadState(*state_node, number);
  if (!state) return MakeCorruptError("configuration", state.error());
  return ConfigHead{std::move(*state), std::move(*ticket)};
}

}  // namespace dogwoodrail::objectapi
