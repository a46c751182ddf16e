#ifndef DOGWOODRAIL_NODE_SETTINGS_TYPE_H_
#define DOGWOODRAIL_NODE_SETTINGS_TYPE_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "core/admission/admission_type.h"
#include "core/attempt/attempt_type.h"
#include "core/backend/backend_watch.h"
#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/chain/chain_type.h"
#include "core/config/config_follower.h"
#include "core/member/directory.h"
#include "core/member/member_settings_type.h"
#include "core/once/once_type.h"
#include "core/poison/crash_archive.h"
#include "core/poison/poison_type.h"
#include "core/rate/rate_type.h"
#include "core/route/route_type.h"
#include "core/shard/shard_type.h"
#include "core/spread/spread_type.h"
#include "core/stop/stop_control.h"
#include "http/backend_client.h"
#include "http/caller_server.h"
#include "node/serving_type.h"
#include "wire/links.h"

namespace dogwoodrail::node {

// Range of the memory of a process.
constexpr std::size_t kMinMemoryBytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t kMaxMemoryBytes = std::size_t{64} * 1024 * 1024 * 1024;

// Addresses and location of a node, section [node].
struct IdentitySettings {
  std::string caller_address;    // "ip:port" for callers
  std::string peer_address;      // "ip:port" for other nodes, TCP and UDP
  std::string peer_listen;       // "ip:port" to bind if not peer_address
  std::string operator_address;  // "ip:port" for operators and announcements
  core::base::ZoneName zone;
  core::base::RegionName region{"default"};
  // Memory that the process may use.
  std::size_t memory_bytes = std::size_t{256} * 1024 * 1024;
};

// The platform's Object API, section [platform].
struct PlatformSettings {
  std::string address;  // "ip:port"
  std::chrono::milliseconds timeout = std::chrono::seconds(2);
  std::chrono::milliseconds watch_wait = std::chrono::seconds(2);
  std::chrono::milliseconds retry_interval = std::chrono::milliseconds(500);
};

// Log output, section [log].
struct LogSettings {
  std::string level = "info";
  std::string output = "stderr";   // or "stdout"; unused if `file` is set
  std::string file;                // empty: log to `output`
  std::size_t lines_per_s = 1000;  // per event; lines above it are counted
  std::vector<std::string> debug;  // categories logged at debug level too
  std::size_t timeline_events = 20'000;
};

// Graceful shutdown, section [shutdown].
struct ShutdownSettings {
  core::stop::StopSettings steps;
  // Maximum wait for shards to be handed over, after all other shutdown steps.
  std::chrono::milliseconds shard_grace = std::chrono::seconds(3);
};

// Optional features of a node, section [features].
struct FeatureSettings {
  // Shards replicated to pairs of nodes: at-most-once records and rate grantors
  // survive the loss of a node.
  bool shards = true;
};

// The environment that hosts the node, section [host].
struct HostSettings {
  std::string adapter = "own";  // "own" or "platform"
  core::base::NodeName name;    // name of this node in the directory
  core::base::ServiceName service;
  std::string backend_address;  // "ip:port" of the backend server
  std::string ready_address;    // "ip:port" of the readiness endpoint
  std::string control_address;  // "ip:port" for the backend server's heartbeats
  std::uint32_t retry_percent = 5;
  std::chrono::milliseconds probe_timeout = std::chrono::seconds(1);
  core::config::FollowSettings follow;
  core::spread::RelaySettings relay;
  core::member::DirectorySettings directory;
  core::poison::ArchiveSettings crashes;
  core::backend::BackendWatchSettings watch;
};

// All settings of a node process.
struct Settings {
  IdentitySettings identity;
  PlatformSettings platform;
  std::vector<core::base::NodeAddress> seeds;
  http::CallerServerSettings caller;
  http::BackendClientSettings backend;
  wire::LinkSettings links;
  core::admission::AdmissionSettings admission;
  core::chain::ChainSettings chain;
  core::route::RouteSettings route;
  core::attempt::RetrySettings retry;
  core::member::MemberSettings member;  // its seeds are set from `seeds` above
  core::spread::SpreadSettings spread;
  core::shard::ShardSettings shard;
  core::rate::RateSettings rate;
  core::once::OnceSettings once;
  core::poison::PoisonSettings poison;
  ServingSettings serving;
  FeatureSettings features;
  HostSettings host;
  LogSettings log;
  ShutdownSettings shutdown;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SETTINGS_TYPE_H_
