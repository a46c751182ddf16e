#include "core/route/endpoint_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dogwoodrail::core::route {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Weight of one call in an endpoint's latency and share of refusals.
constexpr double kLatencyWeight = 0.1;
constexpr double kRefusedWeight = 0.1;

// Time after which an old observation counts half.
constexpr base::Duration kObservationHalfLife = seconds(1);

// Age from which a load hint is not used.
constexpr base::Duration kMaxHintAge = seconds(2);

// Age up to which a hint tells whether an endpoint has room, and the share of
// refusals that tells it otherwise.
constexpr base::Duration kFullHintAge = milliseconds(500);
constexpr double kFullRefusedShare = 0.5;

// Latency assumed before any call was answered, microseconds.
constexpr double kAssumedLatency = 10'000;

// Factor by which an endpoint that refuses everything is thought slower.
constexpr double kRefusedCost = 8;

// Calls in flight at an endpoint that do not lengthen the wait, if no hint
// tells its limit.
constexpr double kAssumedLimit = 16;

// Largest limit that a hint is believed.
constexpr double kMaxBelievedLimit = 4096;

// Share of its calls that an endpoint gets when it is new.
constexpr double kFirstRampShare = 0.1;

constexpr base::Duration kThrottledRetryAfter = milliseconds(500);
constexpr base::Duration kNoEndpointRetryAfter = milliseconds(500);
constexpr std::uint32_t kMaxEjectDoublings = 5;

// Random picks before all endpoints are searched in order.
constexpr int kMaxRandomPicks = 4;

// Returns 0.5 to the power of the age in half-lives.
double Freshness(base::TimePoint at, base::TimePoint now) {
  const double age = static_cast<double>((now - at).count());
  return std::exp2(-age / static_cast<double>(kObservationHalfLife.count()));
}

// True if the request may not go to the endpoint.
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

