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

// Checks one entry by itself.
base::Result<void> CheckAccount(const Account& account);
base::Result<void> CheckKey(const KeyEntry& key);
base::Result<void> CheckRoute(const Route& route);

// Checks everything about a ticket that needs no state: each entry, duplicates,
// author and id.
base::Result<void> CheckTicketFormat(const Ticket& ticket);

// Returns the state after the ticket, or why the ticket is refused: kConflict
// if its number does not follow the state, kInvalidArgument otherwise.
base::Result<ConfigState> ApplyTicket(const ConfigState& state,
                                      const Ticket& ticket);

// Returns a state made of whole tables, as read back from storage, or why its
// entries do not fit together.
base::Result<ConfigState> BuildState(base::TicketNumber number,
                                     const std::vector<Account>& accounts,
                                     const std::vector<KeyEntry>& keys,
                                     const std::vector<Route>& routes);

// True if the text is the given number of lower-case hex digits.
bool IsLowerHex(const std::string& text, std::size_t length);

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_CONFIG_CMD_H_
