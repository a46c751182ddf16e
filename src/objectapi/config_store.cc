#include "objectapi/config_store.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "core/config/config_cmd.h"

namespace dogwoodrail::objectapi {
namespace {

using core::base::Error;
using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;
using core::base::TicketNumber;
using core::config::Ticket;

constexpr std::string_view kTicketPrefix = "ticket/";
constexpr std::size_t kTicketKeyBytes = 32;

const ObjectKey& HeadKey() {
  static const ObjectKey key("config/head");
  return key;
}

ObjectKey TicketKey(TicketNumber number) {
  char buf[kTicketKeyBytes];
  std::snprintf(buf, sizeof(buf), "ticket/%08llu",
                static_cast<unsigned long long>(number.value()));
  return ObjectKey(buf);
}

// Parses the ticket number in an object key; empty if it is not a ticket's key.
std::optional<TicketNumber> ParseTicketKey(const ObjectKey& key) {
  const std::string_view text = key.value();
  if (text.substr(0, kTicketPrefix.size()) != kTicketPrefix) return {};
  const std::string_view digits = text.substr(kTicketPrefix.size());
  std::uint64_t n = 0;
  const char* end = digits.data() + digits.size();
  const auto [stop, ec] = std::from_chars(digits.data(), end, n);
  if (ec != std::errc() || stop != end) return {};
  return TicketNumber(n);
}

Result<StoredHead> ToStoredHead(const Object& object) {
  auto head = DecodeHead(object.value);
  if (!head) return tl::make_unexpected(head.error());
  return StoredHead{std::move(*head), object.version};
}

// Returns the head that results from the ticket, or why the ticket is rejected.
Result<ConfigHead> MakeNextHead(const ConfigHead& head, Ticket ticket) {
  ticket.number = TicketNumber(head.state.number().value() + 1);
  auto state = core::config::ApplyTicket(head.state, ticket);
  if (!state) return tl::make_unexpected(state.error());
  return ConfigHead{std::move(*state), std::move(ticket)};
}

}  // namespace

ConfigStore::ConfigStore(ObjectStore& objects, ConfigStoreOptions options)
    : objects_(objects), options_(std::move(options)) {
  if (options_.pause) return;
  options_.pause = [](std::chrono::milliseconds pause) {
    std::this_thread::sleep_for(pause);
  };
}

Result<StoredHead> ConfigStore::ReadHead() {
  const auto object = objects_.Get(HeadKey());
  if (object) return ToStoredHead(*object);
  if (object.error().code == ErrorCode::kNotFound) return StoredHead();
  return tl::make_unexpected(object.error());
}

Result<std::optional<StoredHead>> ConfigStore::WatchHead(
    ObjectVersion after, std::chrono::milliseconds wait) {
  const auto object = objects_.Watch(HeadKey(), after, wait);
  if (!object) return tl::make_unexpected(object.error());
  if (!*object) return std::optional<StoredHead>();
  auto head = ToStoredHead(**object);
  if (!head) return tl::make_unexpected(head.error());
  return std::optional<StoredHead>(std::move(*head));
}

Result<TicketNumber> ConfigStore::CheckTicket(Ticket ticket) {
  const auto stored = ReadHead();
  if (!stored) return tl::make_unexpected(stored.error());
  const auto next = MakeNextHead(stored->head, std::move(ticket));
  if (!next) return tl::make_unexpected(next.error());
  return next->state.number();
}

// A ticket is archived before the next one replaces it in the head, so each
// accepted ticket can always be read from the head or from the history.
Result<TicketNumber> ConfigStore::SubmitTicket(Ticket ticket) {
  const auto stored = ReadHead();
  if (!stored) return tl::make_unexpected(stored.error());
  const auto next = MakeNextHead(stored->head, std::move(ticket));
  if (!next) return tl::make_unexpected(next.error());
  const std::string value = EncodeHead(*next);
  if (value.size() > kMaxObjectBytes) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        "the configuration would take " + std::to_string(value.size()) +
            " bytes; the limit is " + std::to_string(kMaxObjectBytes));
  }
  if (auto result = ArchiveLastTicket(stored->head); !result) {
    return MakeError(ErrorCode::kUnavailable,
                     "the ticket was not written: " + result.error().detail);
  }
  return WriteHead(*next, value, stored->version);
}

