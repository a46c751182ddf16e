#include "core/chain/pressure_map.h"

#include <algorithm>
#include <chrono>

namespace dogwoodrail::core::chain {
namespace {

// Weight of one answer: several serving nodes of a route answer in turn.
constexpr double kAnswerWeight = 0.2;
// Growth of the admitted share for each second without an answer.
constexpr double kGrowthPerSecond = 0.2;
// Above this there is no pressure worth acting on.
constexpr double kNoPressure = 0.99;

}  // namespace

// The bottleneck that an answer names replaces the one before; without
// pressure the last one is kept, until the share has grown back.
void PressureMap::OnAnswer(const base::RouteName& route,
                           const Pressure& pressure, base::TimePoint now) {
  const bool calm = pressure.admit >= kNoPressure;
  const auto it = routes_.find(route);
  if (it == routes_.end()) {
    if (!calm) routes_[route] = Entry{pressure, now};
    return;
  }
  Entry& entry = it->second;
  const double before = Find(route, now).admit;
  entry.pressure.admit = before + kAnswerWeight * (pressure.admit - before);
  if (!calm) entry.pressure.bottleneck = pressure.bottleneck;
  entry.at = now;
  if (calm && entry.pressure.admit >= kNoPressure) routes_.erase(it);
}

Pressure PressureMap::Find(const base::RouteName& route,
                           base::TimePoint now) const {
  const auto it = routes_.find(route);
  if (it == routes_.end()) return {};
  Pressure pressure = it->second.pressure;
  const double seconds =
      std::chrono::duration<double>(now - it->second.at).count();
  pressure.admit = std::min(1.0, pressure.admit + kGrowthPerSecond * seconds);
  if (pressure.admit >= kNoPressure) return {};
  return pressure;
}

}  // namespace dogwoodrail::core::chain
