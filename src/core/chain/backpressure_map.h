#ifndef DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_
#define DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_

#include <cstddef>
#include <unordered_map>

#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// Backpressure of the services downstream of each route, as reported by
// answers. The endpoints of a route share its load: one with spare capacity
// takes over what another cannot handle, so the mean over all endpoints is
// used.
class BackpressureMap {
 public:
  // Updates the backpressure of a route from an answer of one of its
  // `endpoint_count` endpoints.
  void OnAnswer(const base::RouteName& route, const base::NodeAddress& endpoint,
                std::size_t endpoint_count, const Backpressure& backpressure,
                base::TimePoint now);
  // Returns the current backpressure of a route; it decays without answers.
  Backpressure Find(const base::RouteName& route, base::TimePoint now) const;

 private:
  struct Entry {
    Backpressure backpressure;
    base::TimePoint updated_at;
  };
  // Endpoints of a route that have reported backpressure.
  struct RouteEntry {
    std::unordered_map<base::NodeAddress, Entry> endpoints;
    std::size_t endpoint_count = 1;
  };

  // Returns the shares of an entry, with the recovery since its last answer.
  static AdmittedShares CurrentShares(const Entry& entry, base::TimePoint now);

  std::unordered_map<base::RouteName, RouteEntry> routes_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_
