#ifndef DOGWOODRAIL_NODE_CONTROL_SYSTEM_H_
#define DOGWOODRAIL_NODE_CONTROL_SYSTEM_H_

#include <functional>
#include <vector>

#include "core/base/event_type.h"
#include "http/caller_server.h"
#include "node/backend_system.h"
#include "node/directory_system.h"
#include "node/host_type.h"

namespace dogwoodrail::node {

// Callbacks through which the control system uses the rest of the node.
struct ControlPorts {
  // Decodes a message of the backend server.
  std::function<BackendNotice(const http::Request&)> read_notice;
  // Sends the response to a message.
  std::function<void(http::ExchangeId, http::Response)> answer;
  core::base::EventSink emit;
};

// Answers the heartbeats and notices that a backend server sends to its node.
// An acknowledgement is a promise to observe what the sender has announced,
// also after a restart of the node.
class ControlSystem {
 public:
  using TimePoint = core::base::TimePoint;

  ControlSystem(BackendSystem& backend, const DirectorySystem& directory,
                ControlPorts ports);

  // Handles a message, and answers it at once or later.
  void OnRequest(http::ExchangeId exchange, const http::Request& request,
                 TimePoint now);
  // Sends the delayed acknowledgements that are due.
  void Tick(TimePoint now);

 private:
  // An acknowledgement delayed until the store has written the drain mark.
  struct PendingAck {
    http::ExchangeId exchange;
    TimePoint deadline;
  };

  void OnHeartbeat(http::ExchangeId exchange,
                   const core::backend::Heartbeat& heartbeat, TimePoint now);
  void ReportIgnored(const core::backend::Heartbeat& heartbeat, bool foreign);
  void Acknowledge(http::ExchangeId exchange, bool wait_for_store,
                   TimePoint now);
  void Answer(http::ExchangeId exchange, int status);

  BackendSystem& backend_;
  const DirectorySystem& directory_;
  ControlPorts ports_;
  std::vector<PendingAck> pending_acks_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CONTROL_SYSTEM_H_
