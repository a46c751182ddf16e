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

// Load balancer over serving nodes: chooses the endpoint of each call by power
// of two choices on the expected latency, with a preference for the own zone.
class EndpointChooser {
 public:
  EndpointChooser(RouteSettings settings, std::uint64_t seed);

  // Adds or updates an endpoint.
  void Upsert(const EndpointInfo& info, base::TimePoint now);
  // Removes an endpoint.
  void Remove(const base::ServiceName& service,
              const base::NodeAddress& address);
  // Chooses an endpoint for a call, or returns the reason to refuse it.
  EndpointChoice Choose(const ChooseRequest& request, base::TimePoint now);
  // Records that a call was sent to the endpoint.
  void OnSent(const base::ServiceName& service,
              const base::NodeAddress& address);
  // Records the outcome of a sent call.
  void OnAnswered(const CallOutcome& outcome, base::TimePoint now);
  // Records that the connection of a sent call was lost before the answer was
  // complete.
  void OnLost(const base::ServiceName& service,
              const base::NodeAddress& address, base::TimePoint now);
  // Restores endpoints whose ejection time is over and erases idle accounts.
  void Tick(base::TimePoint now);

  // Returns true if the service has an endpoint that is ready.
  bool HasReady(const base::ServiceName& service) const;
  // Returns the state of all endpoints.
  std::vector<EndpointSnapshot> Snapshot() const;

 private:
  // The endpoints and the throttle of one service.
  struct Service {
    EndpointTable endpoints;
    CallThrottle throttle;
  };

  // Returns the endpoint, or nullptr if unknown.
  Endpoint* Find(const base::ServiceName& service,
                 const base::NodeAddress& address);
  // Chooses between two random endpoints, one of the own zone and one of
  // another if possible. Returns nullptr if all endpoints are excluded.
  Endpoint* ChooseEndpoint(EndpointTable* table, const ChooseRequest& request,
                           base::TimePoint now);
  // Chooses an endpoint of the own zone unless it is full.
  Endpoint* ChooseZoneFirst(EndpointTable* table, const ChooseRequest& request,
                            base::TimePoint now);
  // Returns the better of two random endpoints of the list, or nullptr.
  Endpoint* ChooseBetterOfTwo(const EndpointTable& table,
                              const std::vector<Endpoint*>& list,
                              const ChooseRequest& request,
                              base::TimePoint now);
  // Returns true if the endpoint is at its limit by its last hint, or by its
  // refusals if the hint is too old.
  bool IsFull(const Endpoint& endpoint, base::TimePoint now) const;
  // Returns a random endpoint of the list that is neither excluded nor `other`,
  // or nullptr.
  Endpoint* PickRandom(const std::vector<Endpoint*>& list,
                       const ChooseRequest& request, const Endpoint* other);
  // Returns the expected latency of a call to the endpoint, in microseconds.
  double Cost(const EndpointTable& table, const Endpoint& endpoint,
              base::TimePoint now) const;
  // Returns true, at random, if the endpoint is still ramping up and is to be
  // skipped for this call.
  bool IsSkippedDuringRamp(const Endpoint& endpoint, base::TimePoint now);
  // Stores a load hint.
  void ApplyHint(Endpoint* endpoint, const LoadHint& hint, base::TimePoint now);
  // Updates the endpoint's moving share of refusals.
  void RecordRefusal(Endpoint* endpoint, bool refused, base::TimePoint now);
  // Updates the moving latencies of the endpoint and of its service.
  void RecordLatency(EndpointTable* table, Endpoint* endpoint,
                     base::Duration latency, base::TimePoint now);
  // Counts a failure and ejects the endpoint after too many consecutive ones.
  void OnFailure(EndpointTable* table, Endpoint* endpoint, base::TimePoint now);

  RouteSettings settings_;
  base::Random random_;
  std::unordered_map<base::ServiceName, Service> services_;
};

}  // namespace dogwoodrail::core::route

#endif  // DOGWOODRAIL_CORE_ROUTE_ENDPOINT_CHOOSER_H_
