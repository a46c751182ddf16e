#ifndef DOGWOODRAIL_NODE_BACKEND_SYSTEM_H_
#define DOGWOODRAIL_NODE_BACKEND_SYSTEM_H_

#include <functional>
#include <optional>

#include "core/backend/backend_watch.h"
#include "core/base/event_type.h"
#include "node/host_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Follows the backend server beside the node and keeps the serving system in
// step with it.
class BackendSystem {
 public:
  using TimePoint = core::base::TimePoint;
  using DrainMark = core::backend::DrainMark;

  BackendSystem(const core::backend::BackendWatchSettings& settings, Node& node,
                const HostPorts& ports, core::base::EventSink emit);

  // Takes a heartbeat; false if it is not of this backend server's life.
  bool OnHeartbeat(const core::backend::Heartbeat& heartbeat, TimePoint now);
  // Takes a notice of leaving.
  void OnLeave(const LeaveNotice& notice, TimePoint now);
  // Takes a drain mark that an earlier life of the node has kept.
  void OnDrainMark(const DrainMark& mark, TimePoint now);
  // Takes the end of an execution.
  void OnOutcome(const http::BackendOutcome& outcome, TimePoint now);
  // Sends health checks and renews the announcement.
  void Tick(TimePoint now);

  // Sets what keeps the mark of a life that leaves.
  void SetDrainHook(std::function<void(const DrainMark&, TimePoint)> hook) {
    on_drained_ = std::move(hook);
  }
  const core::backend::BackendStatus& status() const { return watch_.status(); }

 private:
  void CheckHealth();
  // Tells the serving system what is known now.
  void Announce(TimePoint now);
  // Announces what has changed since the state was as given.
  void AnnounceChange(core::base::BackendServerState before, TimePoint now);

  Node& node_;
  const HostPorts& ports_;
  core::base::EventSink emit_;
  core::backend::BackendWatch watch_;
  std::function<void(const DrainMark&, TimePoint)> on_drained_;
  TimePoint announced_at_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_BACKEND_SYSTEM_H_
