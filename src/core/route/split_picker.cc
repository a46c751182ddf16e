#include "core/route/split_picker.h"

#include <algorithm>
#include <cstddef>

namespace dogwoodrail::core::route {

SplitPicker::SplitPicker(std::uint64_t seed) : random_(seed) {}

// Smooth weighted round robin: each service earns its weight a request, the
// richest is chosen and pays the sum of weights. The start is random, so that
// many nodes with little traffic do not all begin with the same service.
base::ServiceName SplitPicker::Pick(const config::Route& route) {
  if (route.split.empty()) return route.service;
  double sum = 0;
  for (const config::ServiceShare& it : route.split) sum += it.weight;
  State& state = states_[route.name];
  if (state.split != route.split) {
    state.split = route.split;
    state.credits.clear();
    for (std::size_t it = 0; it < route.split.size(); ++it) {
      state.credits.push_back(base::RandomUnit(random_) * sum);
    }
  }
  for (std::size_t it = 0; it < route.split.size(); ++it) {
    state.credits[it] += route.split[it].weight;
  }
  const auto richest =
      std::max_element(state.credits.begin(), state.credits.end());
  *richest -= sum;
  return route.split[richest - state.credits.begin()].service;
}

}  // namespace dogwoodrail::core::route
