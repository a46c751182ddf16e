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

// State and load that the local backend server announces.
struct BackendAnnouncement {
  core::base::ServiceName service;
  std::string address;   // "ip:port"
  std::string instance;  // id of the process; may be empty
  core::base::BackendServerState state =
      core::base::BackendServerState::kStarting;
  core::base::LoadReport load;
};

// Timing of the serving system.
struct ServingSettings {
  // Validity of an announcement. Without a new one, the backend server is
  // considered gone.
  core::base::Duration announcement_lease = std::chrono::seconds(3);
  // After the process was paused for longer than this, calls are refused until
  // the next tick: how long they waited unread is unknown, and so is the time
  // left until their deadlines.
  core::base::Duration pause_threshold = std::chrono::milliseconds(500);
};

// Callbacks through which the serving system uses the rest of the node.
struct ServingPorts {
  using TimePoint = core::base::TimePoint;

  // Answers a call.
  std::function<void(const CallOrigin&, wire::AnswerMessage)> reply;
  // Starts an execution on the backend server. Its end is reported to
  // ServingSystem::OnBackendOutcome().
  std::function<http::ExecutionId(ExecutionIndex, http::Request,
                                  core::base::Duration timeout)>
      execute;
  // Aborts an execution on the backend server.
  std::function<void(http::ExecutionId, core::base::Reason)> abort;
  // Generates an unguessable token.
  std::function<std::string()> make_context;
  // Called when an execution has ended, to cancel the calls that it made.
  std::function<void(ExecutionIndex, TimePoint)> on_execution_ended;
  // Called when the service, address or state of the backend server changed.
  std::function<void(const BackendAnnouncement&, TimePoint)> on_backend;
  core::base::EventSink emit;
  Dialect dialect;

  // Budget for the bodies of calls of other nodes; not owned, may be null.
  core::base::MemoryBudget* memory = nullptr;
  // Runs a piece of work; returns false if it threw an exception, which has
  // been reported. Optional.
  std::function<bool(const std::function<void()>&)> contain;
  // Checks a call before it is offered for admission, and returns a reason to
  // refuse it; optional.
  std::function<std::optional<core::base::Reason>(const wire::CallMessage&,
                                                  TimePoint)>
      check_call;
  // Called right before an execution. A returned reason refuses the call as not
  // run. Optional.
  std::function<std::optional<core::base::Reason>(const Execution&, TimePoint)>
      may_start;
  // Returns the longest time that a call may wait in the queue; optional.
  std::function<std::optional<core::base::Duration>(const wire::CallMessage&)>
      max_wait;
  // Returns the backpressure of the services behind a route, which answers
  // carry to the entry node; optional.
  std::function<core::chain::Backpressure(const core::base::RouteName&,
                                          TimePoint)>
      get_backpressure;
  // Observer of the removal of each execution that was started; optional.
  std::function<void(const Execution&)> on_ended;
  // Observers of the start of an execution and of its outcome; optional.
  std::function<void(const Execution&, TimePoint)> on_started;
  std::function<void(const Execution&, const http::BackendOutcome&, TimePoint)>
      on_finished;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SERVING_TYPE_H_
