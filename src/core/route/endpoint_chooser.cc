#include "core/route/endpoint_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwoodrail::core::route {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Weight of one call in the moving latency and refusal share of an endpoint.
constexpr double kLatencyWeight = 0.1;
constexpr double kRefusedWeight = 0.1;

// Half-life of observations of an endpoint.
constexpr base::Duration kObservationHalfLife = seconds(1);

// Load hints of this age or older are ignored in Cost.
constexpr base::Duration kMaxHintAge = seconds(2);

// Hints younger than this decide whether an endpoint is full; otherwise it
// counts as full above this share of refusals.
constexpr base::Duration kMaxFullHintAge = milliseconds(500);
constexpr double kFullRefusedShare = 0.5;

// Latency assumed until a call was answered, in microseconds.
constexpr double kDefaultLatency = 10'000;

// Relative increase of the expected latency for an endpoint that refuses all
// calls.
constexpr double kRefusalPenalty = 8;

// Concurrency limit assumed for an endpoint without a recent hint.
constexpr double kDefaultLimit = 16;

// Maximum limit accepted from a hint.
constexpr double kMaxHintedLimit = 4096;

// Share of its calls that a new endpoint gets at the start of its ramp.
constexpr double kMinRampShare = 0.1;

constexpr base::Duration kThrottledRetryAfter = milliseconds(500);
constexpr base::Duration kNoEndpointRetryAfter = milliseconds(500);
constexpr std::uint32_t kMaxEjectDoublings = 5;

// Random picks before the list is searched in order.
constexpr int kMaxRandomPicks = 4;

// Returns the weight of an observation by its age.
double ObservationWeight(base::TimePoint at, base::TimePoint now) {
  const double age = static_cast<double>((now - at).count());
  return std::exp2(-age / static_cast<double>(kObservationHalfLife.count()));
}

// Returns true if the request must not go to the endpoint.
bool IsExcluded(const ChooseRequest& request, const Endpoint& endpoint) {
  return std::find(request.excluded.begin(), request.excluded.end(),
                   endpoint.info.address) != request.excluded.end();
}

}  // namespace

EndpointChooser::EndpointChooser(RouteSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

void EndpointChooser::Upsert(const EndpointInfo& info, base::TimePoint now) {
  const auto [it, added] = services_.try_emplace(
      info.service,
      Service{EndpointTable(settings_.own_zone, settings_.prefer_own_zone),
              CallThrottle(settings_.throttle)});
  it->second.endpoints.Upsert(info, now);
}

void EndpointChooser::Remove(const base::ServiceName& service,
                             const base::NodeAddress& address) {
  const auto it = services_.find(service);
  if (it != services_.end()) it->second.endpoints.Remove(address);
}

EndpointChoice EndpointChooser::Choose(const ChooseRequest& request,
                                       base::TimePoint now) {
  const auto it = services_.find(request.service);
  if (it == services_.end()) {
    return {base::NodeAddress(), base::Reason::kNoBackendServer,
            kNoEndpointRetryAfter};
  }
  Service& service = it->second;
  const Endpoint* endpoint = ChooseEndpoint(&service.endpoints, request, now);
  if (endpoint == nullptr) {
    return {base::NodeAddress(), base::Reason::kNoBackendServer,
            kNoEndpointRetryAfter};
  }
  const bool allowed = service.throttle.Allow(
      request.account, request.importance, &random_, now);
  if (!allowed && request.may_throttle) {
    return {base::NodeAddress(), base::Reason::kOverloaded,
            kThrottledRetryAfter};
  }
  return {endpoint->info.address, base::Reason::kNone, base::Duration(0)};
}

void EndpointChooser::OnSent(const base::ServiceName& service,
                             const base::NodeAddress& address) {
  Endpoint* endpoint = Find(service, address);
  if (endpoint == nullptr) return;
  ++endpoint->in_flight;
  ++endpoint->sent_since_hint;
  ++endpoint->sent;
}

void EndpointChooser::OnAnswered(const CallOutcome& outcome,
                                 base::TimePoint now) {
  const auto it = services_.find(outcome.service);
  if (it == services_.end()) return;
  it->second.throttle.OnAnswered(outcome.account, outcome.importance,
                                 outcome.result != CallResult::kRefused, now);
  EndpointTable& table = it->second.endpoints;
  Endpoint* endpoint = table.Find(outcome.address);
  if (endpoint == nullptr) return;
  if (endpoint->in_flight > 0) --endpoint->in_flight;
  if (outcome.hint) ApplyHint(endpoint, *outcome.hint, now);
  const bool refused = outcome.result == CallResult::kRefused ||
                       outcome.result == CallResult::kLeaving;
  RecordRefusal(endpoint, refused, now);
  if (outcome.result == CallResult::kFailed) {
    OnFailure(&table, endpoint, now);
  } else if (outcome.result == CallResult::kOk) {
    endpoint->consecutive_failures = 0;
    endpoint->ejections = 0;
    RecordLatency(&table, endpoint, outcome.latency, now);
  }
}

void EndpointChooser::OnLost(const base::ServiceName& service,
                             const base::NodeAddress& address,
                             base::TimePoint now) {
  const auto it = services_.find(service);
  if (it == services_.end()) return;
  Endpoint* endpoint = it->second.endpoints.Find(address);
  if (endpoint == nullptr) return;
  if (endpoint->in_flight > 0) --endpoint->in_flight;
  OnFailure(&it->second.endpoints, endpoint, now);
}

void EndpointChooser::Tick(base::TimePoint now) {
  for (auto& [name, service] : services_) {
    service.endpoints.RestoreEjected(now);
    service.throttle.Tick(now);
  }
}

bool EndpointChooser::HasReady(const base::ServiceName& service) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  const EndpointTable& table = it->second.endpoints;
  return !table.own_zone().empty() || !table.other_zones().empty() ||
         !table.ejected().empty();
}

