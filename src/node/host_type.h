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
#include "http/message_type.h"
#include "node/dialect_type.h"

namespace dogwoodrail::node {

// Answer to one call that follows the configuration.
struct ConfigAnswer {
  core::config::FollowResult result = core::config::FollowResult::kFailed;
  core::config::StoreRevision revision;
  // The configuration, if the answer holds one that could be read.
  std::shared_ptr<const core::config::ConfigState> config;
  std::string detail;  // of a failure or refusal
};

// The backend server beside the node says that it leaves.
struct LeaveNotice {
  core::backend::InstanceId instance;
};

// What the backend server sends to its node; none if it cannot be read.
using BackendNotice =
    std::variant<std::monostate, core::backend::Heartbeat, LeaveNotice>;

// Calls by which a node lives on the system that hosts it. An adapter fills
// them in; each callback comes once, on the loop's thread.
struct HostPorts {
  template <typename T>
  using Callback = std::function<void(core::base::Result<T>)>;
  using Entry = core::member::DirectoryEntry;

  Dialect dialect;
  // Follows the configuration at the store.
  std::function<void(const core::config::FollowCall&,
                     std::function<void(ConfigAnswer)>)>
      follow_config;
  // Keep the directory of nodes in the store.
  std::function<void(Callback<std::optional<Entry>>)> read_own_entry;
  std::function<void(const Entry&, Callback<void>)> write_own_entry;
  std::function<void(Callback<std::vector<Entry>>)> list_entries;
  // Checks the health of the backend server.
  std::function<void(const core::backend::BackendStatus&,
                     const std::string& health_path,
                     std::function<void(core::backend::HealthReport)>)>
      check_health;
  // Reads what the backend server sends, and tells whether a request asks for
  // the node's readiness.
  std::function<BackendNotice(const http::Request&)> read_notice;
  std::function<bool(const http::Request&)> is_readiness_probe;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_HOST_TYPE_H_
