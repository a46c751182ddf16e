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

// Returns the mark of a service.
ServiceHash HashOfService(const base::ServiceName& service);

// The control of whole chains at one node: what its backend server can follow,
// what the services behind that can, and which requests are let in here.
class ChainControl {
 public:
  ChainControl(const ChainSettings& settings, std::uint64_t seed);

  // Takes the load of the backend server beside this node.
  void OnLoad(const base::ServiceName& service, const LoadSample& sample,
              base::TimePoint now);
  // Takes what an answer of one endpoint of a route tells, and how many
  // endpoints there are.
  void OnAnswer(const base::RouteName& route, const base::NodeAddress& endpoint,
                std::size_t endpoint_count, const Backpressure& pressure,
                base::TimePoint now) {
    pressures_.OnAnswer(route, endpoint, endpoint_count, pressure, now);
  }
  // Returns what an answer of this node's backend server on a route tells.
  Backpressure BackpressureOf(const base::RouteName& route,
                              base::TimePoint now) const;
  // Decides a request at the entry of its chain.
  GateDecision Decide(const GateRequest& request, base::TimePoint now);
  // Lets old evidence fade.
  void Tick(base::TimePoint now);

  // Learns the calls of the backend server.
  CallGraph& graph() { return graph_; }
  // What the backend server can follow.
  const LoadControl& load() const { return load_; }
  bool enabled() const { return settings_.enabled; }

 private:
  ChainSettings settings_;
  CallGraph graph_;
  LoadControl load_;
  BackpressureMap pressures_;
  EntryGate gate_;
  ServiceHash own_mark_;
  base::TimePoint faded_at_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_CHAIN_CONTROL_H_
