#include "core/chain/entry_gate.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace dogwoodrail::core::chain {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kDefaultRetryAfter = milliseconds(500);
constexpr base::Duration kLeastRetryAfter = milliseconds(30);
// A caller that comes back within this part of its objective can still be
// served in time.
constexpr double kLeastRetryPart = 0.2;
constexpr double kMostRetryPart = 0.5;

}  // namespace

GateDecision EntryGate::Decide(const GateRequest& request,
                               const Backpressure& pressure) {
  if (pressure.AdmitsAll()) return {};
  const double share =
      pressure.admit[static_cast<std::size_t>(request.importance)];
  const auto [it, added] = credits_.try_emplace(request.route, 0.0);
  if (added) it->second = base::RandomUnit(random_);
  it->second = std::min(it->second + share, 2.0);
  if (it->second >= 1.0) {
    it->second -= 1.0;
    return {true, base::Duration(0), pressure.bottleneck, share};
  }
  return {false, RetryAfter(request), pressure.bottleneck, share};
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
