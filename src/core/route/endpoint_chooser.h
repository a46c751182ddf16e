#ifndef DOGWOODRAIL_CORE_ROUTE_ENDPOINT_CHOOSER_H_
#define DOGWOODRAIL_CORE_ROUTE_ENDPOINT_CHOOSER_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/base/random_type.h"
#include "core/route/call_throttle.h"
#include "core/route/endpoint_table.h"
#include "core/route/route_type.h"

namespace dogwoodrail::core::route {

// Chooses the serving node for each call: the better of two by expected
// latency, the own zone preferred.
class EndpointChooser {
 public:
  EndpointChooser(RouteSettings settings, std::uint64_t seed);

  // Adds an endpoint or takes over its new state.
  void Upsert(const EndpointInfo& info, base::TimePoint now);
  // Removes an endpoint.
  void Remove(const base::ServiceName& service,
              const base::NodeAddress& address);
  // Returns an endpoint for a call, or why there is none.
  EndpointChoice Choose(const ChooseRequest& request, base::TimePoint now);
  // Notes that a call was sent to the endpoint.
  void OnSent(const base::ServiceName& service,
              const base::NodeAddress& address);
  // Notes how a sent call ended.
  void OnAnswered(const CallOutcome& answer, base::TimePoint now);
  // Notes that a sent call's connection was lost before a whole answer.
  void OnLost(const base::ServiceName& service,
              const base::NodeAddress& address, base::TimePoint now);
  // Returns ejected endpoints whose time is over and forgets idle accounts.
  void Tick(base::TimePoint now);

  // True if the service has an endpoint that takes calls.
  bool HasReady(const base::ServiceName& service) const;
  // Number of endpoints of the service that take calls, ejected ones included.
  std::size_t ReadyCount(const base::ServiceName& service) const;
  // Returns all endpoints for the operator.
  std::vector<EndpointSnapshot> Snapshot() const;

 private:
  // The endpoints of one service and the throttle for it.
  struct Service {
    EndpointTable endpoints;
    CallThrottle throttle;
  };

  // Returns an endpoint, or nullptr.
  Endpoint* Find(const base::ServiceName& service,
                 const base::NodeAddress& address);
  // Returns an endpoint by two random choices, nullptr if all are excluded.
  Endpoint* ChooseEndpoint(EndpointTable* table, const ChooseRequest& request,
                           base::TimePoint now);
  // Returns an endpoint of the own zone unless that has no room.
  Endpoint* ChooseZoneFirst(EndpointTable* table, const ChooseRequest& request,
                            base::TimePoint now);
  // Returns the better of two random endpoints of the list, or nullptr.
  Endpoint* ChooseOfTwo(const EndpointTable& table,
                        const std::vector<Endpoint*>& list,
                        const ChooseRequest& request, base::TimePoint now);
  // True if the endpoint has said that all its places are taken.
  bool IsFull(const Endpoint& endpoint, base::TimePoint now) const;
  // Returns a random endpoint of the list that is neither excluded nor `other`.
  Endpoint* PickRandom(const std::vector<Endpoint*>& list,
                       const ChooseRequest& request, const Endpoint* other);
  // Returns the expected latency of a call to the endpoint, microseconds.
  double Cost(const EndpointTable& table, const Endpoint& endpoint,
              base::TimePoint now) const;
  // True if the endpoint is new and not to be chosen this time.
  bool IsHeldBack(const Endpoint& endpoint, base::TimePoint now);
  // Takes over a load hint.
  void TakeHint(Endpoint* endpoint, const LoadHint& hint, base::TimePoint now);
  // Learns the endpoint's share of refusals.
  void LearnRefusal(Endpoint* endpoint, bool refused, base::TimePoint now);
  // Learns the latency of an executed call.
  void LearnLatency(EndpointTable* table, Endpoint* endpoint,
                    base::Duration latency, base::TimePoint now);
  // Counts a failure and ejects the endpoint if it has too many.
  void OnFailure(EndpointTable* table, Endpoint* endpoint, base::TimePoint now);

  RouteSettings settings_;
  base::Random random_;
  std::unordered_map<base::ServiceName, Service> services_;
};

}  // namespace dogwoodrail::core::route

#endif  // DOGWOODRAIL_CORE_ROUTE_ENDPOINT_CHOOSER_H_
