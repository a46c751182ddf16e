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

// Identifies one submission of a ticket, so that its author recognizes it after
// a lost answer; 32 lower-case hex digits.
using TicketId = base::StrongString<struct TicketIdTag>;

// State that a ticket gives an account or a route.
enum class EntryState : std::uint8_t { kActive, kRemoved };

// State that a ticket gives a key.
enum class KeyState : std::uint8_t { kActive, kWithdrawn };

// Client account with its rate and burst over all nodes together.
struct Account {
  base::AccountName name;
  std::uint32_t rate_per_s = 0;  // 0: no limit; tickets have to name one
  std::uint32_t burst = 0;
  EntryState state = EntryState::kActive;
  // Accounts above the least important one raise the importance of their
  // requests by as many steps.
  std::optional<base::Importance> importance = std::nullopt;
};

// Key of a client account.
struct KeyEntry {
  KeyHash hash;
  base::AccountName account;
  KeyState state = KeyState::kActive;
};

// A service that gets a share of a route's requests.
struct ServiceShare {
  base::ServiceName service;
  std::uint32_t weight = 1;
};

// What is known of a service beyond the routes that lead to it.
struct ServiceInfo {
  base::ServiceName service;
  std::string health_path;  // of its health check
};

// Limits on what callers may send and how long they may take.
struct CallerLimits {
  std::uint64_t max_header_bytes = 0;  // 0 in any field: as the settings say
  std::uint64_t max_body_bytes = 0;
  std::chrono::milliseconds header_timeout{0};
  std::chrono::milliseconds idle_timeout{0};
};

// Paths that are served by one service under one policy.
struct Route {
  base::RouteName name;
  std::string host;         // lower case, without a port; empty: any
  std::string path_prefix;  // "/" or "/a/b", matched on whole segments; with a
                            // final '/' only what lies below it matches
  base::ServiceName service;
  std::vector<ServiceShare> split;  // goes before service unless empty
  base::Importance importance = base::Importance::kLookup;
  bool idempotent = false;
  bool open_to_all = false;         // needs no key
  std::uint32_t max_attempts = 1;   // per request, over the whole call chain
  std::uint32_t retry_percent = 0;  // retries allowed per 100 fresh requests
  std::chrono::milliseconds timeout{0};
  // Latency within which an answer is worth its full value; 0 if not known.
  std::chrono::milliseconds latency_objective{0};
  EntryState state = EntryState::kActive;
};

// Change ticket: the whole new state of each entry it names. Entries it does
// not name stay as they are.
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