void EndpointChooser::OnAnswered(const CallOutcome& answer,
                                 base::TimePoint now) {
  const auto it = services_.find(answer.service);
  if (it == services_.end()) return;
  it->second.throttle.OnAnswered(answer.account, answer.importance,
                                 answer.result != CallResult::kRefused, now);
  EndpointTable& table = it->second.endpoints;
  Endpoint* endpoint = table.Find(answer.address);
  if (endpoint == nullptr) return;
  if (endpoint->in_flight > 0) --endpoint->in_flight;
  if (answer.hint) TakeHint(endpoint, *answer.hint, now);
  const bool refused = answer.result == CallResult::kRefused ||
                       answer.result == CallResult::kLeaving;
  LearnRefusal(endpoint, refused, now);
  if (answer.result == CallResult::kFailed) {
    OnFailure(&table, endpoint, now);
  } else if (answer.result == CallResult::kOk) {
    endpoint->failures_in_row = 0;
    endpoint->ejections = 0;
    LearnLatency(&table, endpoint, answer.latency, now);
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
    service.endpoints.ReturnEjected(now);
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

std::size_t EndpointChooser::ReadyCount(
    const base::ServiceName& service) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return 0;
  const EndpointTable& table = it->second.endpoints;
  return table.own_zone().size() + table.other_zones().size() +
         table.ejected().size();
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
  if (!IsHeldBack(*better, now)) return better;
  return better == first ? second : first;
}

// The load it answers: one zone has more demand than its backend servers can
// carry while others have room; what crosses is dear, so only the excess does.
Endpoint* EndpointChooser::ChooseZoneFirst(EndpointTable* table,
                                           const ChooseRequest& request,
                                           base::TimePoint now) {
  Endpoint* own = ChooseOfTwo(*table, table->own_zone(), request, now);
  if (own != nullptr && !IsFull(*own, now)) return own;
  Endpoint* other = ChooseOfTwo(*table, table->other_zones(), request, now);
  if (other != nullptr && !IsFull(*other, now)) return other;
  if (own != nullptr) return own;
  if (other != nullptr) return other;
  return PickRandom(table->ejected(), request, nullptr);
}

Endpoint* EndpointChooser::ChooseOfTwo(const EndpointTable& table,
                                       const std::vector<Endpoint*>& list,
                                       const ChooseRequest& request,
                                       base::TimePoint now) {
  Endpoint* first = PickRandom(list, request, nullptr);
  Endpoint* second =
      first == nullptr ? nullptr : PickRandom(list, request, first);
  if (second == nullptr) return first;
  Endpoint* better =
      Cost(table, *first, now) <= Cost(table, *second, now) ? first : second;
  if (!IsHeldBack(*better, now)) return better;
  return better == first ? second : first;
}

bool EndpointChooser::IsFull(const Endpoint& endpoint,
                             base::TimePoint now) const {
  if (endpoint.hint.limit == 0 || now - endpoint.hint_at >= kFullHintAge) {
    return endpoint.refused_share * Freshness(endpoint.refused_at, now) >
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

// A hint tells what other nodes sent; what this node sees itself always counts,
// so that an endpoint that claims to be idle or huge does not look better than
// the latency and refusals it gives.
double EndpointChooser::Cost(const EndpointTable& table,
                             const Endpoint& endpoint,
                             base::TimePoint now) const {
  double load = endpoint.in_flight;
  double limit = kAssumedLimit;
  if (endpoint.hint.limit > 0 && now - endpoint.hint_at < kMaxHintAge) {
    const double hinted = static_cast<double>(endpoint.hint.in_flight) +
                          endpoint.hint.queued + endpoint.sent_since_hint;
    load = std::max(load, hinted);
    limit = std::min<double>(endpoint.hint.limit, kMaxBelievedLimit);
  }
  const double usual = table.latency() > 0 ? table.latency() : kAssumedLatency;
  double latency = usual;
  if (endpoint.latency > 0) {
    latency += (endpoint.latency - usual) * Freshness(endpoint.latency_at, now);
  }
  const double refused =
      endpoint.refused_share * Freshness(endpoint.refused_at, now);
  const bool own_zone = endpoint.info.zone == settings_.own_zone;
  const double penalty =
      own_zone || !settings_.prefer_own_zone
          ? 0
          : static_cast<double>(settings_.other_zone_penalty.count());
  return latency * (1 + load / limit) * (1 + kRefusedCost * refused) + penalty;
}

bool EndpointChooser::IsHeldBack(const Endpoint& endpoint,
                                 base::TimePoint now) {
  const base::Duration age = now - endpoint.ready_since;
  if (age >= settings_.ramp_time) return false;
  const double share = static_cast<double>(age.count()) /
                       static_cast<double>(settings_.ramp_time.count());
  return base::RandomUnit(random_) > std::max(share, kFirstRampShare);
}

void EndpointChooser::TakeHint(Endpoint* endpoint, const LoadHint& hint,
                               base::TimePoint now) {
  endpoint->hint = hint;
  endpoint->hint_at = now;
  endpoint->sent_since_hint = 0;
}

void EndpointChooser::LearnRefusal(Endpoint* endpoint, bool refused,
                                   base::TimePoint now) {
  const double before =
      endpoint->refused_share * Freshness(endpoint->refused_at, now);
  const double value = refused ? 1.0 : 0.0;
  endpoint->refused_share = before + kRefusedWeight * (value - before);
  endpoint->refused_at = now;
}

void EndpointChooser::LearnLatency(EndpointTable* table, Endpoint* endpoint,
                                   base::Duration latency,
                                   base::TimePoint now) {
  const double value = static_cast<double>(latency.count());
  table->LearnLatency(value);
  endpoint->latency =
      endpoint->latency == 0
          ? value
          : endpoint->latency + kLatencyWeight * (value - endpoint->latency);
  endpoint->latency_at = now;
}

void EndpointChooser::OnFailure(EndpointTable* table, Endpoint* endpoint,
                                base::TimePoint now) {
  ++endpoint->failures_in_row;
  if (endpoint->ejected ||
      endpoint->failures_in_row < settings_.eject_after_failures) {
    return;
  }
  const std::uint32_t doublings =
      std::min(endpoint->ejections, kMaxEjectDoublings);
  const base::Duration time = std::min(settings_.eject_time * (1U << doublings),
                                       settings_.max_eject_time);
  table->Eject(endpoint, now + time, settings_.max_ejected_share);
}

}  // namespace dogwoodrail::core::route