std::vector<EndpointSnapshot> EndpointChooser::Snapshot() const {
  std::vector<EndpointSnapshot> rows;
  for (const auto& [name, service] : services_) {
    for (const auto& [address, endpoint] : service.endpoints.all()) {
      rows.push_back(
          {endpoint.info, endpoint.in_flight, endpoint.ejected,
           base::Duration(static_cast<base::Duration::rep>(endpoint.latency)),
           endpoint.refused_share, endpoint.sent});
    }
  }
  return rows;
}

Endpoint* EndpointChooser::Find(const base::ServiceName& service,
                                const base::NodeAddress& address) {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : it->second.endpoints.Find(address);
}

Endpoint* EndpointChooser::ChooseEndpoint(EndpointTable* table,
                                          const ChooseRequest& request,
                                          base::TimePoint now) {
  if (settings_.zone_first) return ChooseZoneFirst(table, request, now);
  Endpoint* first = PickRandom(table->own_zone(), request, nullptr);
  Endpoint* second = PickRandom(table->other_zones(), request, nullptr);
  if (first == nullptr) {
    first = PickRandom(table->other_zones(), request, second);
  } else if (second == nullptr) {
    second = PickRandom(table->own_zone(), request, first);
  }
  if (first == nullptr && second == nullptr) {
    return PickRandom(table->ejected(), request, nullptr);
  }
  if (first == nullptr || second == nullptr) {
    return first != nullptr ? first : second;
  }
  Endpoint* better =
      Cost(*table, *first, now) <= Cost(*table, *second, now) ? first : second;
  if (!IsSkippedDuringRamp(*better, now)) return better;
  return better == first ? second : first;
}

// Intended for zones with more demand than their backend servers can carry
// while other zones have spare capacity. Traffic between zones is expensive, so
// only the excess leaves the zone.
Endpoint* EndpointChooser::ChooseZoneFirst(EndpointTable* table,
                                           const ChooseRequest& request,
                                           base::TimePoint now) {
  Endpoint* own = ChooseBetterOfTwo(*table, table->own_zone(), request, now);
  if (own != nullptr && !IsFull(*own, now)) return own;
  Endpoint* other =
      ChooseBetterOfTwo(*table, table->other_zones(), request, now);
  if (other != nullptr && !IsFull(*other, now)) return other;
  if (own != nullptr) return own;
  if (other != nullptr) return other;
  return PickRandom(table->ejected(), request, nullptr);
}

Endpoint* EndpointChooser::ChooseBetterOfTwo(const EndpointTable& table,
                                             const std::vector<Endpoint*>& list,
                                             const ChooseRequest& request,
                                             base::TimePoint now) {
  Endpoint* first = PickRandom(list, request, nullptr);
  Endpoint* second =
      first == nullptr ? nullptr : PickRandom(list, request, first);
  if (second == nullptr) return first;
  Endpoint* better =
      Cost(table, *first, now) <= Cost(table, *second, now) ? first : second;
  if (!IsSkippedDuringRamp(*better, now)) return better;
  return better == first ? second : first;
}

