#include "core/chain/entry_gate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dogwoodrail::core::chain {
namespace {

using std::chrono::milliseconds;

// Time after which an arrival counts a third.
constexpr double kMemorySeconds = 1.0;
// A caller with less of the usual time left than this has been here before.
constexpr double kFreshPart = 0.97;
constexpr base::Duration kDefaultRetryAfter = milliseconds(500);
constexpr base::Duration kLeastRetryAfter = milliseconds(30);
// A caller that comes back within this part of its objective can still be
// served in time.
constexpr double kLeastRetryPart = 0.2;
constexpr double kMostRetryPart = 0.5;

}  // namespace

EntryGate::EntryGate(const ChainSettings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

GateVerdict EntryGate::Decide(const GateRequest& request,
                              const Pressure& pressure, base::TimePoint now) {
  const std::size_t rank = RankOf(request);
  if (pressure.bottleneck == ServiceMark()) return {};
  Demand& demand = demands_[pressure.bottleneck];
  const double seconds = std::chrono::duration<double>(now - demand.at).count();
  const double kept = std::exp(-seconds / kMemorySeconds);
  for (double& it : demand.arrivals) it *= kept;
  demand.at = now;
  demand.arrivals[rank] += 1;
  demand.credit[rank] += ShareOf(demand, rank, pressure.admit);
  if (demand.credit[rank] >= 1.0) {
    demand.credit[rank] -= 1.0;
    return {};
  }
  return {false, RetryAfter(request)};
}

std::size_t EntryGate::RankOf(const GateRequest& request) {
  const bool back = HasComeBack(request);
  return 2 * static_cast<std::size_t>(request.importance) + (back ? 1 : 0);
}

// Callers of a route start with the same time; one that has waited for its
// return has less of it left.
bool EntryGate::HasComeBack(const GateRequest& request) {
  if (!request.time_left) return false;
  base::Duration& longest = longest_time_[request.route];
  longest = std::max(longest, *request.time_left);
  return static_cast<double>(request.time_left->count()) <
         kFreshPart * static_cast<double>(longest.count());
}

// The ranks above take their part of what may go on first.
double EntryGate::ShareOf(const Demand& demand, std::size_t rank,
                          double admit) const {
  double total = 0;
  double above = 0;
  for (std::size_t it = 0; it < kRankCount; ++it) {
    total += demand.arrivals[it];
    if (it > rank) above += demand.arrivals[it];
  }
  const double left = admit * total - above;
  const double share = left / std::max(demand.arrivals[rank], 1e-9);
  const double least = settings_.min_share * admit;
  return std::clamp(share, least, 1.0);
}

// Returns are spread, so that those refused together do not come together.
base::Duration EntryGate::RetryAfter(const GateRequest& request) {
  if (request.latency_objective.count() <= 0) return kDefaultRetryAfter;
  const double part = kLeastRetryPart + (kMostRetryPart - kLeastRetryPart) *
                                            base::RandomUnit(random_);
  const auto wait = static_cast<base::Duration::rep>(
      part * static_cast<double>(request.latency_objective.count()));
  return std::max(kLeastRetryAfter, base::Duration(wait));
}

}  // namespace dogwoodrail::core::chain
