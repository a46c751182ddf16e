#ifndef DOGWOODRAIL_NODE_SERVING_BASE_H_
#define DOGWOODRAIL_NODE_SERVING_BASE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/admission/admission_control.h"
#include "node/serving_type.h"

namespace dogwoodrail::node {

// Serves calls with the local backend server: admits or refuses them, executes
// them, and replies whether they ran. It does no I/O itself: the current time
// and messages are passed in, and actions go out through the ports.
class ServingSystem {
 public:
  using TimePoint = core::base::TimePoint;

  ServingSystem(ServingSettings settings,
                core::admission::AdmissionControl& admission,
                ServingPorts ports);

  // Returns the ports, to set the checks and the observers.
  ServingPorts& ports() { return ports_; }

  // Handles a call from another node or from the entry system of this node.
  void OnCall(const CallOrigin& origin, wire::CallMessage message,
              TimePoint now);
  // Refuses a call that there is no memory for.
  void OnTruncatedCall(const CallOrigin& origin, core::base::CallId call);
  // Cancels a call at the request of its sender.
  void OnCancel(const CallOrigin& origin, core::base::CallId call,
                TimePoint now);
  // Cancels the calls received on a lost link.
  void OnLinkLost(wire::LinkId link, TimePoint now);
  // Handles the end of an execution.
  void OnBackendOutcome(ExecutionIndex index, http::BackendOutcome outcome,
                        TimePoint now);
  // Ends a call whose handling failed, and replies that its outcome is unknown.
  void OnCallFailed(const CallOrigin& origin, core::base::CallId call,
                    TimePoint now);
  // The same for an execution.
  void OnExecutionFailed(ExecutionIndex index, TimePoint now);
  // Handles an announcement of the backend server.
  void OnAnnouncement(const BackendAnnouncement& announcement, TimePoint now);
  // Refuses all further calls as not run.
  void BeginStop() { stopping_ = true; }
  // Ends all calls in progress: queued ones as not run, running ones with what
  // is known of them. Refuses all further calls.
  void EndAll(TimePoint now);
  // Runs the timers of admission and checks the lease of the announcement.
  void Tick(TimePoint now);

  // Returns the execution with this context token, or nullptr.
  Execution* FindContext(const std::string& token);
  // Returns an execution, or nullptr.
  Execution* Find(ExecutionIndex index) { return executions_.Find(index); }
  // Returns the last announcement of the backend server.
  const BackendAnnouncement& backend() const { return backend_; }
  // Returns the latest deadline of the calls queued or running, if there are
  // any.
  std::optional<TimePoint> LatestDeadline();
  // Returns the number of calls queued or running.
  std::size_t size() const { return executions_.size(); }

 private:
  core::base::Reason CheckCall(const wire::CallMessage& message,
                               TimePoint now) const;
  void Apply(const core::admission::AdmissionActions& actions, TimePoint now);
  void Start(Execution& execution, TimePoint now);
  void Execute(Execution& execution, TimePoint now);
  std::vector<ExecutionIndex> FindCalls(const CallOrigin& origin,
                                        core::base::CallId call);
  void ReplyFailed(const CallOrigin& origin, core::base::CallId call);
  void RefuseAdmitted(Execution& execution, core::base::Reason reason,
                      TimePoint now);
  // Builds the request to the backend server; moves the body out of the call.
  http::Request TakeRequest(Execution& execution, TimePoint now) const;
  void Refuse(Execution& execution, core::base::Reason reason,
              core::base::Duration retry_after);
  void ReplyRefusal(const CallOrigin& origin, const wire::CallMessage& message,
                    core::base::Reason reason,
                    core::base::Duration retry_after);
  void Abort(Execution& execution, core::base::Reason reason, TimePoint now);
  void Remove(Execution& execution, TimePoint now);
  void SetBackendState(core::base::BackendServerState state, TimePoint now);
  core::route::LoadHint MakeLoadHint() const;
  void Emit(core::base::EventNumber number, const wire::CallMessage& message,
            std::string detail) const;

  ServingSettings settings_;
  core::admission::AdmissionControl& admission_;
  ServingPorts ports_;
  core::base::Pool<Execution> executions_;
  std::unordered_map<std::string, ExecutionIndex> by_context_;
  BackendAnnouncement backend_;
  TimePoint announced_at_;
  TimePoint last_tick_;
  bool announced_ = false;
  bool stopping_ = false;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SERVING_BASE_H_
