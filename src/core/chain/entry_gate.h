#ifndef DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_
#define DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_

#include <cstdint>
#include <unordered_map>

#include "core/base/random_type.h"
#include "core/base/request_type.h"
#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// A request at the entry of a call chain.
struct GateRequest {
  base::RouteName route;
  base::Importance importance = base::Importance::kLookup;
  base::Duration latency_objective{0};
};

// Decision on one request, with the values that led to it for the event log.
struct EntryDecision {
  bool admitted = true;
  base::Duration retry_after{0};
  ServiceHash bottleneck;
  double share = 1.0;  // admitted share of the request's importance
};

// Decides at the entry of a call chain whether a request is admitted, before
// any work is spent on it.
//
// A service may be overloaded that is called at the far end of several chains,
// and a request fails as a whole if one of its calls is refused there. The
// bottleneck reports which share of each importance it can handle; this class
// admits exactly that share, spaced evenly.
class EntryGate {
 public:
  explicit EntryGate(std::uint64_t seed) : random_(seed) {}

  // Decides on a request under the backpressure of its route.
  EntryDecision Decide(const GateRequest& request,
                       const Backpressure& backpressure);

 private:
  base::Duration RetryAfter(const GateRequest& request);

  base::Random random_;
  // Admission credit of each route; a request is admitted for 1.0.
  std::unordered_map<base::RouteName, double> credits_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_ENTRY_GATE_H_
