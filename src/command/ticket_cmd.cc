#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "command/command_func.h"
#include "command/exit_code.h"
#include "core/config/config_cmd.h"
#include "json/json_writer.h"
#include "node/event_log.h"
#include "node/secret_func.h"
#include "objectapi/config_store.h"
#include "objectapi/http_object_store.h"
#include "wire/address_func.h"

namespace dogwoodrail::command {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;
using core::base::TicketNumber;
using core::config::Ticket;

constexpr std::size_t kTicketIdBytes = 16;
constexpr std::size_t kKeyBytes = 32;
constexpr const char* kKeyPrefix = "dwr_";

Result<objectapi::HttpObjectStore> OpenObjectStore(const CommandFlags& flags) {
  const auto address = wire::ParseIpPort(flags.platform);
  if (!address) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "--platform must be the IP:port of the Object API");
  }
  objectapi::HttpObjectStoreOptions options;
  options.ip = address->ip;
  options.port = address->port;
  return objectapi::HttpObjectStore(options);
}

std::string AuthorOf(const CommandFlags& flags) {
  if (!flags.author.empty()) return flags.author;
  const char* user = std::getenv("USER");
  return user == nullptr || *user == '\0' ? "unknown" : user;
}

Result<Ticket> ReadTicketFile(const std::string& file,
                              const CommandFlags& flags) {
  std::ifstream in(file);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in) {
    return MakeError(ErrorCode::kInvalidArgument, file + ": cannot be read");
  }
  auto ticket = objectapi::DecodeTicketFile(text.str());
  if (!ticket) {
    return MakeError(ErrorCode::kInvalidArgument,
                     file + ": " + ticket.error().detail);
  }
  ticket->id = core::config::TicketId(node::RandomHex(kTicketIdBytes));
  ticket->author = AuthorOf(flags);
  ticket->time = node::SystemWallTime();
  if (auto result = core::config::CheckTicketFormat(*ticket); !result) {
    return MakeError(ErrorCode::kInvalidArgument,
                     file + ": " + result.error().detail);
  }
  return ticket;
}

void PrintTicketResult(const char* word, TicketNumber number,
                       const CommandFlags& flags) {
  if (flags.json) {
    json::JsonNode node = json::MakeObject();
    node.addValue("result", word);
    node.addValue("number", number.value());
    std::cout << json::WriteJson(node) << "\n";
    return;
  }
  std::cout << "ticket " << number.value() << " " << word << "\n";
}

}  // namespace

int ApplyTicketCommand(const std::string& file, const CommandFlags& flags) {
  const auto ticket = ReadTicketFile(file, flags);
  if (!ticket) return PrintError(ticket.error());
  auto object_store = OpenObjectStore(flags);
  if (!object_store) return PrintError(object_store.error());
  objectapi::ConfigStore store(*object_store);
  const auto number =
      flags.check ? store.CheckTicket(*ticket) : store.SubmitTicket(*ticket);
  if (!number) return PrintError(number.error());
  PrintTicketResult(flags.check ? "checked" : "accepted", *number, flags);
  return kExitOk;
}

int ShowTicketCommand(const std::string& number, const CommandFlags& flags) {
  std::uint64_t ticket_number = 0;
  const char* end = number.data() + number.size();
  const auto [stop, ec] = std::from_chars(number.data(), end, ticket_number);
  if (ec != std::errc() || stop != end) {
    return PrintError(
        {ErrorCode::kInvalidArgument, "'" + number + "' is no ticket number"});
  }
  auto object_store = OpenObjectStore(flags);
  if (!object_store) return PrintError(object_store.error());
  objectapi::ConfigStore store(*object_store);
  const auto ticket = store.ReadTicket(TicketNumber(ticket_number));
  if (!ticket) return PrintError(ticket.error());
  std::cout << objectapi::EncodeTicket(*ticket, !flags.json) << "\n";
  return kExitOk;
}

int ListTicketsCommand(const CommandFlags& flags) {
  auto object_store = OpenObjectStore(flags);
  if (!object_store) return PrintError(object_store.error());
  objectapi::ConfigStore store(*object_store);
  const auto numbers = store.ListTickets();
  if (!numbers) return PrintError(numbers.error());
  json::JsonNode node = json::MakeObject();
  json::JsonNode& list = json::AddArray(node, "tickets");
  for (const TicketNumber it : *numbers) {
    if (!flags.json) std::cout << it.value() << "\n";
    list.addMember().setValue(it.value());
  }
  if (flags.json) std::cout << json::WriteJson(node) << "\n";
  return kExitOk;
}

// The key is printed to standard output and never stored; only its hash is.
int CreateKeyCommand(const CommandFlags& flags) {
  core::config::KeyEntry entry;
  entry.account = core::base::AccountName(flags.account);
  const std::string key = kKeyPrefix + node::RandomHex(kKeyBytes);
  entry.hash = node::HashKey(key);
  if (auto result = core::config::CheckKey(entry); !result) {
    return PrintError({ErrorCode::kInvalidArgument,
                       "key create needs --account with the name of a client "
                       "account"});
  }
  json::JsonNode ticket = json::MakeObject();
  json::JsonNode& row = json::AddObject(json::AddArray(ticket, "keys"));
  row.addValue("sha256", entry.hash.value());
  row.addValue("account", entry.account.value());
  row.addValue("state", "active");
  if (flags.json) {
    json::JsonNode node = json::MakeObject();
    node.addValue("key", key);
    json::JsonNode& member = json::AddObject(node, "ticket");
    member = ticket;
    member.setName("ticket");
    std::cout << json::WriteJson(node) << "\n";
  } else {
    std::cout << "key, shown only now:\n"
              << key << "\nticket for it:\n"
              << json::WriteJson(ticket, true) << "\n";
  }
  return kExitOk;
}

}  // namespace dogwoodrail::command
