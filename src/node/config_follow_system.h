#ifndef DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_
#define DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_

#include <cstdint>

#include "core/base/event_type.h"
#include "core/config/config_follower.h"
#include "node/host_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Carries out what the follower of the configuration decides, and puts newer
// configurations in force.
class ConfigFollowSystem {
 public:
  using TimePoint = core::base::TimePoint;

  ConfigFollowSystem(const core::config::FollowSettings& settings,
                     std::uint64_t seed, Node& node, const HostPorts& ports,
                     core::base::EventSink emit);

  // Sends the call that is due.
  void Tick(TimePoint now);
  // Takes a time for which the process stood still.
  void OnSuspended(core::base::Duration time) { follower_.OnSuspended(time); }
  // True if requests with a key may be admitted.
  bool IsFresh(TimePoint now) const { return follower_.IsFresh(now); }

 private:
  void OnAnswer(const ConfigAnswer& answer, TimePoint now);
  void Apply(const ConfigAnswer& answer);
  void NoteStore(bool reached, const std::string& detail);
  void NoteFreshness(TimePoint now);

  Node& node_;
  const HostPorts& ports_;
  core::base::EventSink emit_;
  core::config::ConfigFollower follower_;
  bool store_reached_ = true;
  bool fresh_ = true;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_
