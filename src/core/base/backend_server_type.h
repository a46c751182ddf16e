#ifndef DOGWOODRAIL_CORE_BASE_BACKEND_SERVER_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_BACKEND_SERVER_TYPE_H_

#include <cstdint>

namespace dogwoodrail::core::base {

// Lifecycle state announced by a backend server.
enum class BackendServerState : std::uint8_t {
  kStarting,
  kReady,
  kDraining,  // finishes requests in progress, accepts no new ones
  kGone,
};

// Load as reported by a backend server; possibly outdated or wrong.
struct LoadReport {
  std::uint32_t slots = 0;
  std::uint32_t in_use = 0;
  std::uint32_t queued = 0;
};

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_BACKEND_SERVER_TYPE_H_
