#ifndef DOGWOODRAIL_CORE_ROUTE_ENDPOINT_TABLE_H_
#define DOGWOODRAIL_CORE_ROUTE_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/route/route_type.h"

namespace dogwoodrail::core::route {

// State of one serving node. Latencies are in microseconds.
struct Endpoint {
  EndpointInfo info;
  base::TimePoint ready_since;
  std::uint32_t in_flight = 0;  // calls from this node
  LoadHint hint;
  std::uint32_t sent_since_hint = 0;
  base::TimePoint hint_at;
  double latency = 0;  // moving mean, 0 if unknown
  base::TimePoint latency_at;
  double refused_share = 0;  // moving mean
  base::TimePoint refused_at;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t ejections = 0;
  bool ejected = false;
  base::TimePoint ejected_until;
  std::uint64_t sent = 0;
};

// The serving nodes of one service, with lists of those that are ready.
class EndpointTable {
 public:
  EndpointTable(base::ZoneName own_zone, bool prefer_own_zone);

  // Adds or updates an endpoint.
  void Upsert(const EndpointInfo& info, base::TimePoint now);
  // Removes an endpoint.
  void Remove(const base::NodeAddress& address);
  // Returns the endpoint, or nullptr if unknown.
  Endpoint* Find(const base::NodeAddress& address);
  // Ejects an endpoint until the given time. Returns false if it is the last
  // one available or the ejected share would exceed max_share.
  bool Eject(Endpoint* endpoint, base::TimePoint until, double max_share);
  // Restores ejected endpoints whose time is over.
  void RestoreEjected(base::TimePoint now);
  // Updates the mean latency of the service, which is assumed for endpoints
  // without a latency of their own.
  void RecordLatency(double latency);

  // Ready endpoints that are not ejected, in the own zone and in other zones.
  const std::vector<Endpoint*>& own_zone() const { return own_zone_endpoints_; }
  const std::vector<Endpoint*>& other_zones() const {
    return other_zone_endpoints_;
  }
  // Endpoints that are ready but ejected.
  const std::vector<Endpoint*>& ejected() const { return ejected_endpoints_; }
  // Moving mean of the latency over all endpoints, or 0 if unknown.
  double latency() const { return latency_; }
  // All endpoints by address.
  const std::unordered_map<base::NodeAddress, Endpoint>& all() const {
    return endpoints_;
  }

 private:
  // Rebuilds the lists from endpoints_.
  void RebuildLists();

  base::ZoneName own_zone_;
  bool prefer_own_zone_;
  std::unordered_map<base::NodeAddress, Endpoint> endpoints_;
  std::vector<Endpoint*> own_zone_endpoints_;
  std::vector<Endpoint*> other_zone_endpoints_;
  std::vector<Endpoint*> ejected_endpoints_;
  double latency_ = 0;
};

}  // namespace dogwoodrail::core::route

#endif  // DOGWOODRAIL_CORE_ROUTE_ENDPOINT_TABLE_H_
