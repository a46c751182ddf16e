#ifndef DOGWOODRAIL_CORE_CONFIG_CONFIG_TYPE_H_
#define DOGWOODRAIL_CORE_CONFIG_CONFIG_TYPE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::config {

// SHA-256 of a key, 64 lower-case hex digits. The key itself is never stored.
using KeyHash = base::StrongString<struct KeyHashTag>;

// Identifies one submission of a ticket, so that the submitter can find out
// after a lost response whether it was stored; 32 lower-case hex digits.
using TicketId = base::StrongString<struct TicketIdTag>;

// State of an account or a route, as set by a ticket.
enum class EntryState : std::uint8_t { kActive, kRemoved };

// State of a key, as set by a ticket.
enum class KeyState : std::uint8_t { kActive, kWithdrawn };

// Client account. Its rate and burst apply to all nodes together.
struct Account {
  base::AccountName name;
  std::uint32_t rate_per_s = 0;  // 0: no limit, not allowed in tickets
  std::uint32_t burst = 0;
  EntryState state = EntryState::kActive;
  // Raises the importance of the account's requests by the number of levels
  // that this value is above the lowest one.
  std::optional<base::Importance> importance = std::nullopt;
};

// Key of a client account.
struct KeyEntry {
  KeyHash hash;
  base::AccountName account;
  KeyState state = KeyState::kActive;
};

// A service that receives a share of a route's requests.
struct ServiceShare {
  base::ServiceName service;
  std::uint32_t weight = 1;
};

// Properties of a service that do not depend on a route.
struct ServiceInfo {
  base::ServiceName service;
  std::string health_path;  // path of the health check
};

// Limits on the size of requests and on the time callers take to send them.
struct CallerLimits {
  std::uint64_t max_header_bytes = 0;  // 0 in any field: use the settings
  std::uint64_t max_body_bytes = 0;
  std::chrono::milliseconds header_timeout{0};
  std::chrono::milliseconds idle_timeout{0};
};

// Maps a path prefix to a service and a request policy.
struct Route {
  base::RouteName name;
  std::string host;         // lower case, without a port; empty: any
  std::string path_prefix;  // "/" or "/a/b", matched on whole segments; with a
                            // trailing '/' only paths below it match
  base::ServiceName service;
  std::vector<ServiceShare> split;  // replaces `service` unless empty
  base::Importance importance = base::Importance::kLookup;
  bool idempotent = false;
  bool open_to_all = false;         // needs no key
  std::uint32_t max_attempts = 1;   // per request, over the whole call chain
  std::uint32_t retry_percent = 0;  // retries allowed per 100 first attempts
  std::chrono::milliseconds timeout{0};
  // Latency within which a response has its full value; 0 if unknown.
  std::chrono::milliseconds latency_objective{0};
  EntryState state = EntryState::kActive;
};

// Change ticket: the complete new state of each entry that it lists. Other
// entries stay unchanged.
struct Ticket {
  base::TicketNumber number;
  TicketId id;
  std::string author;
  base::WallTime time;
  std::vector<Account> accounts;
  std::vector<KeyEntry> keys;
  std::vector<Route> routes;
};

bool operator==(const ServiceShare& a, const ServiceShare& b);
bool operator==(const Account& a, const Account& b);
bool operator==(const KeyEntry& a, const KeyEntry& b);
bool operator==(const Route& a, const Route& b);
bool operator==(const Ticket& a, const Ticket& b);

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_CONFIG_TYPE_H_
