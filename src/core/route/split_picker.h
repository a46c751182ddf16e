#ifndef DOGWOODRAIL_CORE_ROUTE_SPLIT_PICKER_H_
#define DOGWOODRAIL_CORE_ROUTE_SPLIT_PICKER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/base/random_type.h"
#include "core/config/config_type.h"

namespace dogwoodrail::core::route {

// Chooses among the services of a split route in proportion to their weights.
// Uses round robin instead of random choices, so that even a small number of
// requests matches the configured split.
class SplitPicker {
 public:
  explicit SplitPicker(std::uint64_t seed);

  // Returns the service for the next request of the route.
  base::ServiceName Pick(const config::Route& route);

 private:
  // Round-robin state of a route; current_weights has the order of split.
  struct State {
    std::vector<config::ServiceShare> split;
    std::vector<double> current_weights;
  };

  base::Random random_;
  std::unordered_map<base::RouteName, State> states_;
};

}  // namespace dogwoodrail::core::route

#endif  // DOGWOODRAIL_CORE_ROUTE_SPLIT_PICKER_H_