bool EndpointChooser::IsFull(const Endpoint& endpoint,
                             base::TimePoint now) const {
  if (endpoint.hint.limit == 0 || now - endpoint.hint_at >= kMaxFullHintAge) {
    return endpoint.refused_share *
               ObservationWeight(endpoint.refused_at, now) >
           kFullRefusedShare;
  }
  const double load = static_cast<double>(endpoint.hint.in_flight) +
                      endpoint.hint.queued + endpoint.sent_since_hint;
  return load >= endpoint.hint.limit;
}

Endpoint* EndpointChooser::PickRandom(const std::vector<Endpoint*>& list,
                                      const ChooseRequest& request,
                                      const Endpoint* other) {
  if (list.empty()) return nullptr;
  for (int it = 0; it < kMaxRandomPicks; ++it) {
    Endpoint* endpoint = list[base::RandomBelow(random_, list.size())];
    if (endpoint != other && !IsExcluded(request, *endpoint)) return endpoint;
  }
  for (Endpoint* endpoint : list) {
    if (endpoint != other && !IsExcluded(request, *endpoint)) return endpoint;
  }
  return nullptr;
}

// Hints include the load from other nodes. The load, latency and refusals that
// this node observes always count too, so that a wrong hint of a low load or a
// high limit does not attract calls.
double EndpointChooser::Cost(const EndpointTable& table,
                             const Endpoint& endpoint,
                             base::TimePoint now) const {
  double load = endpoint.in_flight;
  double limit = kDefaultLimit;
  if (endpoint.hint.limit > 0 && now - endpoint.hint_at < kMaxHintAge) {
    const double hinted = static_cast<double>(endpoint.hint.in_flight) +
                          endpoint.hint.queued + endpoint.sent_since_hint;
    load = std::max(load, hinted);
    limit = std::min<double>(endpoint.hint.limit, kMaxHintedLimit);
  }
  const double service_latency =
      table.latency() > 0 ? table.latency() : kDefaultLatency;
  double latency = service_latency;
  if (endpoint.latency > 0) {
    latency += (endpoint.latency - service_latency) *
               ObservationWeight(endpoint.latency_at, now);
  }
  const double refused =
      endpoint.refused_share * ObservationWeight(endpoint.refused_at, now);
  const bool own_zone = endpoint.info.zone == settings_.own_zone;
  const double penalty =
      own_zone || !settings_.prefer_own_zone
          ? 0
          : static_cast<double>(settings_.other_zone_penalty.count());
  return latency * (1 + load / limit) * (1 + kRefusalPenalty * refused) +
         penalty;
}

bool EndpointChooser::IsSkippedDuringRamp(const Endpoint& endpoint,
                                          base::TimePoint now) {
  const base::Duration age = now - endpoint.ready_since;
  if (age >= settings_.ramp_time) return false;
  const double share = static_cast<double>(age.count()) /
                       static_cast<double>(settings_.ramp_time.count());
  return base::RandomUnit(random_) > std::max(share, kMinRampShare);
}

void EndpointChooser::ApplyHint(Endpoint* endpoint, const LoadHint& hint,
                                base::TimePoint now) {
  endpoint->hint = hint;
  endpoint->hint_at = now;
  endpoint->sent_since_hint = 0;
}

void EndpointChooser::RecordRefusal(Endpoint* endpoint, bool refused,
                                    base::TimePoint now) {
  const double before =
      endpoint->refused_share * ObservationWeight(endpoint->refused_at, now);
  const double value = refused ? 1.0 : 0.0;
  endpoint->refused_share = before + kRefusedWeight * (value - before);
  endpoint->refused_at = now;
}

void EndpointChooser::RecordLatency(EndpointTable* table, Endpoint* endpoint,
                                    base::Duration latency,
                                    base::TimePoint now) {
  const double value = static_cast<double>(latency.count());
  table->RecordLatency(value);
  endpoint->latency =
      endpoint->latency == 0
          ? value
          : endpoint->latency + kLatencyWeight * (value - endpoint->latency);
  endpoint->latency_at = now;
}

void EndpointChooser::OnFailure(EndpointTable* table, Endpoint* endpoint,
                                base::TimePoint now) {
  ++endpoint->consecutive_failures;
  if (endpoint->ejected ||
      endpoint->consecutive_failures < settings_.eject_after_failures) {
    return;
  }
  const std::uint32_t doublings =
      std::min(endpoint->ejections, kMaxEjectDoublings);
  const base::Duration time = std::min(settings_.eject_time * (1U << doublings),
                                       settings_.max_eject_time);
  table->Eject(endpoint, now + time, settings_.max_ejected_share);
}

}  // namespace dogwoodrail::core::route
