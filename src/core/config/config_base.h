#ifndef DOGWOODRAIL_CORE_CONFIG_CONFIG_BASE_H_
#define DOGWOODRAIL_CORE_CONFIG_CONFIG_BASE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "core/config/config_type.h"

namespace dogwoodrail::core::config {

// Whole configuration after one ticket. A value: ApplyTicket makes a new one.
class ConfigState {
 public:
  using AccountTable = std::map<base::AccountName, Account>;
  using KeyTable = std::map<KeyHash, KeyEntry>;
  using RouteTable = std::map<base::RouteName, Route>;

  // Number of the last ticket applied; 0 for the empty configuration.
  base::TicketNumber number() const { return number_; }
  // Active accounts.
  const AccountTable& accounts() const { return accounts_; }
  // Keys, withdrawn ones included.
  const KeyTable& keys() const { return keys_; }
  // Active routes.
  const RouteTable& routes() const { return routes_; }

  // Returns the active account, or nullptr.
  const Account* FindAccount(const base::AccountName& name) const;
  // Returns the active key with this hash, or nullptr.
  const KeyEntry* FindKey(const KeyHash& hash) const;
  // Returns the active route, or nullptr.
  const Route* FindRoute(const base::RouteName& name) const;
  // Returns the active route with the longest prefix of the request target, or
  // nullptr. Routes of the host go before those for any host. A target that is
  // not canonical matches none.
  const Route* MatchRoute(std::string_view target,
                          std::string_view host = {}) const;
  // Returns the active route with exactly this host and prefix, or nullptr.
  const Route* FindPrefix(std::string_view path_prefix,
                          std::string_view host = {}) const;
  // Returns what is known of the service, or nullptr.
  const ServiceInfo* FindService(const base::ServiceName& name) const;
  // Limits on what callers send.
  const CallerLimits& caller_limits() const { return caller_limits_; }

  // Puts one entry into its table; a removed one is taken out. Entries are
  // checked by the caller (config_cmd.h).
  void PutAccount(const Account& account);
  void PutKey(const KeyEntry& key);
  void PutRoute(const Route& route);
  void PutService(const ServiceInfo& facts);
  void SetNumber(base::TicketNumber number) { number_ = number; }
  void SetCallerLimits(const CallerLimits& limits) { caller_limits_ = limits; }

  friend bool operator==(const ConfigState& a, const ConfigState& b) {
    return a.number_ == b.number_ && a.accounts_ == b.accounts_ &&
           a.keys_ == b.keys_ && a.routes_ == b.routes_;
  }

 private:
  // Routes of one host by prefix.
  using PrefixTable = std::map<std::string, base::RouteName, std::less<>>;

  // Returns the host's route with the longest prefix of the path, or nullptr.
  const Route* MatchHost(std::string_view path, std::string_view host) const;

  base::TicketNumber number_;
  AccountTable accounts_;
  KeyTable keys_;
  RouteTable routes_;
  std::map<std::string, PrefixTable, std::less<>> hosts_;
  std::map<base::ServiceName, ServiceInfo> services_;
  CallerLimits caller_limits_;
};

// Returns the path of a request target, without its query.
std::string_view TargetPath(std::string_view target);

// True if no two servers could read the path differently: no dot or empty
// segments, no backslash or control character, no escape of '/', '\' or of a
// character that needs none.
bool IsCanonicalPath(std::string_view path);

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_CONFIG_BASE_H_
