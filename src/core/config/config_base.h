#ifndef DOGWOODRAIL_CORE_CONFIG_CONFIG_BASE_H_
#define DOGWOODRAIL_CORE_CONFIG_CONFIG_BASE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "core/config/config_type.h"

namespace dogwoodrail::core::config {

// Complete configuration after one ticket. Has value semantics: ApplyTicket
// returns a new state.
class ConfigState {
 public:
  using AccountTable = std::map<base::AccountName, Account>;
  using KeyTable = std::map<KeyHash, KeyEntry>;
  using RouteTable = std::map<base::RouteName, Route>;

  // Returns the number of the last applied ticket; 0 if there is none.
  base::TicketNumber number() const { return number_; }
  // Returns the active accounts.
  const AccountTable& accounts() const { return accounts_; }
  // Returns all keys, including withdrawn ones.
  const KeyTable& keys() const { return keys_; }
  // Returns the active routes.
  const RouteTable& routes() const { return routes_; }

  // Returns the active account, or nullptr.
  const Account* FindAccount(const base::AccountName& name) const;
  // Returns the active key with this hash, or nullptr.
  const KeyEntry* FindKey(const KeyHash& hash) const;
  // Returns the active route, or nullptr.
  const Route* FindRoute(const base::RouteName& name) const;
  // Returns the active route with the longest prefix that matches the request
  // target, or nullptr. Routes of the host take precedence over routes for any
  // host. A target that is not canonical matches no route.
  const Route* MatchRoute(std::string_view target,
                          std::string_view host = {}) const;
  // Returns the active route with exactly this host and prefix, or nullptr.
  const Route* FindPrefix(std::string_view path_prefix,
                          std::string_view host = {}) const;
  // Returns the information about a service, or nullptr.
  const ServiceInfo* FindService(const base::ServiceName& name) const;
  // Returns the limits on requests of callers.
  const CallerLimits& caller_limits() const { return caller_limits_; }

  // Inserts or replaces one entry, or erases it if its state is kRemoved.
  // Entries must have been validated by the caller (config_cmd.h).
  void PutAccount(const Account& account);
  void PutKey(const KeyEntry& key);
  void PutRoute(const Route& route);
  void PutService(const ServiceInfo& info);
  void SetNumber(base::TicketNumber number) { number_ = number; }
  void SetCallerLimits(const CallerLimits& limits) { caller_limits_ = limits; }

  friend bool operator==(const ConfigState& a, const ConfigState& b) {
    return a.number_ == b.number_ && a.accounts_ == b.accounts_ &&
           a.keys_ == b.keys_ && a.routes_ == b.routes_;
  }

 private:
  // Names of the routes of one host, by path prefix.
  using PrefixTable = std::map<std::string, base::RouteName, std::less<>>;

  // Returns the route of the host with the longest matching prefix, or nullptr.
  const Route* MatchHost(std::string_view path, std::string_view host) const;

  base::TicketNumber number_;
  AccountTable accounts_;
  KeyTable keys_;
  RouteTable routes_;
  std::map<std::string, PrefixTable, std::less<>> routes_by_host_;
  std::map<base::ServiceName, ServiceInfo> services_;
  CallerLimits caller_limits_;
};

// Returns the path of a request target, without its query.
std::string_view TargetPath(std::string_view target);

// Returns true if all servers interpret the path in the same way: it has no dot
// segments, empty segments, backslashes or control characters, and no escapes
// of '/', '\' or of characters that need no escape.
bool IsCanonicalPath(std::string_view path);

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_CONFIG_BASE_H_
