#ifndef DOGWOODRAIL_SOAK_SOAK_FLEET_H_
#define DOGWOODRAIL_SOAK_SOAK_FLEET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "soak/checker.h"
#include "soak/fault_type.h"
#include "tests/integration/common/process.h"
#include "tests/integration/common/raw_http.h"

namespace dogwoodrail::soak {

// What a response says of its request.
struct ResponseFacts {
  bool not_run = false;     // it says that the request has not run
  bool right_body = false;  // it is a whole success of this request
};

// A fleet of real processes to play faults on, with any adapter. `vm` is the
// index of a node and the backend server beside it.
struct SoakFleet {
  std::size_t size = 0;
  std::string directory;          // of the logs and settings
  std::vector<FaultKind> faults;  // that this fleet can play

  std::function<std::uint16_t(std::size_t vm)> caller_port;
  std::function<integration::Process&(std::size_t vm)> node;
  std::function<std::string(std::size_t vm)> node_log;
  // Starts the node's process again.
  std::function<void(std::size_t vm)> restart_node;
  // Ends the backend server, and starts it again if it has ended.
  std::function<void(std::size_t vm)> end_backend;
  std::function<void(std::size_t vm)> ensure_backend;
  // Makes a change of the configuration that allows all requests.
  std::function<void(const Fault&)> change_config;
  // Returns true if the node follows the newest configuration.
  std::function<bool(std::size_t vm)> follows_config;
  // Plays a fault that this fleet alone can meet.
  std::function<void(const Fault&)> play_own;
  // Plays a step of kOlderStore, if this fleet can.
  std::function<void(StoreStep)> play_store;

  // Makes a request with a name that no other has.
  std::function<integration::RawRequest(bool idempotent,
                                        const std::string& name)>
      make_request;
  std::function<integration::RawRequest()> make_crash_request;
  // The same with a key that was withdrawn for longer than a node may take it;
  // nothing if there is none. May be called from any thread.
  std::function<std::optional<integration::RawRequest>(const std::string& name)>
      make_withdrawn_request;
  std::function<ResponseFacts(const integration::RawResponse&,
                              const integration::RawRequest&)>
      judge;
  // Counts the executions of each request at the backend servers.
  std::function<RunCounts()> count_runs;
};

// Starts nodes with the project's own adapter.
SoakFleet MakeOwnFleet(const std::string& name, std::size_t size);
// Starts nodes with the platform's adapter and the settings of deploy/.
SoakFleet MakePlatformFleet(const std::string& name, std::size_t size);

}  // namespace dogwoodrail::soak

#endif  // DOGWOODRAIL_SOAK_SOAK_FLEET_H_
