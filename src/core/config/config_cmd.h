#ifndef DOGWOODRAIL_CORE_CONFIG_CONFIG_CMD_H_
#define DOGWOODRAIL_CORE_CONFIG_CONFIG_CMD_H_

#include "core/base/error_type.h"
#include "core/config/config_base.h"
#include "core/config/config_type.h"

namespace dogwoodrail::core::config {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxAuthorLength = 64;
constexpr std::size_t kMaxPathPrefixLength = 256;
constexpr std::uint32_t kMaxRatePerSecond = 1'000'000;
constexpr std::uint32_t kMaxBurst = 1'000'000;
constexpr std::uint32_t kMaxWeight = 1'000'000;
constexpr std::uint32_t kMaxAttemptsLimit = 64;
constexpr std::uint32_t kMaxRetryPercent = 100;
constexpr std::chrono::milliseconds kMinRouteTimeout{1};
constexpr std::chrono::milliseconds kMaxRouteTimeout{600'000};

// Validates one entry on its own.
base::Result<void> CheckAccount(const Account& account);
base::Result<void> CheckKey(const KeyEntry& key);
base::Result<void> CheckRoute(const Route& route);

// Validates everything about a ticket that does not depend on the current
// state: each entry, duplicates, author and id.
base::Result<void> CheckTicketFormat(const Ticket& ticket);

// Returns the state after applying the ticket, or an error: kConflict if its
// number is not the next one, kInvalidArgument otherwise.
base::Result<ConfigState> ApplyTicket(const ConfigState& state,
                                      const Ticket& ticket);

// Builds a state from complete tables, such as those read from storage, or
// returns an error if the entries are inconsistent.
base::Result<ConfigState> BuildState(base::TicketNumber number,
                                     const std::vector<Account>& accounts,
                                     const std::vector<KeyEntry>& keys,
                                     const std::vector<Route>& routes);

// Returns true if the text consists of exactly `length` lower-case hex digits.
bool IsLowerHex(const std::string& text, std::size_t length);

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_CONFIG_CMD_H_
