#ifndef DOGWOODRAIL_NODE_BACKEND_SYSTEM_H_
#define DOGWOODRAIL_NODE_BACKEND_SYSTEM_H_

#include <functional>
#include <optional>

#include "core/backend/backend_watch.h"
#include "core/base/event_type.h"
#include "node/host_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Tracks the state of the local backend server and announces it to the serving
// system.
class BackendSystem {
 public:
  using TimePoint = core::base::TimePoint;
  using DrainMark = core::backend::DrainMark;

  BackendSystem(const core::backend::BackendWatchSettings& settings, Node& node,
                const HostPorts& ports, core::base::EventSink emit);

  // Returns whether a heartbeat is of no instance that could be beside this
  // node.
  bool IsForeign(const core::backend::Heartbeat& heartbeat) const {
    return watch_.IsForeign(heartbeat);
  }
  // Handles a heartbeat; returns false if it is foreign or outdated.
  bool OnHeartbeat(const core::backend::Heartbeat& heartbeat, TimePoint now);
  // Handles and logs a notice that the backend server is leaving.
  void OnLeave(const LeaveNotice& notice, TimePoint now);
  // Restores a drain mark that was stored before the node restarted.
  void OnDrainMark(const DrainMark& mark, TimePoint now);
  // Applies the service that the settings name for the address.
  void OnSettings(const Settings& settings);
  // Updates the state from the outcome of an execution.
  void OnOutcome(const http::BackendOutcome& outcome, TimePoint now);
  // Sends health checks and renews the announcement when they are due.
  void Tick(TimePoint now);

  // Sets the hook that stores the drain mark when the backend server begins to
  // drain.
  void SetDrainHook(std::function<void(const DrainMark&, TimePoint)> hook) {
    on_draining_ = std::move(hook);
  }
  const core::backend::BackendStatus& status() const { return watch_.status(); }

 private:
  void CheckHealth();
  // Handles the result of a health check.
  void OnHealth(const core::backend::HealthReport& report, TimePoint now);
  // Announces the current state to the serving system.
  void Announce(TimePoint now);
  // Announces the current status if it differs from the given one.
  void AnnounceChange(const core::backend::BackendStatus& before,
                      TimePoint now);
  // Passes on the drain mark if it differs from the given one.
  void ReportDrain(const std::optional<DrainMark>& before, TimePoint now);
  // Passes on the service of the VM if it has changed.
  void ReportOwnService();

  Node& node_;
  const HostPorts& ports_;
  core::base::EventSink emit_;
  core::backend::BackendWatch watch_;
  core::base::ServiceName assigned_service_;  // by the settings
  core::base::ServiceName reported_service_;  // by ReportOwnService()
  std::function<void(const DrainMark&, TimePoint)> on_draining_;
  TimePoint announced_at_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_BACKEND_SYSTEM_H_
