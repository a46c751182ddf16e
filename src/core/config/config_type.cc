#include "core/config/config_type.h"

#include <tuple>

namespace dogwoodrail::core::config {

bool operator==(const ServiceShare& a, const ServiceShare& b) {
  return std::tie(a.service, a.weight) == std::tie(b.service, b.weight);
}

bool operator==(const Account& a, const Account& b) {
  return std::tie(a.name, a.rate_per_s, a.burst, a.importance, a.state) ==
         std::tie(b.name, b.rate_per_s, b.burst, b.importance, b.state);
}

bool operator==(const KeyEntry& a, const KeyEntry& b) {
  return std::tie(a.hash, a.account, a.state) ==
         std::tie(b.hash, b.account, b.state);
}

bool operator==(const Route& a, const Route& b) {
  const auto fields = [](const Route& it) {
    return std::tie(it.name, it.host, it.path_prefix, it.service, it.split,
                    it.importance, it.idempotent, it.open_to_all,
                    it.max_attempts, it.retry_percent, it.timeout,
                    it.latency_objective, it.state);
  };
  return fields(a) == fields(b);
}

bool operator==(const Ticket& a, const Ticket& b) {
  return std::tie(a.number, a.id, a.author, a.time, a.accounts, a.keys,
                  a.routes) == std::tie(b.number, b.id, b.author, b.time,
                                        b.accounts, b.keys, b.routes);
}

}  // namespace dogwoodrail::core::config
