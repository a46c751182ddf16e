#include "node/config_follow_system.h"

#include <string>
#include <utility>

namespace dogwoodrail::node {

using core::base::EventNumber;
using core::config::FollowResult;

ConfigFollowSystem::ConfigFollowSystem(
    const core::config::FollowSettings& settings, std::uint64_t seed,
    Node& node, const HostPorts& ports, core::base::EventSink emit)
    : node_(node),
      ports_(ports),
      emit_(std::move(emit)),
      follower_(settings, seed) {}

void ConfigFollowSystem::Tick(TimePoint now) {
  UpdateFreshness(now);
  const auto call = follower_.Next(now);
  if (!call) return;
  ports_.follow_config(*call, [this](const ConfigAnswer& answer) {
    OnAnswer(answer, Node::Now());
  });
}

// Logs when the configuration becomes stale, because requests with a key are
// refused from then on.
void ConfigFollowSystem::UpdateFreshness(TimePoint now) {
  const bool fresh = follower_.IsFresh(now);
  if (fresh == fresh_ || !node_.config()) return;
  fresh_ = fresh;
  if (fresh) return;
  const auto age =
      std::chrono::duration_cast<std::chrono::milliseconds>(follower_.Age(now));
  emit_({EventNumber::kConfigurationStale,
         {},
         {},
         "age_ms=" + std::to_string(age.count())});
}

void ConfigFollowSystem::OnAnswer(const ConfigAnswer& answer, TimePoint now) {
  UpdateStoreReachable(answer.result != FollowResult::kFailed, answer.detail);
  Apply(answer);
  follower_.OnResult(answer.result, answer.revision, now);
  Tick(now);
}

// Ignores a configuration older than the active one: a running node never
// reverts to an earlier configuration.
void ConfigFollowSystem::Apply(const ConfigAnswer& answer) {
  if (!answer.config) {
    const bool unreadable =
        answer.result != FollowResult::kFailed && !answer.detail.empty();
    if (unreadable) {
      emit_({EventNumber::kConfigurationRefused,
             {},
             {},
             "cause=" + answer.detail});
    }
    return;
  }
  const auto& current = node_.config();
  const bool newer = !current || current->number() < answer.config->number();
  if (newer) node_.SetConfig(answer.config);
}

void ConfigFollowSystem::UpdateStoreReachable(bool reached,
                                              const std::string& detail) {
  if (reached == store_reached_) return;
  store_reached_ = reached;
  emit_({reached ? EventNumber::kPlatformRestored : EventNumber::kPlatformLost,
         {},
         {},
         reached ? "" : "cause=" + detail});
}

}  // namespace dogwoodrail::node
