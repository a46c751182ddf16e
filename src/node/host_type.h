#ifndef DOGWOODRAIL_NODE_HOST_TYPE_H_
#define DOGWOODRAIL_NODE_HOST_TYPE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/backend/backend_type.h"
#include "core/base/error_type.h"
#include "core/config/config_base.h"
#include "core/config/config_follower.h"
#include "core/member/directory.h"
#include "core/poison/stored_crash.h"
#include "http/message_type.h"
#include "node/dialect_type.h"

namespace dogwoodrail::node {

// Result of a read or watch of the configuration.
struct ConfigAnswer {
  core::config::FollowResult result = core::config::FollowResult::kFailed;
  core::config::StorePosition position;
  // The configuration, if the result contains one that could be decoded.
  std::shared_ptr<const core::config::ConfigState> config;
  std::string body;    // of the configuration, for HostPorts::decode_config
  std::string detail;  // cause of a failure or refusal
};

// Object of the store that cannot be decoded; it may be another writer's.
struct SkippedObject {
  std::string kind;
  std::string name;
};

// Notice of the local backend server that it is leaving; names the process. The
// start time is missing if the notice has none.
struct LeaveNotice {
  core::backend::DrainMark process;
};

// Message of the backend server to its node; empty if it cannot be decoded.
using BackendNotice =
    std::variant<std::monostate, core::backend::Heartbeat, LeaveNotice>;

// Interface of a node to the platform that hosts it, implemented by an adapter.
// Each callback is called once, on the loop's thread.
struct HostPorts {
  template <typename T>
  using Callback = std::function<void(core::base::Result<T>)>;
  using Entry = core::member::DirectoryEntry;

  Dialect dialect;
  // Sets the service of this VM, from which its callers' requests come.
  std::function<void(const core::base::ServiceName&)> set_own_service;
  // Reads or watches the configuration in the store.
  std::function<void(const core::config::FollowCall&,
                     std::function<void(ConfigAnswer)>)>
      follow_config;
  // Decodes the body of a configuration that another node received.
  std::function<core::base::Result<core::config::ConfigState>(
      const std::string& body)>
      decode_config;
  // Creates this node's entry in the directory of nodes in the store; false if
  // there is one.
  std::function<void(const Entry&, Callback<bool>)> create_own_entry;
  // Read and write the directory.
  std::function<void(Callback<std::optional<Entry>>)> read_own_entry;
  std::function<void(const Entry&, Callback<void>)> write_own_entry;
  std::function<void(Callback<std::vector<Entry>>)> list_entries;
  // Reads the crashes that nodes keep in the store.
  std::function<void(Callback<std::vector<core::poison::CrashObject>>)>
      list_crashes;
  // Creates or replaces this node's crashes in the store.
  std::function<void(const core::poison::StoredCrashes&, Callback<void>)>
      write_crashes;
  // Removes an object with crashes unless it has changed.
  std::function<void(const core::poison::CrashObject&, Callback<void>)>
      remove_crashes;
  // Sends a health check to the backend server.
  std::function<void(const core::backend::BackendStatus&,
                     const std::string& health_path,
                     std::function<void(core::backend::HealthReport)>)>
      check_health;
  // Decodes a message of the backend server.
  std::function<BackendNotice(const http::Request&)> read_notice;
  // Sets the observer of objects of the store that cannot be decoded and are
  // not used; called with their kind and name.
  std::function<void(std::function<void(const SkippedObject&)>)> set_skip_hook;
  // Sets the observer of the era that each answer of the store states.
  std::function<void(std::function<void(core::config::StoreEra)>)> set_era_hook;
  // Returns whether a request is a readiness probe of the node.
  std::function<bool(const http::Request&)> is_readiness_probe;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_HOST_TYPE_H_
