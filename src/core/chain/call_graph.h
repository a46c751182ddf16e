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

// Learns which routes the executions of a backend server call in turn. A call
// expires with the request that made it, so an execution whose deadline it
// carries is likely its parent. Calls with a shorter deadline of their own
// match by chance only, and chance is taken off; for these each route that runs
// while they are made may be the caller. What was seen fades, so that a changed
// service is learned anew.
class CallGraph {
 public:
  // Notes an execution with the deadline that the backend server was told.
  void OnStarted(std::uint64_t execution, const base::RouteName& route,
                 const ChainOrigin& origin, base::TimePoint deadline);
  // Notes its end.
  void OnEnded(std::uint64_t execution);
  // Notes a call that the backend server made. Returns what it inherits, as far
  // as can be told.
  std::optional<ChainOrigin> OnCall(const base::RouteName& called,
                                    base::TimePoint deadline);
  // Lets old evidence fade; called about once a second.
  void Fade();

  // True if executions of the one route make calls on the other.
  bool Calls(const base::RouteName& caller,
             const base::RouteName& called) const;
  // Routes that have been called.
  template <typename Fn>
  void ForEachCalled(Fn fn) const {
    for (const auto& [called, evidence] : evidence_) fn(called);
  }

 private:
  // Calls on one route.
  struct Evidence {
    // Executions that carried a call's deadline, less those expected by chance,
    // by their route.
    std::unordered_map<base::RouteName, double> matches;
    // Share of each route in what ran during the calls.
    std::unordered_map<base::RouteName, double> present;
    double total = 0;
  };
  struct Parent {
    base::RouteName route;
    ChainOrigin origin;
  };
  using Running = std::multimap<base::TimePoint, Parent>;

  // Notes what the deadline of a call tells of its parent.
  void Compare(base::TimePoint deadline, Evidence* evidence) const;
  // Notes which routes run while a call is made.
  void NotePresent(Evidence* evidence) const;
  // True if the share of a route in the evidence is no coincidence.
  static bool IsEnough(double share, const Evidence& evidence);
  // Returns the origin of one of the executions that may have made a call that
  // matches none.
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
