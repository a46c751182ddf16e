#ifndef DOGWOODRAIL_NODE_SERVING_TYPE_H_
#define DOGWOODRAIL_NODE_SERVING_TYPE_H_

#include <functional>
#include <optional>
#include <string>

#include "core/base/backend_server_type.h"
#include "core/base/event_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "http/message_type.h"
#include "node/dialect_type.h"
#include "node/execution_type.h"
#include "wire/call_message.h"

namespace dogwoodrail::node {

// What the backend server beside this node says of itself.
struct BackendAnnouncement {
  core::base::ServiceName service;
  std::string address;   // "ip:port"
  std::string instance;  // id of its process, if it has one
  core::base::BackendServerState state =
      core::base::BackendServerState::kStarting;
  core::base::LoadReport load;
};

// Timing of the serving system.
struct ServingSettings {
  // An announcement counts for so long.
  core::base::Duration announcement_lease = std::chrono::seconds(3);
  // Calls read after the process stood still for longer are refused, since
  // their deadlines cannot be judged.
  core::base::Duration pause_threshold = std::chrono::milliseconds(500);
};

// What the serving system asks of the rest of the node.
struct ServingPorts {
  using TimePoint = core::base::TimePoint;

  // Answers a call.
  std::function<void(const CallOrigin&, wire::AnswerMessage)> reply;
  // Starts an execution at the backend server; its end comes through
  // ServingSystem::OnBackendOutcome().
  std::function<http::ExecutionId(ExecutionIndex, const http::Request&,
                                  core::base::Duration timeout)>
      execute;
  // Ends an execution at the backend server.
  std::function<void(http::ExecutionId, core::base::Reason)> abort;
  // Makes a token that cannot be guessed.
  std::function<std::string()> make_context;
  // Tells that an execution ended, so that its own calls can be cancelled.
  std::function<void(ExecutionIndex, TimePoint)> on_execution_ended;
  // Tells that the backend server's announced state changed.
  std::function<void(const BackendAnnouncement&, TimePoint)> on_backend;
  core::base::EventSink emit;
  Dialect dialect;

  // Checks a call before it is offered for admission; optional.
  std::function<std::optional<core::base::Reason>(const wire::CallMessage&,
                                                  TimePoint)>
      check_call;
  // Asked right before an execution; a reason refuses it as not run. Optional.
  std::function<std::optional<core::base::Reason>(const Execution&, TimePoint)>
      may_start;
  // Returns the longest wait of a call for the backend server; optional.
  std::function<std::optional<core::base::Duration>(const wire::CallMessage&)>
      max_wait;
  // Returns what answers on a route tell of the services behind it; optional.
  std::function<core::chain::Backpressure(const core::base::RouteName&,
                                          TimePoint)>
      get_backpressure;
  // Observer of the end of each execution that was started; optional.
  std::function<void(const Execution&)> on_ended;
  // Observers of executions at the backend server; optional.
  std::function<void(const Execution&, TimePoint)> on_started;
  std::function<void(const Execution&, const http::BackendOutcome&, TimePoint)>
      on_finished;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SERVING_TYPE_H_
