#ifndef DOGWOODRAIL_CORE_BACKEND_BACKEND_TYPE_H_
#define DOGWOODRAIL_CORE_BACKEND_BACKEND_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/base/backend_server_type.h"
#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::backend {

// Id that a backend server process assigns to itself. A restarted process may
// use the same id again.
using InstanceId = base::StrongString<struct InstanceIdTag>;

// Heartbeat sent by this node's backend server.
struct Heartbeat {
  InstanceId instance;
  base::ServiceName service;
  std::string address;  // "ip:port" where it accepts requests
  bool draining = false;
  std::uint32_t slots = 0;              // maximum concurrent requests
  std::uint64_t sequence = 0;           // increases until the process exits
  std::optional<std::int64_t> born_ms;  // process start, Unix time
  base::Duration cold_left{0};          // remaining warm-up time
};

// Result of a health check.
struct HealthReport {
  bool answered = false;
  bool healthy = false;
  InstanceId instance;  // empty if not reported
  base::LoadReport load;
};

// Identifies a backend server process that has announced its shutdown.
struct DrainMark {
  InstanceId instance;
  std::optional<std::int64_t> born_ms;

  friend bool operator==(const DrainMark& a, const DrainMark& b) {
    return a.instance == b.instance && a.born_ms == b.born_ms;
  }
  friend bool operator!=(const DrainMark& a, const DrainMark& b) {
    return !(a == b);
  }
};

// Last known status of the backend server.
struct BackendStatus {
  base::BackendServerState state = base::BackendServerState::kGone;
  InstanceId instance;
  base::ServiceName service;
  std::string address;
  std::uint32_t slots = 0;

  // Returns true if both are the same process in the same state.
  friend bool operator==(const BackendStatus& a, const BackendStatus& b) {
    return a.state == b.state && a.instance == b.instance &&
           a.service == b.service;
  }
  friend bool operator!=(const BackendStatus& a, const BackendStatus& b) {
    return !(a == b);
  }
};

}  // namespace dogwoodrail::core::backend

#endif  // DOGWOODRAIL_CORE_BACKEND_BACKEND_TYPE_H_
