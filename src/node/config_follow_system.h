#ifndef DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_
#define DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <unordered_map>
#include <utility>

#include "core/base/event_type.h"
#include "core/base/random_type.h"
#include "core/spread/proof_relay.h"
#include "node/host_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Keeps the configuration of a hosted node current: makes the store calls and
// exchanges the messages that ProofRelay asks for, and activates newer
// configurations.
class ConfigFollowSystem {
 public:
  using TimePoint = core::base::TimePoint;

  ConfigFollowSystem(const HostSettings& settings, std::uint64_t seed,
                     Node& node, const HostPorts& ports,
                     core::base::EventSink emit);
  ConfigFollowSystem(const ConfigFollowSystem&) = delete;
  ConfigFollowSystem& operator=(const ConfigFollowSystem&) = delete;

  // Runs the timers of the relay.
  void Tick(TimePoint now);
  // Accounts for a time for which the VM was suspended.
  void OnSuspended(core::base::Duration time) { relay_.OnSuspended(time); }
  // Returns whether the configuration is fresh enough to admit requests with a
  // key.
  bool IsFresh(TimePoint now) const { return relay_.IsFresh(now); }
  // Returns whether the first configuration has been compared with those of
  // other nodes, so that callers may be served by it.
  bool is_settled() const { return relay_.is_settled(); }
  // Handles the era that an answer of the store states.
  void OnStoreEra(core::config::StoreEra era);
  // Sets the hook that is called when the store has come back from an older
  // copy.
  void SetEraHook(std::function<void(TimePoint)> hook) {
    on_era_change_ = std::move(hook);
  }

 private:
  // Runs the relay and carries out its actions.
  void Run(TimePoint now);
  void Execute(core::spread::RelayActions actions);
  void OnEraChange(const core::config::StoreEraChange& change);
  // Logs once when the comparison at the start is over.
  void ReportSettled(TimePoint now);
  void OnFrame(wire::LinkId from, const wire::Bytes& payload);
  void OnAnswer(const core::config::FollowCall& call,
                const ConfigAnswer& answer, TimePoint now);
  // Activates a configuration received from another node.
  bool ApplySnapshot(const core::spread::Snapshot& snapshot);
  // Activates a configuration unless a newer one is active.
  void Activate(const std::shared_ptr<const core::config::ConfigState>& config);
  // Logs what the store answered, except that nothing has changed while it was
  // reached all along.
  void ReportAnswer(const core::config::FollowCall& call,
                    const ConfigAnswer& answer);
  // Logs a configuration in the answer that is not used.
  void ReportUnused(const ConfigAnswer& answer);
  // Logs when the store becomes reachable or unreachable.
  void UpdateStoreReachable(bool reached, const std::string& detail);
  void UpdateFreshness(TimePoint now);
  void UpdateView(TimePoint now);
  void WriteMetrics(std::ostream& out) const;

  Node& node_;
  const HostPorts& ports_;
  core::base::EventSink emit_;
  core::spread::RelaySettings settings_;
  core::spread::ProofRelay relay_;
  core::spread::RelayView view_;
  TimePoint next_run_;
  TimePoint view_updated_at_;
  // Links on which other nodes sent their last query.
  std::unordered_map<core::base::NodeAddress, wire::LinkId> query_links_;
  std::function<void(TimePoint)> on_era_change_;
  core::base::Random random_;
  bool settled_ = false;
  std::uint64_t era_changes_ = 0;
  std::uint64_t store_calls_ = 0;
  std::uint64_t store_failures_ = 0;
  bool store_reached_ = true;
  bool fresh_ = true;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CONFIG_FOLLOW_SYSTEM_H_
