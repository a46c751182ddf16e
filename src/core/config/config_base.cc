#include "core/config/config_base.h"

#include <cctype>
#include <cstddef>

namespace dogwoodrail::core::config {
namespace {

constexpr unsigned char kFirstPrintable = 0x21;
constexpr unsigned char kLastPrintable = 0x7e;
constexpr std::size_t kEscapeLength = 3;  // "%41"

// Returns the entry of a table, or nullptr.
template <typename Table, typename Key>
const typename Table::mapped_type* FindOrNull(const Table& table,
                                              const Key& key) {
  const auto it = table.find(key);
  return it == table.end() ? nullptr : &it->second;
}

// Returns the value of a hex digit, or -1.
int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Returns true if the text starts with a valid escape of a character that must
// not appear unescaped.
bool IsNeededEscape(std::string_view text) {
  if (text.size() < kEscapeLength) return false;
  const int high = HexValue(text[1]);
  const int low = HexValue(text[2]);
  if (high < 0 || low < 0) return false;
  const auto c = static_cast<unsigned char>(high * 16 + low);
  if (c < kFirstPrintable - 1 || c == kLastPrintable + 1) return false;
  if (std::isalnum(c) != 0) return false;
  return std::string_view("-._~/\\").find(static_cast<char>(c)) ==
         std::string_view::npos;
}

// Returns true if the path contains only allowed characters and escapes.
bool HasOnlyAllowedCharacters(std::string_view path) {
  for (std::size_t it = 0; it < path.size(); ++it) {
    const auto c = static_cast<unsigned char>(path[it]);
    if (c < kFirstPrintable || c > kLastPrintable) return false;
    if (c == '\\' || c == '#') return false;
    if (c == '%' && !IsNeededEscape(path.substr(it))) return false;
  }
  return true;
}

}  // namespace

const Account* ConfigState::FindAccount(const base::AccountName& name) const {
  return FindOrNull(accounts_, name);
}

const KeyEntry* ConfigState::FindKey(const KeyHash& hash) const {
  const KeyEntry* key = FindOrNull(keys_, hash);
  if (key == nullptr || key->state != KeyState::kActive) return nullptr;
  return key;
}

const Route* ConfigState::FindRoute(const base::RouteName& name) const {
  return FindOrNull(routes_, name);
}

const Route* ConfigState::FindPrefix(std::string_view path_prefix,
                                     std::string_view host) const {
  const PrefixTable* prefixes = FindOrNull(routes_by_host_, host);
  if (prefixes == nullptr) return nullptr;
  const base::RouteName* name = FindOrNull(*prefixes, path_prefix);
  return name == nullptr ? nullptr : FindRoute(*name);
}

// A backend server may decode escapes and resolve dot segments, so a path that
// is not canonical could reach resources of another route under the wrong
// policy.
const Route* ConfigState::MatchRoute(std::string_view target,
                                     std::string_view host) const {
  const std::string_view path = TargetPath(target);
  if (!IsCanonicalPath(path)) return nullptr;
  if (!host.empty()) {
    if (const Route* route = MatchHost(path, host)) return route;
  }
  return MatchHost(path, {});
}

// Tries the longest prefix first, with two lookups per segment: with and
// without the trailing slash.
const Route* ConfigState::MatchHost(std::string_view path,
                                    std::string_view host) const {
  while (path.size() > 1) {
    if (const Route* route = FindPrefix(path, host)) return route;
    if (path.back() == '/') {
      path.remove_suffix(1);
      continue;
    }
    path = path.substr(0, path.rfind('/') + 1);
  }
  return FindPrefix("/", host);
}

void ConfigState::PutAccount(const Account& account) {
  accounts_.erase(account.name);
  if (account.state == EntryState::kRemoved) return;
  accounts_.emplace(account.name, account);
}

// Withdrawn keys stay in the table so that applying an old ticket again cannot
// reactivate them.
void ConfigState::PutKey(const KeyEntry& key) {
  keys_.insert_or_assign(key.hash, key);
}

void ConfigState::PutRoute(const Route& route) {
  if (const Route* old = FindRoute(route.name)) {
    PrefixTable& prefixes = routes_by_host_[old->host];
    const auto it = prefixes.find(old->path_prefix);
    if (it != prefixes.end() && it->second == route.name) prefixes.erase(it);
    if (prefixes.empty()) routes_by_host_.erase(old->host);
    routes_.erase(route.name);
  }
  if (route.state == EntryState::kRemoved) return;
  routes_by_host_[route.host].insert_or_assign(route.path_prefix, route.name);
  routes_.emplace(route.name, route);
}

void ConfigState::PutService(const ServiceInfo& info) {
  services_.insert_or_assign(info.service, info);
}

const ServiceInfo* ConfigState::FindService(
    const base::ServiceName& name) const {
  return FindOrNull(services_, name);
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

bool IsCanonicalPath(std::string_view path) {
  if (path.empty() || path.front() != '/') return false;
  if (!HasOnlyAllowedCharacters(path)) return false;
  if (path == "/") return true;
  if (path.back() == '/') path.remove_suffix(1);
  while (!path.empty()) {
    const std::size_t slash = path.rfind('/');
    const std::string_view segment = path.substr(slash + 1);
    if (segment.empty() || segment == "." || segment == "..") return false;
    path = path.substr(0, slash);
  }
  return true;
}

}  // namespace dogwoodrail::core::config
