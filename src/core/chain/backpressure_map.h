#ifndef DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_
#define DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_

#include <cstddef>
#include <unordered_map>

#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// What answers have told of the services behind each route. The endpoints of a
// route share its load: one without pressure takes over what another cannot
// follow, so the mean over all of them counts.
class BackpressureMap {
 public:
  // Takes what an answer of one endpoint of a route tells, and how many
  // endpoints there are.
  void OnAnswer(const base::RouteName& route, const base::NodeAddress& endpoint,
                std::size_t endpoint_count, const Backpressure& pressure,
                base::TimePoint now);
  // Returns what is known of a route now; it fades without answers.
  Backpressure Find(const base::RouteName& route, base::TimePoint now) const;

 private:
  struct Entry {
    Backpressure pressure;
    base::TimePoint at;
  };
  // The endpoints of a route that have told of pressure.
  struct RouteEntry {
    std::unordered_map<base::NodeAddress, Entry> endpoints;
    std::size_t endpoint_count = 1;
  };

  static AdmittedShares SharesOf(const Entry& entry, base::TimePoint now);

  std::unordered_map<base::RouteName, RouteEntry> routes_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_
