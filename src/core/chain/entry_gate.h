#ifndef DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_
#define DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_

#include <cstdint>
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
};

// What the gate says.
struct GateDecision {
  bool admitted = true;
  base::Duration retry_after{0};
  // What decided it, for the event log.
  ServiceHash bottleneck;
  double share = 1.0;  // of the request's importance that is let in
};

// Decides at the entry of a chain whether a request is let in, before any work
// is spent on it.
//
// The load it answers: a service deep in several chains cannot follow, and a
// chain that loses one call is lost whole. The bottleneck says which share of
// each importance it can follow; here just that share is let in, evenly.
class EntryGate {
 public:
  explicit EntryGate(std::uint64_t seed) : random_(seed) {}

  // Decides a request under the pressure on its route.
  GateDecision Decide(const GateRequest& request, const Backpressure& pressure);

 private:
  base::Duration RetryAfter(const GateRequest& request);

  base::Random random_;
  // Part of a request that is let in next, by route.
  std::unordered_map<base::RouteName, double> credits_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_
