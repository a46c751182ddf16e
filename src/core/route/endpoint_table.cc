#include "core/route/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::core::route {
namespace {

// Weight of one call in the moving latency of the service.
constexpr double kLatencyWeight = 0.02;

}  // namespace

EndpointTable::EndpointTable(base::ZoneName own_zone, bool prefer_own_zone)
    : own_zone_(std::move(own_zone)), prefer_own_zone_(prefer_own_zone) {}

void EndpointTable::Upsert(const EndpointInfo& info, base::TimePoint now) {
  const auto [it, added] = endpoints_.try_emplace(info.address);
  Endpoint& endpoint = it->second;
  const bool ready = info.state == base::BackendServerState::kReady;
  const bool was_ready =
      !added && endpoint.info.state == base::BackendServerState::kReady;
  const bool moved = added || endpoint.info.zone != info.zone;
  endpoint.info = info;
  if (ready && !was_ready) {
    endpoint.ready_since = now;
    endpoint.consecutive_failures = 0;
    endpoint.ejected = false;
  }
  if (moved || ready != was_ready) RebuildLists();
}

void EndpointTable::Remove(const base::NodeAddress& address) {
  if (endpoints_.erase(address) > 0) RebuildLists();
}

Endpoint* EndpointTable::Find(const base::NodeAddress& address) {
  const auto it = endpoints_.find(address);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointTable::Eject(Endpoint* endpoint, base::TimePoint until,
                          double max_share) {
  const std::size_t available =
      own_zone_endpoints_.size() + other_zone_endpoints_.size();
  const double total =
      static_cast<double>(available + ejected_endpoints_.size());
  const double ejected = static_cast<double>(ejected_endpoints_.size() + 1);
  if (available <= 1 || ejected > max_share * total) return false;
  endpoint->ejected = true;
  endpoint->ejected_until = until;
  ++endpoint->ejections;
  RebuildLists();
  return true;
}

void EndpointTable::RestoreEjected(base::TimePoint now) {
  bool changed = false;
  for (Endpoint* endpoint : ejected_endpoints_) {
    if (endpoint->ejected_until > now) continue;
    endpoint->ejected = false;
    endpoint->consecutive_failures = 0;
    changed = true;
  }
  if (changed) RebuildLists();
}

void EndpointTable::RecordLatency(double latency) {
  latency_ = latency_ == 0 ? latency
                           : latency_ + kLatencyWeight * (latency - latency_);
}

void EndpointTable::RebuildLists() {
  own_zone_endpoints_.clear();
  other_zone_endpoints_.clear();
  ejected_endpoints_.clear();
  for (auto& [address, endpoint] : endpoints_) {
    if (endpoint.info.state != base::BackendServerState::kReady) continue;
    const bool own = prefer_own_zone_ && endpoint.info.zone == own_zone_;
    auto& list = endpoint.ejected
                     ? ejected_endpoints_
                     : (own ? own_zone_endpoints_ : other_zone_endpoints_);
    list.push_back(&endpoint);
  }
  // Sorted so that runs are reproducible: hash table order is unspecified.
  const auto by_address = [](const Endpoint* a, const Endpoint* b) {
    return a->info.address < b->info.address;
  };
  std::sort(own_zone_endpoints_.begin(), own_zone_endpoints_.end(), by_address);
  std::sort(other_zone_endpoints_.begin(), other_zone_endpoints_.end(),
            by_address);
  std::sort(ejected_endpoints_.begin(), ejected_endpoints_.end(), by_address);
}

}  // namespace dogwoodrail::core::route
