#include "core/chain/call_graph.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace dogwoodrail::core::chain {
namespace {

using std::chrono::microseconds;

// Deadlines are told in whole milliseconds, so a call's deadline can seem to
// lie a little beside that of its parent.
constexpr base::Duration kEarliest = microseconds(500);
constexpr base::Duration kLatest = microseconds(1500);
// Time on each side of a match in which deadlines lie by chance only, and the
// part of it that a match takes.
constexpr base::Duration kBesides = microseconds(10000);
constexpr double kMatchPart = 0.1;
// Evidence that is left after one fading; about 10 s until it counts half.
constexpr double kKept = 0.93;
// Matches below which nothing is concluded.
constexpr double kMinMatches = 3;
// Least part of the matches that is no coincidence.
constexpr double kMinPart = 0.1;

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
  Compare(deadline, &evidence);
  NotePresent(&evidence);
  const bool is_new = evidence.total < kMinMatches;
  auto it = running_.lower_bound(deadline - kLatest);
  for (; it != running_.end() && it->first <= deadline + kEarliest; ++it) {
    if (is_new || Calls(it->second.route, called)) return it->second.origin;
  }
  return GuessOrigin(called, deadline);
}

// A parent lies in the match with each of its calls. Others lie there as often
// as besides it.
void CallGraph::Compare(base::TimePoint deadline, Evidence* evidence) const {
  const base::TimePoint from = deadline - kLatest;
  const base::TimePoint to = deadline + kEarliest;
  auto it = running_.lower_bound(from - kBesides);
  for (; it != running_.end() && it->first <= to + kBesides; ++it) {
    const bool matches = it->first >= from && it->first <= to;
    evidence->matches[it->second.route] += matches ? 1.0 : -kMatchPart;
  }
}

void CallGraph::NotePresent(Evidence* evidence) const {
  const auto total = static_cast<double>(running_.size());
  for (const auto& [route, count] : running_by_route_) {
    evidence->present[route] += static_cast<double>(count) / total;
  }
}

// A call cannot outlive its parent. The guesses go round the executions that
// are left, so that on average they show the mix of origins.
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

void CallGraph::Fade() {
  for (auto& [called, evidence] : evidence_) {
    evidence.total *= kKept;
    for (auto& [parent, matches] : evidence.matches) matches *= kKept;
    for (auto& [parent, share] : evidence.present) share *= kKept;
  }
}

bool CallGraph::IsEnough(double share, const Evidence& evidence) {
  return share >= kMinMatches && share >= kMinPart * evidence.total;
}

bool CallGraph::Calls(const base::RouteName& caller,
                      const base::RouteName& called) const {
  const auto found = evidence_.find(called);
  if (found == evidence_.end()) return false;
  const Evidence& evidence = found->second;
  const bool is_matched = std::any_of(
      evidence.matches.begin(), evidence.matches.end(),
      [&](const auto& it) { return IsEnough(it.second, evidence); });
  const auto& shares = is_matched ? evidence.matches : evidence.present;
  const auto it = shares.find(caller);
  return it != shares.end() && IsEnough(it->second, evidence);
}

}  // namespace dogwoodrail::core::chain
