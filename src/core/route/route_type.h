#ifndef DOGWOODRAIL_CORE_ROUTE_ROUTE_TYPE_H_
#define DOGWOODRAIL_CORE_ROUTE_ROUTE_TYPE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/backend_server_type.h"
#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::route {

// Settings of the client-side throttle.
struct ThrottleSettings {
  // Calls beyond this number per accepted call are throttled; 0 disables the
  // throttle.
  double calls_per_accepted = 2.0;
  // Half-life of the counted calls.
  base::Duration half_life = std::chrono::milliseconds(250);
};

// Settings of the load balancing over serving nodes.
struct RouteSettings {
  base::ZoneName own_zone;
  // Added to the expected latency of endpoints in other zones.
  base::Duration other_zone_penalty = std::chrono::milliseconds(3);
  bool prefer_own_zone = true;
  // Uses other zones only for calls that exceed the capacity of the own zone.
  bool zone_first = false;
  // Time over which a new endpoint is ramped up to its full share of calls.
  base::Duration ramp_time = std::chrono::seconds(5);
  // Ejection of failing endpoints.
  std::uint32_t eject_after_failures = 5;
  base::Duration eject_time = std::chrono::seconds(1);
  base::Duration max_eject_time = std::chrono::seconds(30);
  double max_ejected_share = 0.5;
  ThrottleSettings throttle;
};

// A serving node and the state of its backend server.
struct EndpointInfo {
  base::ServiceName service;
  base::NodeAddress address;
  base::ZoneName zone;
  base::BackendServerState state = base::BackendServerState::kReady;
};

// Load that a serving node attaches to its answers. It may be outdated or
// wrong.
struct LoadHint {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  std::uint32_t queued = 0;
};

// Input of the choice of an endpoint.
struct ChooseRequest {
  base::ServiceName service;
  base::AccountName account;
  base::Importance importance = base::Importance::kLookup;
  std::vector<base::NodeAddress> excluded;  // already tried
  bool may_throttle = true;  // false for calls made by backend servers
};

// The chosen endpoint, or the reason why there is none.
struct EndpointChoice {
  base::NodeAddress address;  // empty if refused
  base::Reason reason = base::Reason::kNone;
  base::Duration retry_after{0};
};

// How a call to an endpoint ended.
enum class CallResult : std::uint8_t {
  kOk,
  kFailed,    // executed and failed, or the outcome is unknown
  kRefused,   // not executed because of overload
  kLeaving,   // not executed because the backend server is draining
  kDeclined,  // refused for a reason specific to the call
  kCancelled,
};

// Outcome of a call to an endpoint.
struct CallOutcome {
  base::ServiceName service;
  base::NodeAddress address;
  base::AccountName account;
  base::Importance importance = base::Importance::kLookup;
  CallResult result = CallResult::kOk;
  base::Duration latency{0};
  std::optional<LoadHint> hint;
};

// State of one endpoint, for operators.
struct EndpointSnapshot {
  EndpointInfo info;
  std::uint32_t in_flight = 0;
  bool ejected = false;
  base::Duration latency{0};
  double refused_share = 0;
  std::uint64_t sent = 0;
};

}  // namespace dogwoodrail::core::route

#endif  // DOGWOODRAIL_CORE_ROUTE_ROUTE_TYPE_H_
