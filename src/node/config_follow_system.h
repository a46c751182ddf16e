#ifndef DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_
#define DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_

#include <cstdint>

#include "core/base/event_type.h"
#include "core/config/config_follower.h"
#include "node/host_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Makes the store calls that the configuration follower requests and activates
// newer configurations.
class ConfigFollowSystem {
 public:
  using TimePoint = core::base::TimePoint;

  ConfigFollowSystem(const core::config::FollowSettings& settings,
                     std::uint64_t seed, Node& node, const HostPorts& ports,
                     core::base::EventSink emit);

  // Starts the next store call if one is due.
  void Tick(TimePoint now);
  // Accounts for a time for which the VM was suspended.
  void OnSuspended(core::base::Duration time) { follower_.OnSuspended(time); }
  // Returns whether the configuration is fresh enough to admit requests with a
  // key.
  bool IsFresh(TimePoint now) const { return follower_.IsFresh(now); }

 private:
  void OnAnswer(const ConfigAnswer& answer, TimePoint now);
  void Apply(const ConfigAnswer& answer);
  // Logs when the store becomes reachable or unreachable.
  void UpdateStoreReachable(bool reached, const std::string& detail);
  void UpdateFreshness(TimePoint now);

  Node& node_;
  const HostPorts& ports_;
  core::base::EventSink emit_;
  core::config::ConfigFollower follower_;
  bool store_reached_ = true;
  bool fresh_ = true;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_