// Every operator writes the same value to this key, so a conflict means that
// the ticket is already archived and counts as success, as does a conflict on
// the retry of a write whose response was lost.
Result<void> ConfigStore::ArchiveLastTicket(const ConfigHead& head) {
  if (head.state.number() == TicketNumber(0)) return {};
  const std::string value = EncodeTicket(head.last_ticket);
  const ObjectKey key = TicketKey(head.state.number());
  Error error;
  auto pause = options_.first_pause;
  for (int it = 0; it < options_.write_attempts; ++it) {
    const auto result = objects_.PutIf(key, value, ObjectVersion(0));
    if (result || result.error().code == ErrorCode::kConflict) return {};
    error = result.error();
    if (error.code != ErrorCode::kOutcomeUnknown) break;
    options_.pause(pause);
    pause *= 2;
  }
  return tl::make_unexpected(error);
}

// A write without a response may still take effect later. Retrying with the
// same expected version resolves this: either the retry succeeds and the
// earlier write can no longer do so, or the head has changed and shows which
// ticket was accepted.
Result<TicketNumber> ConfigStore::WriteHead(const ConfigHead& next,
                                            const std::string& value,
                                            ObjectVersion expected) {
  bool maybe_written = false;
  std::string detail;
  auto pause = options_.first_pause;
  for (int it = 0; it < options_.write_attempts; ++it) {
    const auto result = objects_.PutIf(HeadKey(), value, expected);
    if (result) return next.state.number();
    detail = result.error().detail;
    if (result.error().code == ErrorCode::kConflict) {
      auto resolved = ResolveConflict(next.last_ticket);
      if (resolved || resolved.error().code == ErrorCode::kConflict) {
        return resolved;
      }
      if (!maybe_written) {
        return MakeError(ErrorCode::kConflict,
                         "another ticket took the number; this one was not "
                         "applied");
      }
    } else if (result.error().code == ErrorCode::kOutcomeUnknown) {
      maybe_written = true;
    } else if (!maybe_written) {
      return tl::make_unexpected(result.error());
    }
    options_.pause(pause);
    pause *= 2;
  }
  return MakeError(ErrorCode::kOutcomeUnknown,
                   "ticket " + std::to_string(next.state.number().value()) +
                       " with id " + next.last_ticket.id.value() +
                       " may or may not be in force: " + detail);
}

Result<TicketNumber> ConfigStore::ResolveConflict(const Ticket& ticket) {
  const auto accepted = ReadTicket(ticket.number);
  if (!accepted) return tl::make_unexpected(accepted.error());
  if (accepted->id == ticket.id) return ticket.number;
  return MakeError(ErrorCode::kConflict,
                   "number " + std::to_string(ticket.number.value()) +
                       " went to a ticket of '" + accepted->author +
                       "'; this one was not applied");
}

Result<Ticket> ConfigStore::ReadTicket(TicketNumber number) {
  const auto stored = ReadHead();
  if (!stored) return tl::make_unexpected(stored.error());
  const TicketNumber last = stored->head.state.number();
  if (number == TicketNumber(0) || last < number) {
    return MakeError(ErrorCode::kNotFound,
                     "no ticket " + std::to_string(number.value()) +
                         "; the last is " + std::to_string(last.value()));
  }
  if (number == last) return stored->head.last_ticket;
  const auto object = objects_.Get(TicketKey(number));
  if (!object) return tl::make_unexpected(object.error());
  return DecodeTicket(object->value);
}

Result<std::vector<TicketNumber>> ConfigStore::ListTickets() {
  const auto stored = ReadHead();
  if (!stored) return tl::make_unexpected(stored.error());
  const auto rows = objects_.List(std::string(kTicketPrefix));
  if (!rows) return tl::make_unexpected(rows.error());
  std::vector<TicketNumber> numbers;
  for (const ObjectListing& it : *rows) {
    const auto number = ParseTicketKey(it.key);
    if (number && *number < stored->head.state.number()) {
      numbers.push_back(*number);
    }
  }
  if (stored->version.value() != 0) {
    numbers.push_back(stored->head.state.number());
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

}  // namespace dogwoodrail::objectapi
