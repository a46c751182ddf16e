#include "core/chain/call_graph.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace dogwoodrail::core::chain {
namespace {

using std::chrono::microseconds;

// Deadlines are sent in whole milliseconds, so the deadline of a call can
// differ slightly from that of its parent.
constexpr base::Duration kMaxParentAfter = microseconds(500);
constexpr base::Duration kMaxParentBefore = microseconds(1500);
// Deadlines this far outside the match window coincide by chance only. They
// give the baseline rate of chance matches, which is scaled by the ratio of the
// match window (2 ms) to both margins (20 ms).
constexpr base::Duration kBaselineMargin = microseconds(10000);
constexpr double kMatchWindowRatio = 0.1;
// Fraction of the evidence that one decay step keeps; applied once a second, it
// gives a half-life of about 10 s.
constexpr double kDecayFactor = 0.93;
// Minimum number of matches before a caller is inferred.
constexpr double kMinMatches = 3;
// Routes with a smaller fraction of the calls are taken for coincidence.
constexpr double kMinMatchFraction = 0.1;

}  // namespace

void CallGraph::OnStarted(std::uint64_t execution, const base::RouteName& route,
                          const ChainOrigin& origin, base::TimePoint deadline) {
  executions_[execution] = running_.emplace(deadline, Parent{route, origin});
  ++running_by_route_[route];
}

void CallGraph::OnEnded(std::uint64_t execution) {
  const auto it = executions_.find(execution);
  if (it == executions_.end()) return;
  const auto count = running_by_route_.find(it->second->second.route);
  if (--count->second == 0) running_by_route_.erase(count);
  running_.erase(it->second);
  executions_.erase(it);
}

std::optional<ChainOrigin> CallGraph::OnCall(const base::RouteName& called,
                                             base::TimePoint deadline) {
  Evidence& evidence = evidence_[called];
  evidence.total += 1;
  CountDeadlineMatches(deadline, &evidence);
  CountConcurrentRoutes(&evidence);
  const bool is_new = evidence.total < kMinMatches;
  auto it = running_.lower_bound(deadline - kMaxParentBefore);
  for (; it != running_.end() && it->first <= deadline + kMaxParentAfter;
       ++it) {
    if (is_new || Calls(it->second.route, called)) return it->second.origin;
  }
  return GuessOrigin(called, deadline);
}

// The deadline of a parent is always in the match window of its calls. Those of
// unrelated executions are spread evenly, so their matches cancel out against
// the baseline.
void CallGraph::CountDeadlineMatches(base::TimePoint deadline,
                                     Evidence* evidence) const {
  const base::TimePoint from = deadline - kMaxParentBefore;
  const base::TimePoint to = deadline + kMaxParentAfter;
  auto it = running_.lower_bound(from - kBaselineMargin);
  for (; it != running_.end() && it->first <= to + kBaselineMargin; ++it) {
    const bool matches = it->first >= from && it->first <= to;
    evidence->matches[it->second.route] += matches ? 1.0 : -kMatchWindowRatio;
  }
}

void CallGraph::CountConcurrentRoutes(Evidence* evidence) const {
  const auto total = static_cast<double>(running_.size());
  for (const auto& [route, count] : running_by_route_) {
    evidence->concurrent[route] += static_cast<double>(count) / total;
  }
}

// Only executions whose deadline is not before that of the call can be its
// parent. Picking them in round-robin order reproduces the mix of origins on
// average.
std::optional<ChainOrigin> CallGraph::GuessOrigin(const base::RouteName& called,
                                                  base::TimePoint deadline) {
  std::vector<const base::RouteName*> callers;
  for (const auto& [route, count] : running_by_route_) {
    if (Calls(route, called)) callers.push_back(&route);
  }
  std::vector<const Parent*> parents;
  for (auto it = running_.lower_bound(deadline); it != running_.end(); ++it) {
    const bool may_call = std::any_of(
        callers.begin(), callers.end(),
        [&](const auto* route) { return *route == it->second.route; });
    if (may_call) parents.push_back(&it->second);
  }
  if (parents.empty()) return std::nullopt;
  return parents[guesses_++ % parents.size()]->origin;
}

void CallGraph::DecayEvidence() {
  for (auto& [called, evidence] : evidence_) {
    evidence.total *= kDecayFactor;
    for (auto& [parent, matches] : evidence.matches) matches *= kDecayFactor;
    for (auto& [parent, share] : evidence.concurrent) share *= kDecayFactor;
  }
}

bool CallGraph::IsSignificant(double share, const Evidence& evidence) {
  return share >= kMinMatches && share >= kMinMatchFraction * evidence.total;
}

bool CallGraph::Calls(const base::RouteName& caller,
                      const base::RouteName& called) const {
  const auto found = evidence_.find(called);
  if (found == evidence_.end()) return false;
  const Evidence& evidence = found->second;
  const bool is_matched = std::any_of(
      evidence.matches.begin(), evidence.matches.end(),
      [&](const auto& it) { return IsSignificant(it.second, evidence); });
  const auto& shares = is_matched ? evidence.matches : evidence.concurrent;
  const auto it = shares.find(caller);
  return it != shares.end() && IsSignificant(it->second, evidence);
}

}  // namespace dogwoodrail::core::chain
