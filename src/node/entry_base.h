#ifndef DOGWOODRAIL_NODE_ENTRY_BASE_H_
#define DOGWOODRAIL_NODE_ENTRY_BASE_H_

#include <memory>
#include <unordered_map>

#include "core/attempt/retry_budget.h"
#include "core/attempt/retry_func.h"
#include "core/base/random_type.h"
#include "core/config/config_base.h"
#include "core/route/endpoint_chooser.h"
#include "core/route/split_picker.h"
#include "node/caller_headers.h"
#include "node/entry_type.h"

namespace dogwoodrail::node {

// Settings of the entry system.
struct EntrySettings {
  core::attempt::RetrySettings retry;
  std::uint64_t seed = 0;
};

// Handles the requests that callers send to this node: identifies the account
// and route, passes the admission gates, dispatches attempts with retries, and
// answers the caller. It does no I/O itself: the current time and messages are
// passed in, and actions go out through the ports.
class EntrySystem {
 public:
  using TimePoint = core::base::TimePoint;

  EntrySystem(EntrySettings settings, core::route::EndpointChooser& chooser,
              EntryPorts ports);

  // Returns the ports, to set the gates and the observers.
  EntryPorts& ports() { return ports_; }

  // Sets the configuration; nullptr for none.
  void SetConfig(std::shared_ptr<const core::config::ConfigState> config);
  // Sets whether the configuration is known to be current. While it is not,
  // requests that need a key are refused.
  void SetConfigFresh(bool fresh) { config_fresh_ = fresh; }

  // Handles a request from a caller.
  void OnRequest(http::ExchangeId exchange, http::Request message,
                 TimePoint now);
  // Cancels a request whose caller disconnected.
  void OnCancel(http::ExchangeId exchange, TimePoint now);
  // Continues or refuses a call after a gate's decision.
  void OnGateResult(EntryIndex index, const GateResult& answer, TimePoint now);
  // Handles the answer to an attempt. `from` is zero for this node itself.
  void OnAnswer(wire::LinkId from, wire::AnswerMessage message, TimePoint now);
  // Fails an attempt whose answer there was no memory for.
  void OnTruncatedAnswer(wire::LinkId from, core::base::CallId attempt,
                         TimePoint now);
  // Fails the attempts that were in flight on a lost link.
  void OnLinkLost(const wire::LinkLoss& loss, TimePoint now);
  // Cancels the calls made by an execution that has ended.
  void CancelChildren(ExecutionIndex parent, TimePoint now);
  // Refuses further requests. Those that are, or without a context token may
  // be, calls of executions are still taken if they expire before `end`.
  void RefuseCallers(TimePoint end) { calls_end_ = end; }
  // Refuses further requests and retries no attempt.
  void BeginEnd() { ending_ = true; }
  // Ends all calls with what is known of them.
  void EndAll(TimePoint now);
  // Ends calls past their deadline and sends the retries that are due.
  void Tick(TimePoint now);

  // Returns the number of calls in progress.
  std::size_t size() const { return calls_.size(); }

 private:
  // Why an attempt failed.
  struct Failure {
    core::base::Ran ran;
    core::base::Reason reason;
    core::base::Duration retry_after;
    bool reached;                 // the backend server was sent the request
    bool invalid_answer = false;  // and has answered with no status of HTTP
  };
  struct Refusal {
    core::base::Reason reason;
    std::string detail;
  };

  void Admit(EntryCall call, TimePoint now);
  // Returns true if a request that came late in a shutdown must be refused.
  bool IsTooLate(const EntryCall& call, TimePoint now) const;
  // Returns true if the request is a call made by an execution of the local
  // backend server.
  bool IsCallOfExecution(const EntryCall& call, TimePoint now) const;
  std::optional<Refusal> Identify(const CallerHeaders& headers,
                                  EntryCall& call);
  // Finds the route of the call, and what the route says of it.
  std::optional<Refusal> FindRoute(EntryCall& call);
  std::optional<Refusal> IdentifyByContext(const std::string& context,
                                           EntryCall& call);
  std::optional<Refusal> IdentifyByKey(EntryCall& call);
  // Decides anew on the route and the account of a call that waited while the
  // configuration changed.
  std::optional<Refusal> Reidentify(EntryCall& call);
  core::poison::Fingerprint MakeFingerprint(const EntryCall& call) const;
  // Returns true if the configuration has changed since the call was decided.
  bool IsOutdated(const EntryCall& call) const;
  // Continues or refuses a call for whose rate another configuration decided.
  void OnOutdatedRate(EntryCall& call, const GateResult& answer, TimePoint now);
  void OnRateResult(EntryCall& call, const GateResult& answer, TimePoint now);
  std::string ConfigDetail() const;
  static std::string DecidedBy(const EntryCall& call);
  void RefuseImmediately(const EntryCall& call, const Refusal& refusal);
  void EnterStage(EntryCall& call, EntryStage stage, TimePoint now);
  void PassChainGate(EntryCall& call, TimePoint now);
  void Dispatch(EntryCall& call, TimePoint now);
  wire::CallMessage MakeCallMessage(const EntryCall& call,
                                    const core::base::CallId& attempt,
                                    std::uint32_t share, TimePoint now) const;
  core::attempt::AttemptBudget* BudgetOf(EntryCall& call);
  Execution* ParentOf(const EntryCall& call);
  // Returns the call that waits for the answer to an attempt, or nullptr.
  EntryCall* FindAttempt(wire::LinkId from, core::base::CallId attempt);
  void EndAttempt(EntryCall& call, core::route::CallResult result,
                  const std::optional<core::route::LoadHint>& hint,
                  TimePoint now);
  void OnAttemptFailed(EntryCall& call, const Failure& failure, TimePoint now);
  void FinishWithAnswer(EntryCall& call, wire::AnswerMessage message,
                        TimePoint now);
  void FinishWithRefusal(EntryCall& call, core::base::Reason reason,
                         core::base::Duration retry_after, TimePoint now);
  void Finish(EntryCall& call, const EntryOutcome& outcome,
              http::Response response, TimePoint now);
  void Abort(EntryCall& call, core::base::Reason reason, TimePoint now);
  void Remove(EntryCall& call);
  std::uint32_t AttemptsUsed(EntryCall& call);
  core::attempt::RetryBudget& RetryBudgetOf(const core::config::Route& route);
  void Emit(core::base::EventNumber number, const EntryCall& call,
            std::string detail) const;

  EntrySettings settings_;
  core::route::EndpointChooser& chooser_;
  EntryPorts ports_;
  core::base::Random random_;
  core::route::SplitPicker splits_;
  std::shared_ptr<const core::config::ConfigState> config_;
  // Lowest importance set on any account, if one is set.
  std::optional<core::base::Importance> least_account_importance_;
  bool config_fresh_ = false;
  std::optional<TimePoint> calls_end_;  // set by RefuseCallers()
  bool ending_ = false;                 // set by BeginEnd()
  core::base::Pool<EntryCall> calls_;
  std::unordered_map<http::ExchangeId, EntryIndex> by_exchange_;
  std::unordered_map<core::base::CallId, EntryIndex> by_attempt_;
  std::unordered_map<core::base::RouteName, core::attempt::RetryBudget>
      retry_budgets_;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_ENTRY_BASE_H_
