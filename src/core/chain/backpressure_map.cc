#include "core/chain/backpressure_map.h"

#include <algorithm>
#include <chrono>

namespace dogwoodrail::core::chain {
namespace {

// Weight of one answer: several serving nodes of a route answer in turn.
constexpr double kAnswerWeight = 0.2;
// Growth of the admitted shares for each second without an answer.
constexpr double kGrowthPerSecond = 0.2;
// Above this there is no pressure worth acting on.
constexpr double kNoPressure = 0.99;

bool IsCalm(const AdmittedShares& shares) {
  return std::all_of(shares.begin(), shares.end(),
                     [](double it) { return it >= kNoPressure; });
}

}  // namespace

AdmittedShares BackpressureMap::SharesOf(const Entry& entry,
                                         base::TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - entry.at).count();
  AdmittedShares shares = entry.pressure.admit;
  for (double& share : shares) {
    share = std::min(1.0, share + kGrowthPerSecond * seconds);
  }
  return shares;
}

// The bottleneck that an answer names replaces the one before; without
// pressure the last one is kept, until the shares have grown back.
void BackpressureMap::OnAnswer(const base::RouteName& route,
                               const base::NodeAddress& endpoint,
                               std::size_t endpoint_count,
                               const Backpressure& pressure,
                               base::TimePoint now) {
  const bool calm = IsCalm(pressure.admit);
  const auto found = routes_.find(route);
  if (found == routes_.end() && calm) return;
  RouteEntry& entries = routes_[route];
  entries.endpoint_count = std::max<std::size_t>(endpoint_count, 1);
  const auto it = entries.endpoints.find(endpoint);
  if (it == entries.endpoints.end()) {
    if (!calm) entries.endpoints[endpoint] = Entry{pressure, now};
    return;
  }
  Entry& entry = it->second;
  AdmittedShares shares = SharesOf(entry, now);
  for (std::size_t rank = 0; rank < shares.size(); ++rank) {
    shares[rank] += kAnswerWeight * (pressure.admit[rank] - shares[rank]);
  }
  entry.pressure.admit = shares;
  if (!calm) entry.pressure.bottleneck = pressure.bottleneck;
  entry.at = now;
  if (calm && IsCalm(shares)) entries.endpoints.erase(it);
  if (entries.endpoints.empty()) routes_.erase(route);
}

Backpressure BackpressureMap::Find(const base::RouteName& route,
                                   base::TimePoint now) const {
  const auto it = routes_.find(route);
  if (it == routes_.end()) return {};
  const RouteEntry& entries = it->second;
  const double count = static_cast<double>(
      std::max(entries.endpoint_count, entries.endpoints.size()));
  Backpressure pressure;
  for (const auto& [endpoint, entry] : entries.endpoints) {
    const AdmittedShares shares = SharesOf(entry, now);
    for (std::size_t rank = 0; rank < shares.size(); ++rank) {
      pressure.admit[rank] -= (1.0 - shares[rank]) / count;
    }
    pressure.bottleneck = entry.pressure.bottleneck;
  }
  if (IsCalm(pressure.admit)) return {};
  return pressure;
}

}  // namespace dogwoodrail::core::chain
