#include "core/chain/backpressure_map.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace dogwoodrail::core::chain {
namespace {

// Half-life of an answer's weight.
constexpr double kAnswerHalfLifeSeconds = 0.7;
// An endpoint with fewer recent answers than this is forgotten.
constexpr double kMinAnswers = 0.05;
// After this time without an answer of any endpoint, the admitted shares
// increase, so that requests are admitted that bring new answers.
constexpr double kSilenceSeconds = 0.5;
constexpr double kRecoveryPerSecond = 1.0;
// Shares from this value on count as full.
constexpr double kFullShare = 0.99;

bool AdmitsAll(const AdmittedShares& shares) {
  return std::all_of(shares.begin(), shares.end(),
                     [](double it) { return it >= kFullShare; });
}

double SecondsBetween(base::TimePoint start, base::TimePoint end) {
  return std::chrono::duration<double>(end - start).count();
}

double MinShare(const AdmittedShares& shares) {
  return *std::min_element(shares.begin(), shares.end());
}

}  // namespace

double BackpressureMap::CurrentAnswers(const Entry& entry,
                                       base::TimePoint now) {
  const double age = SecondsBetween(entry.updated_at, now);
  return entry.answers * std::exp2(-age / kAnswerHalfLifeSeconds);
}

double BackpressureMap::Recovery(const RouteEntry& route, base::TimePoint now) {
  const double silence = SecondsBetween(route.answered_at, now);
  return kRecoveryPerSecond * std::max(0.0, silence - kSilenceSeconds);
}

void BackpressureMap::OnAnswer(const base::RouteName& route,
                               const base::NodeAddress& endpoint,
                               const Backpressure& backpressure,
                               base::TimePoint now) {
  RouteEntry& entries = routes_[route];
  entries.answered_at = now;
  Entry& entry = entries.endpoints[endpoint];
  entry.answers = CurrentAnswers(entry, now) + 1;
  entry.backpressure = backpressure;
  entry.updated_at = now;
}

// The bottleneck is that of the endpoint that admits least.
Backpressure BackpressureMap::Find(const base::RouteName& route,
                                   base::TimePoint now) const {
  const auto it = routes_.find(route);
  if (it == routes_.end()) return {};
  Backpressure mean;
  AdmittedShares admitted{};
  double answers = 0;
  double lowest = 1;
  for (const auto& [endpoint, entry] : it->second.endpoints) {
    const double weight = CurrentAnswers(entry, now);
    const AdmittedShares& shares = entry.backpressure.admit;
    answers += weight;
    for (std::size_t importance = 0; importance < shares.size(); ++importance) {
      admitted[importance] += weight * shares[importance];
    }
    if (MinShare(shares) >= lowest) continue;
    lowest = MinShare(shares);
    mean.bottleneck = entry.backpressure.bottleneck;
  }
  if (answers <= 0) return {};
  const double recovery = Recovery(it->second, now);
  for (std::size_t importance = 0; importance < admitted.size(); ++importance) {
    mean.admit[importance] =
        std::min(1.0, admitted[importance] / answers + recovery);
  }
  if (AdmitsAll(mean.admit)) return {};
  return mean;
}

void BackpressureMap::Tick(base::TimePoint now) {
  for (auto route = routes_.begin(); route != routes_.end();) {
    auto& endpoints = route->second.endpoints;
    for (auto it = endpoints.begin(); it != endpoints.end();) {
      const bool is_old = CurrentAnswers(it->second, now) < kMinAnswers;
      it = is_old ? endpoints.erase(it) : std::next(it);
    }
    route = endpoints.empty() ? routes_.erase(route) : std::next(route);
  }
}

std::size_t BackpressureMap::size() const {
  std::size_t count = 0;
  for (const auto& [route, entry] : routes_) count += entry.endpoints.size();
  return count;
}

}  // namespace dogwoodrail::core::chain
