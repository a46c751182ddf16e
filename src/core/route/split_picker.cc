#include "core/route/split_picker.h"

#include <algorithm>
#include <cstddef>

namespace dogwoodrail::core::route {

SplitPicker::SplitPicker(std::uint64_t seed) : random_(seed) {}

// Smooth weighted round robin: each request adds every service's weight to its
// current weight; the service with the highest is chosen and its current weight
// reduced by the sum of weights. Initial values are random, so that many nodes
// with little traffic do not all start with the same service.
base::ServiceName SplitPicker::Pick(const config::Route& route) {
  if (route.split.empty()) return route.service;
  double sum = 0;
  for (const config::ServiceShare& it : route.split) sum += it.weight;
  State& state = states_[route.name];
  if (state.split != route.split) {
    state.split = route.split;
    state.current_weights.clear();
    for (std::size_t it = 0; it < route.split.size(); ++it) {
      state.current_weights.push_back(base::RandomUnit(random_) * sum);
    }
  }
  for (std::size_t it = 0; it < route.split.size(); ++it) {
    state.current_weights[it] += route.split[it].weight;
  }
  const auto highest = std::max_element(state.current_weights.begin(),
                                        state.current_weights.end());
  *highest -= sum;
  return route.split[highest - state.current_weights.begin()].service;
}

}  // namespace dogwoodrail::core::route
