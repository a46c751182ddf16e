#ifndef DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_
#define DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_

#include <cstddef>
#include <unordered_map>

#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// Backpressure of the services downstream of each route, as reported by
// answers. The endpoints of a route share its load: one with spare capacity
// takes over what another cannot handle, so the mean is used. Each endpoint
// counts by its recent answers, that is by the calls of this node that it gets.
//
// Load pattern: a node sends its calls to few of the endpoints, as those of its
// own zone. What the others could still handle does not reach its callers.
class BackpressureMap {
 public:
  // Updates the backpressure of a route from an answer of one of its endpoints.
  void OnAnswer(const base::RouteName& route, const base::NodeAddress& endpoint,
                const Backpressure& backpressure, base::TimePoint now);
  // Returns the current backpressure of a route; it decays without answers.
  Backpressure Find(const base::RouteName& route, base::TimePoint now) const;
  // Forgets endpoints without recent answers.
  void Tick(base::TimePoint now);

  // Returns the number of endpoints that are remembered, over all routes.
  std::size_t size() const;

 private:
  struct Entry {
    Backpressure backpressure;
    double answers = 0;  // decayed count, as of updated_at
    base::TimePoint updated_at;
  };
  struct RouteEntry {
    std::unordered_map<base::NodeAddress, Entry> endpoints;
    base::TimePoint answered_at;  // last answer of any endpoint
  };

  // Returns the decayed number of answers.
  static double CurrentAnswers(const Entry& entry, base::TimePoint now);
  // Returns the increase of the shares of a route since its last answer.
  static double Recovery(const RouteEntry& route, base::TimePoint now);

  std::unordered_map<base::RouteName, RouteEntry> routes_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_BACKPRESSURE_MAP_H_
