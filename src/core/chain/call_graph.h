#ifndef DOGWOODRAIL_CORE_CHAIN_CALL_GRAPH_H_
#define DOGWOODRAIL_CORE_CHAIN_CALL_GRAPH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// Infers which routes the executions of a backend server call. A call inherits
// the deadline of the request that made it, so an execution with the same
// deadline is probably its parent. A call with its own, shorter deadline
// matches executions by chance only; the expected number of chance matches is
// subtracted, and any route running at the time of such calls is taken as a
// possible caller. Evidence decays, so that the graph follows changes of the
// service.
class CallGraph {
 public:
  // Records the start of an execution with the deadline that was sent to the
  // backend server.
  void OnStarted(std::uint64_t execution, const base::RouteName& route,
                 const ChainOrigin& origin, base::TimePoint deadline);
  // Records the end of an execution.
  void OnEnded(std::uint64_t execution);
  // Records a call that the backend server made. Returns the origin that it
  // inherits, or nullopt if no parent can be inferred.
  std::optional<ChainOrigin> OnCall(const base::RouteName& called,
                                    base::TimePoint deadline);
  // Applies one step of exponential decay; called about once a second.
  void DecayEvidence();

  // Returns true if executions of `caller` appear to make calls to `called`.
  bool Calls(const base::RouteName& caller,
             const base::RouteName& called) const;
  // Calls fn(route) for each route that has been called.
  template <typename Fn>
  void ForEachCalled(Fn fn) const {
    for (const auto& [called, evidence] : evidence_) fn(called);
  }

 private:
  // Evidence about the callers of one route.
  struct Evidence {
    // By route: executions with the deadline of a call, minus those expected by
    // chance.
    std::unordered_map<base::RouteName, double> matches;
    // By route: its share of the executions that ran at the time of each call,
    // summed over the calls.
    std::unordered_map<base::RouteName, double> concurrent;
    double total = 0;  // calls
  };
  struct Parent {
    base::RouteName route;
    ChainOrigin origin;
  };
  using Running = std::multimap<base::TimePoint, Parent>;

  // Updates `matches` with the executions near the deadline of a call.
  void CountDeadlineMatches(base::TimePoint deadline, Evidence* evidence) const;
  // Updates `concurrent` with the executions that run now.
  void CountConcurrentRoutes(Evidence* evidence) const;
  // Returns true if a route has enough matches to rule out coincidence.
  static bool IsSignificant(double share, const Evidence& evidence);
  // Returns the origin of a possible parent of a call whose deadline matches no
  // execution.
  std::optional<ChainOrigin> GuessOrigin(const base::RouteName& called,
                                         base::TimePoint deadline);

  Running running_;  // by deadline
  std::unordered_map<std::uint64_t, Running::iterator> executions_;
  std::unordered_map<base::RouteName, std::size_t> running_by_route_;
  std::unordered_map<base::RouteName, Evidence> evidence_;
  std::uint64_t guesses_ = 0;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_CALL_GRAPH_H_
