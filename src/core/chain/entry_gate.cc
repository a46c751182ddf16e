#include "core/chain/entry_gate.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace dogwoodrail::core::chain {
namespace {

using std::chrono::milliseconds;

constexpr base::Duration kDefaultRetryAfter = milliseconds(500);
constexpr base::Duration kMinRetryAfter = milliseconds(30);
// Range of Retry-After as a fraction of the latency objective. A caller that
// retries this soon can still be answered within its objective.
constexpr double kMinRetryFraction = 0.2;
constexpr double kMaxRetryFraction = 0.5;

}  // namespace

EntryDecision EntryGate::Decide(const GateRequest& request,
                                const Backpressure& backpressure) {
  if (backpressure.AdmitsAll()) return {};
  const double share =
      backpressure.admit[static_cast<std::size_t>(request.importance)];
  const auto [it, added] = credits_.try_emplace(request.route, 0.0);
  if (added) it->second = base::RandomUnit(random_);
  it->second = std::min(it->second + share, 2.0);
  if (it->second >= 1.0) {
    it->second -= 1.0;
    return {true, base::Duration(0), backpressure.bottleneck, share};
  }
  return {false, RetryAfter(request), backpressure.bottleneck, share};
}

// The delay is random so that requests refused together are not retried
// together.
base::Duration EntryGate::RetryAfter(const GateRequest& request) {
  if (request.latency_objective.count() <= 0) return kDefaultRetryAfter;
  const double fraction =
      kMinRetryFraction +
      (kMaxRetryFraction - kMinRetryFraction) * base::RandomUnit(random_);
  const auto wait = static_cast<base::Duration::rep>(
      fraction * static_cast<double>(request.latency_objective.count()));
  return std::max(kMinRetryAfter, base::Duration(wait));
}

}  // namespace dogwoodrail::core::chain
