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

// Settings of the local throttle.
struct ThrottleSettings {
  // Calls are sent as long as there are no more than this many for each one
  // that was accepted; 0 switches the throttle off.
  double calls_per_accepted = 2.0;
  // Time after which a call counts half.
  base::Duration half_life = std::chrono::milliseconds(250);
};

// Settings of the choice of a serving node.
struct RouteSettings {
  base::ZoneName own_zone;
  // Extra latency by which an endpoint in another zone is thought worse.
  base::Duration other_zone_penalty = std::chrono::milliseconds(3);
  bool prefer_own_zone = true;
  // Another zone gets only what the own one cannot carry.
  bool zone_first = false;
  // Time over which a new endpoint is brought up to its full share.
  base::Duration ramp_time = std::chrono::seconds(5);
  // Ejection of endpoints that fail.
  std::uint32_t eject_after_failures = 5;
  base::Duration eject_time = std::chrono::seconds(1);
  base::Duration max_eject_time = std::chrono::seconds(30);
  double max_ejected_share = 0.5;
  ThrottleSettings throttle;
};

// A serving node and the backend server beside it.
struct EndpointInfo {
  base::ServiceName service;
  base::NodeAddress address;
  base::ZoneName zone;
  base::BackendServerState state = base::BackendServerState::kReady;
};

// Load that a serving node attaches to its answers. It may lag or be wrong.
struct LoadHint {
  std::uint32_t in_flight = 0;
  std::uint32_t limit = 0;
  std::uint32_t queued = 0;
};

// What a call needs of an endpoint.
struct ChooseRequest {
  base::ServiceName service;
  base::AccountName account;
  base::Importance importance = base::Importance::kLookup;
  std::vector<base::NodeAddress> excluded;  // tried already
  bool may_throttle = true;                 // false for calls under way
};

// An endpoint, or the reason why there is none.
struct EndpointChoice {
  base::NodeAddress address;  // empty if refused
  base::Reason reason = base::Reason::kNone;
  base::Duration retry_after{0};
};

// How a call to an endpoint ended.
enum class CallResult : std::uint8_t {
  kOk,
  kFailed,    // ran and failed, or its outcome is unknown
  kRefused,   // refused because of overload; not run
  kLeaving,   // refused because the backend server leaves; not run
  kDeclined,  // refused for a reason that lies in the call
  kCancelled,
};

// End of a call to an endpoint.
struct CallOutcome {
  base::ServiceName service;
  base::NodeAddress address;
  base::AccountName account;
  base::Importance importance = base::Importance::kLookup;
  CallResult result = CallResult::kOk;
  base::Duration latency{0};
  std::optional<LoadHint> hint;
};

// State of one endpoint for the operator.
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
