#ifndef DOGWOODRAIL_CORE_BACKEND_BACKEND_TYPE_H_
#define DOGWOODRAIL_CORE_BACKEND_BACKEND_TYPE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/base/backend_server_type.h"
#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::backend {

// Process of a backend server, by the id that it gives itself.
using InstanceId = base::StrongString<struct InstanceIdTag>;

// One heartbeat of the backend server beside this node.
struct Heartbeat {
  InstanceId instance;
  base::ServiceName service;
  std::string address;  // "ip:port" at which it serves
  bool draining = false;
  std::uint32_t slots = 0;     // requests that it runs at the same time
  std::uint64_t sequence = 0;  // ascends within one life
  std::optional<std::int64_t> born_ms;  // Unix time of its start
  base::Duration cold_left{0};          // slow for so long after its start
};

// Answer of a health check.
struct HealthReport {
  bool answered = false;
  bool healthy = false;
  InstanceId instance;  // empty if not told
  base::LoadReport load;
};

// A life of a backend server that is known to be leaving.
struct DrainMark {
  InstanceId instance;
  std::optional<std::int64_t> born_ms;
};

// What is known of the backend server.
struct BackendStatus {
  base::BackendServerState state = base::BackendServerState::kGone;
  InstanceId instance;
  base::ServiceName service;
  std::string address;
  std::uint32_t slots = 0;
};

}  // namespace dogwoodrail::core::backend

#endif  // DOGWOODRAIL_CORE_BACKEND_BACKEND_TYPE_H_
