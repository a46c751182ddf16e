#include "core/config/config_cmd.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string_view>

namespace dogwoodrail::core::config {
namespace {

constexpr std::size_t kKeyHashLength = 64;   // hex digits of SHA-256
constexpr std::size_t kTicketIdLength = 32;  // hex digits

using base::Result;

// Returns the error for an invalid entry.
tl::unexpected<base::Error> Refuse(const std::string& entry,
                                   const std::string& why) {
  return base::MakeError(base::ErrorCode::kInvalidArgument, entry + ": " + why);
}

// The first character is a lower-case letter or a digit, so that a name cannot
// be mistaken for an option or a hidden file.
bool IsName(const std::string& text) {
  if (text.empty() || text.size() > kMaxNameLength) return false;
  const auto is_alnum = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  if (!is_alnum(text.front())) return false;
  return std::all_of(text.begin(), text.end(), [&](char c) {
    return is_alnum(c) || c == '_' || c == '-' || c == '.';
  });
}

Result<void> CheckName(const std::string& entry, const std::string& field,
                       const std::string& name) {
  if (IsName(name)) return {};
  return Refuse(entry, field +
                           " must be 1 to 64 characters of a-z, 0-9, '_', '-' "
                           "and '.', starting with a letter or digit");
}

Result<void> CheckRange(const std::string& entry, const std::string& field,
                        std::uint64_t n, std::uint64_t min, std::uint64_t max) {
  if (n >= min && n <= max) return {};
  return Refuse(entry, field + " is " + std::to_string(n) + ", must be " +
                           std::to_string(min) + " to " + std::to_string(max));
}

// Returns the first error, or success.
Result<void> FirstError(std::initializer_list<Result<void>> results) {
  for (const Result<void>& it : results) {
    if (!it) return it;
  }
  return {};
}

std::string Label(const Account& account) {
  return "account '" + account.name.value() + "'";
}
std::string Label(const KeyEntry& key) {
  return "key '" + key.hash.value() + "'";
}
std::string Label(const Route& route) {
  return "route '" + route.name.value() + "'";
}

Result<void> CheckSplit(const Route& route) {
  for (const ServiceShare& it : route.split) {
    Result<void> checked = FirstError(
        {CheckName(Label(route), "split service", it.service.value()),
         CheckRange(Label(route), "split weight", it.weight, 1, kMaxWeight)});
    if (!checked) return checked;
  }
  return {};
}

Result<void> CheckPathPrefix(const Route& route) {
  const std::string& prefix = route.path_prefix;
  if (prefix.size() > kMaxPathPrefixLength || !IsCanonicalPath(prefix)) {
    return Refuse(Label(route),
                  "path_prefix must be a canonical path of at most 256 "
                  "characters that starts with '/'");
  }
  if (prefix.size() > 1 && prefix.back() == '/') {
    return Refuse(Label(route), "path_prefix must not end with '/'");
  }
  return {};
}

// Validates each entry of one kind and rejects duplicates.
template <typename Entry, typename Name>
Result<void> CheckEntries(const std::vector<Entry>& entries,
                          Result<void> (*check)(const Entry&),
                          Name Entry::*name) {
  std::set<Name> seen;
  for (const Entry& it : entries) {
    if (auto result = check(it); !result) return result;
    if (!seen.insert(it.*name).second) {
      return Refuse(Label(it), "listed twice in the ticket");
    }
  }
  return {};
}

// Removing an entry that does not exist is an error; otherwise a mistyped name
// would go unnoticed.
Result<void> CheckAgainstState(const ConfigState& state, const Ticket& ticket) {
  for (const Account& it : ticket.accounts) {
    if (it.state == EntryState::kRemoved && !state.FindAccount(it.name)) {
      return Refuse(Label(it), "cannot be removed, it does not exist");
    }
  }
  for (const Route& it : ticket.routes) {
    if (it.state == EntryState::kRemoved && !state.FindRoute(it.name)) {
      return Refuse(Label(it), "cannot be removed, it does not exist");
    }
  }
  for (const KeyEntry& it : ticket.keys) {
    const auto old = state.keys().find(it.hash);
    if (old == state.keys().end()) {
      if (it.state == KeyState::kActive) continue;
      return Refuse(Label(it), "cannot be withdrawn, it does not exist");
    }
    if (old->second.account != it.account) {
      return Refuse(Label(it),
                    "belongs to account '" + old->second.account.value() + "'");
    }
    if (old->second.state == KeyState::kWithdrawn &&
        it.state == KeyState::kActive) {
      return Refuse(Label(it), "was withdrawn and cannot become active again");
    }
  }
  return {};
}

// Validates references between entries of the new state.
Result<void> CheckReferences(const ConfigState& state) {
  for (const auto& [hash, key] : state.keys()) {
    if (key.state != KeyState::kActive) continue;
    if (state.FindAccount(key.account) != nullptr) continue;
    return Refuse(Label(key),
                  "names account '" + key.account.value() +
                      "', which does not exist; withdraw the keys "
                      "of an account in the ticket that removes it");
  }
  for (const auto& [name, route] : state.routes()) {
    const Route* owner = state.FindPrefix(route.path_prefix, route.host);
    if (owner != nullptr && owner->name == name) continue;
    return Refuse(Label(route), "another route has the path_prefix '" +
                                    route.path_prefix + "'");
  }
  return {};
}

}  // namespace

bool IsLowerHex(const std::string& text, std::size_t length) {
  if (text.size() != length) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

Result<void> CheckAccount(const Account& account) {
  const std::string entry = Label(account);
  if (auto result = CheckName(entry, "name", account.name.value()); !result) {
    return result;
  }
  if (account.state == EntryState::kRemoved) return {};
  return FirstError({
      CheckRange(entry, "rate_per_s", account.rate_per_s, 1, kMaxRatePerSecond),
      CheckRange(entry, "burst", account.burst, 1, kMaxBurst),
  });
}

Result<void> CheckKey(const KeyEntry& key) {
  if (!IsLowerHex(key.hash.value(), kKeyHashLength)) {
    return Refuse(Label(key), "sha256 must be 64 lower-case hex digits");
  }
  return CheckName(Label(key), "account", key.account.value());
}

Result<void> CheckRoute(const Route& route) {
  const std::string entry = Label(route);
  if (auto result = CheckName(entry, "name", route.name.value()); !result) {
    return result;
  }
  if (route.state == EntryState::kRemoved) return {};
  if (route.timeout.count() < 0) {
    return Refuse(entry, "timeout_ms must not be negative");
  }
  return FirstError({
      CheckPathPrefix(route),
      CheckSplit(route),
      CheckName(entry, "service", route.service.value()),
      CheckRange(entry, "max_attempts", route.max_attempts, 1,
                 kMaxAttemptsLimit),
      CheckRange(entry, "retry_percent", route.retry_percent, 0,
                 kMaxRetryPercent),
      CheckRange(entry, "timeout_ms",
                 static_cast<std::uint64_t>(route.timeout.count()),
                 static_cast<std::uint64_t>(kMinRouteTimeout.count()),
                 static_cast<std::uint64_t>(kMaxRouteTimeout.count())),
  });
}

Result<void> CheckTicketFormat(const Ticket& ticket) {
  if (!IsLowerHex(ticket.id.value(), kTicketIdLength)) {
    return Refuse("ticket", "id must be 32 lower-case hex digits");
  }
  const bool printable =
      std::all_of(ticket.author.begin(), ticket.author.end(),
                  [](char c) { return c >= ' ' && c <= '~'; });
  if (ticket.author.empty() || ticket.author.size() > kMaxAuthorLength ||
      !printable) {
    return Refuse("ticket", "author must be 1 to 64 printable characters");
  }
  if (ticket.accounts.empty() && ticket.keys.empty() && ticket.routes.empty()) {
    return Refuse("ticket", "names no account, key or route");
  }
  return FirstError({
      CheckEntries(ticket.accounts, &CheckAccount, &Account::name),
      CheckEntries(ticket.keys, &CheckKey, &KeyEntry::hash),
      CheckEntries(ticket.routes, &CheckRoute, &Route::name),
  });
}

// References are validated only after all entries have been applied, so that
// one ticket can move a prefix from one route to another.
Result<ConfigState> ApplyTicket(const ConfigState& state,
                                const Ticket& ticket) {
  if (ticket.number.value() != state.number().value() + 1) {
    return base::MakeError(base::ErrorCode::kConflict,
                           "ticket " + std::to_string(ticket.number.value()) +
                               " does not follow configuration " +
                               std::to_string(state.number().value()));
  }
  if (auto result = CheckTicketFormat(ticket); !result) {
    return tl::make_unexpected(result.error());
  }
  if (auto result = CheckAgainstState(state, ticket); !result) {
    return tl::make_unexpected(result.error());
  }
  ConfigState next = state;
  next.SetNumber(ticket.number);
  for (const Account& it : ticket.accounts) next.PutAccount(it);
  for (const KeyEntry& it : ticket.keys) next.PutKey(it);
  for (const Route& it : ticket.routes) next.PutRoute(it);
  if (auto result = CheckReferences(next); !result) {
    return tl::make_unexpected(result.error());
  }
  return next;
}

Result<ConfigState> BuildState(base::TicketNumber number,
                               const std::vector<Account>& accounts,
                               const std::vector<KeyEntry>& keys,
                               const std::vector<Route>& routes) {
  const Result<void> checked =
      FirstError({CheckEntries(accounts, &CheckAccount, &Account::name),
                  CheckEntries(keys, &CheckKey, &KeyEntry::hash),
                  CheckEntries(routes, &CheckRoute, &Route::name)});
  if (!checked) return tl::make_unexpected(checked.error());
  ConfigState state;
  state.SetNumber(number);
  for (const Account& it : accounts) state.PutAccount(it);
  for (const KeyEntry& it : keys) state.PutKey(it);
  for (const Route& it : routes) state.PutRoute(it);
  if (auto result = CheckReferences(state); !result) {
    return tl::make_unexpected(result.error());
  }
  return state;
}

}  // namespace dogwoodrail::core::config
