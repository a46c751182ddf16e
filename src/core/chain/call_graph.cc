#include "core/chain/call_graph.h"

#include <chrono>
#include <vector>

namespace dogwoodrail::core::chain {
namespace {

using std::chrono::microseconds;

// Deadlines are told in whole milliseconds, so a call's deadline can seem to
// lie a little beside that of its parent.
constexpr base::Duration kEarliest = microseconds(500);
constexpr base::Duration kLatest = microseconds(1500);
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
}

void CallGraph::OnEnded(std::uint64_t execution) {
  const auto it = executions_.find(execution);
  if (it == executions_.end()) return;
  running_.erase(it->second);
  executions_.erase(it);
}

// Several executions can share the deadline; each gets its part of the match.
std::optional<ChainOrigin> CallGraph::OnCall(const base::RouteName& called,
                                             base::TimePoint deadline) {
  std::vector<const Parent*> parents;
  auto it = running_.lower_bound(deadline - kLatest);
  for (; it != running_.end() && it->first <= deadline + kEarliest; ++it) {
    parents.push_back(&it->second);
  }
  if (parents.empty()) return GuessOrigin(called, deadline);
  Evidence& evidence = evidence_[called];
  evidence.total += 1;
  for (const Parent* parent : parents) {
    evidence.matches[parent->route] +=
        1.0 / static_cast<double>(parents.size());
  }
  return parents.front()->origin;
}

// A call cannot outlive its parent. The guesses go round the executions that
// are left, so that on average they show the mix of origins.
std::optional<ChainOrigin> CallGraph::GuessOrigin(const base::RouteName& called,
                                                  base::TimePoint deadline) {
  std::vector<const Parent*> parents;
  for (auto it = running_.lower_bound(deadline); it != running_.end(); ++it) {
    if (Calls(it->second.route, called)) parents.push_back(&it->second);
  }
  if (parents.empty()) return std::nullopt;
  return parents[guesses_++ % parents.size()]->origin;
}

void CallGraph::Fade() {
  for (auto& [called, evidence] : evidence_) {
    evidence.total *= kKept;
    for (auto& [parent, matches] : evidence.matches) matches *= kKept;
  }
}

bool CallGraph::Calls(const base::RouteName& caller,
                      const base::RouteName& called) const {
  const auto it = evidence_.find(called);
  if (it == evidence_.end()) return false;
  const auto found = it->second.matches.find(caller);
  if (found == it->second.matches.end()) return false;
  return found->second >= kMinMatches &&
         found->second >= kMinPart * it->second.total;
}

}  // namespace dogwoodrail::core::chain
