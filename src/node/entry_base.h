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

// The requests that callers sent to this node: who they are for, whether they
// may run, where, and what their callers are told. Time and messages come in,
// actions go out through the ports.
class EntrySystem {
 public:
  using TimePoint = core::base::TimePoint;

  EntrySystem(EntrySettings settings, core::route::EndpointChooser& chooser,
              EntryPorts ports);

  // Sets the gates that calls pass and the observer of their outcomes.
  EntryPorts& ports() { return ports_; }

  // Takes a new configuration into use; nullptr for none.
  void SetConfig(std::shared_ptr<const core::config::ConfigState> config);
  // While false, requests that need a key are refused.
  void SetConfigFresh(bool fresh) { config_fresh_ = fresh; }

  // Takes a caller's request.
  void OnRequest(http::ExchangeId exchange, http::Request message,
                 TimePoint now);
  // Drops a request whose caller went away.
  void OnCancel(http::ExchangeId exchange, TimePoint now);
  // Continues a call that waited at a gate.
  void OnGateResult(EntryIndex index, const GateResult& answer, TimePoint now);
  // Takes the answer to an attempt; from is zero for this node itself.
  void OnAnswer(wire::LinkId from, wire::AnswerMessage message, TimePoint now);
  // Ends the attempts that a lost link carried.
  void OnLinkLost(const wire::LinkLoss& loss, TimePoint now);
  // Cancels the calls that an ended execution had made.
  void CancelChildren(ExecutionIndex parent, TimePoint now);
  // Ends calls past their deadline and sends retries that are due.
  void Tick(TimePoint now);

  // Number of calls under way.
  std::size_t size() const { return calls_.size(); }

 private:
  // Why an attempt ended without an answer for the caller.
  struct Failure {
    core::base::Ran ran;
    core::base::Reason reason;
    core::base::Duration retry_after;
    bool reached;  // the backend server was sent the request
  };
  struct Refusal {
    core::base::Reason reason;
    std::string detail;
  };

  void Admit(EntryCall call, TimePoint now);
  std::optional<Refusal> Identify(const CallerHeaders& headers, EntryCall& call,
                                  TimePoint now);
  std::optional<Refusal> IdentifyByContext(const CallerHeaders& headers,
                                           EntryCall& call);
  std::optional<Refusal> IdentifyByKey(const CallerHeaders& headers,
                                       EntryCall& call);
  std::string ConfigDetail() const;
  void RefuseAtOnce(const EntryCall& call, const Refusal& refusal);
  void EnterStage(EntryCall& call, EntryStage stage, TimePoint now);
  void EnterChain(EntryCall& call, TimePoint now);
  void Dispatch(EntryCall& call, TimePoint now);
  wire::CallMessage MakeCallMessage(const EntryCall& call,
                                    const core::base::CallId& attempt,
                                    std::uint32_t share, TimePoint now) const;
  core::attempt::AttemptBudget* BudgetOf(EntryCall& call);
  Execution* ParentOf(const EntryCall& call);
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
  void Drop(EntryCall& call, core::base::Reason reason, TimePoint now);
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
  // Importance of the least important account, if accounts have any.
  std::optional<core::base::Importance> least_account_;
  bool config_fresh_ = false;
  core::base::Pool<EntryCall> calls_;
  std::unordered_map<http::ExchangeId, EntryIndex> by_exchange_;
  std::unordered_map<core::base::CallId, EntryIndex> by_attempt_;
  std::unordered_map<core::base::RouteName, core::attempt::RetryBudget>
      retry_budgets_;
  std::uint64_t next_attempt_ = 1;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_ENTRY_BASE_H_
