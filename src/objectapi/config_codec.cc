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

// Entries of a ticket or of a whole state.
struct Entries {
  std::vector<Account> accounts;
  std::vector<KeyEntry> keys;
  std::vector<Route> routes;
};

std::uint32_t Uint32(JsonReader& in, const char* name) {
  return static_cast<std::uint32_t>(in.Number(name, kMaxUint32));
}

EntryState ReadEntryState(JsonReader& in) {
  return in.Choice("state", {"active", "removed"}) == 0 ? EntryState::kActive
                                                        : EntryState::kRemoved;
}

// An entry that is removed needs no more than its name.
bool IsFieldWanted(const JsonReader& in, EntryState state, const char* name) {
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
  if (IsFieldWanted(in, account.state, "rate_per_s")) {
    account.rate_per_s = Uint32(in, "rate_per_s");
  }
  if (IsFieldWanted(in, account.state, "burst")) {
    account.burst = Uint32(in, "burst");
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
  share.weight = Uint32(in, "weight");
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  return share;
}

// Reads the services that a route's requests are shared among.
void ReadSplit(JsonReader& in, Route& route) {
  for (const JsonNode* node : in.Array("split")) {
    const Result<ServiceShare> share = ReadServiceShare(*node);
    if (!share) return in.Fail("split: " + share.error().detail);
    route.split.push_back(*share);
  }
}

// Reads the fields of a route that stays.
void ReadRoutePolicy(JsonReader& in, Route& route) {
  route.path_prefix = in.String("path_prefix");
  route.service = core::base::ServiceName(in.String("service"));
  route.importance = ReadImportance(in);
  route.idempotent = in.Bool("idempotent");
  route.open_to_all = in.Bool("open_to_all");
  route.max_attempts = Uint32(in, "max_attempts");
  route.retry_percent = Uint32(in, "retry_percent");
  route.timeout = std::chrono::milliseconds(Uint32(in, "timeout_ms"));
  if (in.Has("host")) route.host = in.String("host");
  if (in.Has("latency_objective_ms")) {
    route.latency_objective =
        std::chrono::milliseconds(Uint32(in, "latency_objective_ms"));
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

// Reads one array of entries; a failure goes to the reader of the object.
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
std::vector<typename Table::mapped_type> Rows(const Table& table) {
  std::vector<typename Table::mapped_type> rows;
  rows.reserve(table.size());
  for (const auto& [name, row] : table) rows.push_back(row);
  return rows;
}

// Reads the tables of a state that has the number of its last ticket.
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

// What was stored by a node or by the operator's tool can only be unreadable by
// damage or by another version.
tl::unexpected<core::base::Error> Corrupt(const std::string& what,
                                          const core::base::Error& error) {
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
  if (!node) return Corrupt("stored ticket", node.error());
  Result<Ticket> ticket = ReadTicket(*node);
  if (!ticket) return Corrupt("stored ticket", ticket.error());
  return ticket;
}

std::string EncodeHead(const ConfigHead& head) {
  JsonNode node = json::MakeObject();
  node.addValue("number", head.state.number().value());
  WriteTicket(json::AddObject(node, "ticket"), head.last_ticket);
  const Entries tables = {Rows(head.state.accounts()), Rows(head.state.keys()),
                          Rows(head.state.routes())};
  WriteEntries(json::AddObject(node, "state"), tables);
  return json::WriteJson(node);
}

Result<ConfigHead> DecodeHead(const std::string& text) {
  const Result<JsonNode> node = json::ParseJson(text);
  if (!node) return Corrupt("configuration", node.error());
  JsonReader in(*node, "configuration");
  const core::base::TicketNumber number(
      in.Number("number", std::numeric_limits<std::uint64_t>::max()));
  const JsonNode* ticket_node = in.Object("ticket");
  const JsonNode* state_node = in.Object("state");
  if (auto result = in.Finish(); !result) {
    return Corrupt("configuration", result.error());
  }
  Result<Ticket> ticket = ReadTicket(*ticket_node);
  if (!ticket) return Corrupt("configuration", ticket.error());
  if (ticket->number != number) {
    return MakeError(ErrorCode::kCorrupt,
                     "configuration: its ticket has another number");
  }
  Result<ConfigState> state = ReadState(*state_node, number);
  if (!state) return Corrupt("configuration", state.error());
  return ConfigHead{std::move(*state), std::move(*ticket)};
}

}  // namespace dogwoodrail::objectapi
