#include "core/chain/backpressure_map.h"

#include <algorithm>
#include <chrono>

namespace dogwoodrail::core::chain {
namespace {

// Weight of one answer in the moving average; low because answers of several
// serving nodes of a route alternate.
constexpr double kAnswerWeight = 0.2;
// Increase of the admitted shares for each second without an answer.
constexpr double kRecoveryPerSecond = 0.2;
// Shares from this value on count as full.
constexpr double kFullShare = 0.99;

bool AdmitsAll(const AdmittedShares& shares) {
  return std::all_of(shares.begin(), shares.end(),
                     [](double it) { return it >= kFullShare; });
}

}  // namespace

AdmittedShares BackpressureMap::CurrentShares(const Entry& entry,
                                              base::TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - entry.updated_at).count();
  AdmittedShares shares = entry.backpressure.admit;
  for (double& share : shares) {
    share = std::min(1.0, share + kRecoveryPerSecond * seconds);
  }
  return shares;
}

// The bottleneck named by an answer replaces the previous one. An answer
// without backpressure keeps it until the shares have recovered.
void BackpressureMap::OnAnswer(const base::RouteName& route,
                               const base::NodeAddress& endpoint,
                               std::size_t endpoint_count,
                               const Backpressure& backpressure,
                               base::TimePoint now) {
  const bool admits_all = AdmitsAll(backpressure.admit);
  const auto found = routes_.find(route);
  if (found == routes_.end() && admits_all) return;
  RouteEntry& entries = routes_[route];
  entries.endpoint_count = std::max<std::size_t>(endpoint_count, 1);
  const auto it = entries.endpoints.find(endpoint);
  if (it == entries.endpoints.end()) {
    if (!admits_all) entries.endpoints[endpoint] = Entry{backpressure, now};
    return;
  }
  Entry& entry = it->second;
  AdmittedShares shares = CurrentShares(entry, now);
  for (std::size_t importance = 0; importance < shares.size(); ++importance) {
    shares[importance] +=
        kAnswerWeight * (backpressure.admit[importance] - shares[importance]);
  }
  entry.backpressure.admit = shares;
  if (!admits_all) entry.backpressure.bottleneck = backpressure.bottleneck;
  entry.updated_at = now;
  if (admits_all && AdmitsAll(shares)) entries.endpoints.erase(it);
  if (entries.endpoints.empty()) routes_.erase(route);
}

Backpressure BackpressureMap::Find(const base::RouteName& route,
                                   base::TimePoint now) const {
  const auto it = routes_.find(route);
  if (it == routes_.end()) return {};
  const RouteEntry& entries = it->second;
  const double count = static_cast<double>(
      std::max(entries.endpoint_count, entries.endpoints.size()));
  Backpressure mean;
  for (const auto& [endpoint, entry] : entries.endpoints) {
    const AdmittedShares shares = CurrentShares(entry, now);
    for (std::size_t importance = 0; importance < shares.size(); ++importance) {
      mean.admit[importance] -= (1.0 - shares[importance]) / count;
    }
    mean.bottleneck = entry.backpressure.bottleneck;
  }
  if (AdmitsAll(mean.admit)) return {};
  return mean;
}

}  // namespace dogwoodrail::core::chain
