// Prints the cost of the configuration by number of routes and keys: time to
// look up a route or a key, to apply a ticket and to decode a stored head, and
// the size of the head.
#include <chrono>
#include <cstdio>
#include <string>

#include "core/config/config_cmd.h"
#include "objectapi/config_codec.h"

namespace {

namespace base = dogwoodrail::core::base;
namespace config = dogwoodrail::core::config;
namespace objectapi = dogwoodrail::objectapi;
using Clock = std::chrono::steady_clock;

constexpr int kLookups = 200'000;
constexpr int kAccounts = 8;
constexpr std::size_t kHashDigits = 64;

// Returns a name with a zero-padded number.
std::string NumberedName(const char* prefix, int n) {
  std::string digits = std::to_string(n);
  return prefix + std::string(6 - digits.size(), '0') + digits;
}

config::KeyHash MakeKeyHash(int n) {
  const std::string digits = std::to_string(n);
  return config::KeyHash(std::string(kHashDigits - digits.size(), '0') +
                         digits);
}

config::Ticket MakeTicket(int routes, int keys) {
  config::Ticket ticket;
  ticket.number = base::TicketNumber(1);
  ticket.id = config::TicketId(std::string(32, '1'));
  ticket.author = "bench";
  for (int it = 0; it < kAccounts; ++it) {
    ticket.accounts.push_back(
        {base::AccountName(NumberedName("account", it)), 10, 20});
  }
  for (int it = 0; it < keys; ++it) {
    ticket.keys.push_back(
        {MakeKeyHash(it), ticket.accounts[it % kAccounts].name});
  }
  for (int it = 0; it < routes; ++it) {
    config::Route route;
    route.name = base::RouteName(NumberedName("route", it));
    route.path_prefix = "/" + NumberedName("service", it) + "/v1";
    route.service = base::ServiceName(NumberedName("service", it));
    route.timeout = std::chrono::seconds(1);
    ticket.routes.push_back(route);
  }
  return ticket;
}

// Returns the mean time per call in nanoseconds.
template <typename Fn>
double NsPerCall(int calls, Fn&& fn) {
  const auto start = Clock::now();
  for (int it = 0; it < calls; ++it) fn(it);
  const std::chrono::duration<double, std::nano> elapsed = Clock::now() - start;
  return elapsed.count() / calls;
}

// Prints one row.
void PrintRow(int routes, int keys) {
  const config::Ticket first = MakeTicket(routes, keys);
  const config::ConfigState state =
      config::ApplyTicket(config::ConfigState(), first).value();
  std::size_t found = 0;
  const double match = NsPerCall(kLookups, [&](int it) {
    const auto& route = first.routes[it % routes];
    found += state.MatchRoute(route.path_prefix + "/items/7?x=1") != nullptr;
  });
  const double key = NsPerCall(kLookups, [&](int it) {
    found += state.FindKey(first.keys[it % keys].hash) != nullptr;
  });
  config::Ticket small = MakeTicket(1, 1);
  small.number = base::TicketNumber(2);
  const double apply = NsPerCall(20, [&](int /*it*/) {
    found += config::ApplyTicket(state, small).has_value();
  });
  config::Ticket last = small;
  last.number = base::TicketNumber(1);
  const std::string head = objectapi::EncodeHead({state, last});
  const double decode = NsPerCall(
      3, [&](int /*it*/) { found += objectapi::DecodeHead(head).has_value(); });
  std::printf("%8d %8d %10.0f %10.0f %12.3f %12.3f %12zu\n", routes, keys,
              match, key, apply / 1e6, decode / 1e6, head.size());
  if (found == 0) std::printf("nothing found\n");
}

}  // namespace

int main() {
  std::printf("%8s %8s %10s %10s %12s %12s %12s\n", "routes", "keys",
              "match ns", "key ns", "ticket ms", "decode ms", "head bytes");
  for (const int n : {10, 100, 1000, 3400}) PrintRow(n, n);
  PrintRow(3400, 34'000);
  return 0;
}
