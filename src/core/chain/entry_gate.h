#ifndef DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_
#define DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <unordered_map>

#include "core/base/random_type.h"
#include "core/base/request_type.h"
#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// A request that asks to enter a chain.
struct GateRequest {
  base::RouteName route;
  base::Importance importance = base::Importance::kLookup;
  base::Duration latency_objective{0};
  std::optional<base::Duration> time_left;  // as its caller told
};

// What the gate says.
struct GateVerdict {
  bool admitted = true;
  base::Duration retry_after{0};
};

// Decides at the entry of a chain whether a request is let in, before any work
// is spent on it.
//
// The load it answers: a service deep in several chains cannot follow, and a
// chain that loses one call is lost whole. Of all routes that lead to the same
// bottleneck, the admitted share goes to the most important requests first,
// and within one importance to those that have come back after a refusal.
class EntryGate {
 public:
  EntryGate(const ChainSettings& settings, std::uint64_t seed);

  // Decides a request under the pressure on its route.
  GateVerdict Decide(const GateRequest& request, const Pressure& pressure,
                     base::TimePoint now);

 private:
  // Requests of one importance, newcomers apart from those that came back.
  static constexpr std::size_t kRankCount = 2 * base::kImportanceCount;

  // Recent arrivals that lead to one bottleneck.
  struct Demand {
    std::array<double, kRankCount> arrivals{};  // by rank, fading
    std::array<double, kRankCount> credit{};
    base::TimePoint at;
  };

  // Rank of a request; higher ranks are let in first.
  std::size_t RankOf(const GateRequest& request);
  // True if the caller has less time than a fresh request on the route.
  bool HasComeBack(const GateRequest& request);
  // Share of a rank that is let in.
  double ShareOf(const Demand& demand, std::size_t rank, double admit) const;
  base::Duration RetryAfter(const GateRequest& request);

  ChainSettings settings_;
  base::Random random_;
  std::unordered_map<ServiceMark, Demand> demands_;
  std::unordered_map<base::RouteName, base::Duration> longest_time_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_
