#ifndef DOGWOODRAIL_CORE_CHAIN_CHAIN_CONTROL_H_
#define DOGWOODRAIL_CORE_CHAIN_CHAIN_CONTROL_H_

#include <cstdint>
#include <string>

#include "core/chain/backpressure_map.h"
#include "core/chain/call_graph.h"
#include "core/chain/chain_type.h"
#include "core/chain/entry_gate.h"
#include "core/chain/load_control.h"

namespace dogwoodrail::core::chain {

// Returns the hash by which answers name a service.
ServiceHash HashOfService(const base::ServiceName& service);

// Overload control of call chains at one node: tracks the capacity of its
// backend server and of the downstream services, and decides which requests are
// admitted at the entry of a chain.
class ChainControl {
 public:
  ChainControl(const ChainSettings& settings, std::uint64_t seed);

  // Updates the load of this node's own backend server.
  void OnLoad(const base::ServiceName& service, const LoadSample& sample,
              base::TimePoint now);
  // Updates the backpressure of a route from an answer of one of its endpoints.
  void OnAnswer(const base::RouteName& route, const base::NodeAddress& endpoint,
                const Backpressure& backpressure, base::TimePoint now) {
    backpressures_.OnAnswer(route, endpoint, backpressure, now);
  }
  // Returns the backpressure to send with answers of this node's backend server
  // on a route.
  Backpressure BackpressureOf(const base::RouteName& route,
                              base::TimePoint now) const;
  // Decides whether a request is admitted at the entry of its chain.
  EntryDecision Decide(const GateRequest& request, base::TimePoint now);
  // Decays the evidence of the call graph about once a second.
  void Tick(base::TimePoint now);

  // Which routes call which, inferred from the calls of the backend server.
  CallGraph& graph() { return graph_; }
  // Load control of this node's own backend server.
  const LoadControl& load() const { return load_; }
  bool enabled() const { return settings_.enabled; }

 private:
  ChainSettings settings_;
  CallGraph graph_;
  LoadControl load_;
  BackpressureMap backpressures_;
  EntryGate gate_;
  ServiceHash own_service_;
  base::TimePoint decayed_at_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_CHAIN_CONTROL_H_
