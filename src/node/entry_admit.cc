// EntrySystem: the gates that a request passes before it is dispatched.
#include <algorithm>
#include <utility>

#include "core/base/reason_table.h"
#include "node/entry_base.h"
#include "node/reply_func.h"

namespace dogwoodrail::node {

using core::base::EventNumber;
using core::base::Importance;
using core::base::Ran;
using core::base::Reason;

namespace {

// Difference between the deadlines of an execution and of its calls, from
// rounding and from the way of the messages.
constexpr core::base::Duration kDeadlineTolerance =
    std::chrono::milliseconds(100);

}  // namespace

EntrySystem::EntrySystem(EntrySettings settings,
                         core::route::EndpointChooser& chooser,
                         EntryPorts ports)
    : settings_(settings),
      chooser_(chooser),
      ports_(std::move(ports)),
      random_(settings.seed),
      splits_(settings.seed) {}

void EntrySystem::OnRequest(http::ExchangeId exchange, http::Request message,
                            TimePoint now) {
  EntryCall call;
  call.exchange = exchange;
  call.received_at = now;
  call.message = std::move(message);
  const auto headers = ports_.dialect.extract_headers(call.message);
  const bool is_named = headers && !headers->request.empty();
  call.request = is_named ? headers->request : ports_.make_request_id();
  if (ending_) return RefuseImmediately(call, {Reason::kShuttingDown, ""});
  if (!headers) {
    return RefuseImmediately(call,
                             {headers.error().reason, headers.error().detail});
  }
  if (const auto refusal = Identify(*headers, call)) {
    return RefuseImmediately(call, *refusal);
  }
  if (IsTooLate(call, now)) {
    return RefuseImmediately(call, {Reason::kShuttingDown, ""});
  }
  call.idempotency_key = headers->idempotency_key;
  Admit(std::move(call), now);
}

// An execution may need its calls to finish. But a call that may outlast this
// node would be broken off while a backend server is at work on it; if it is
// refused, the execution still learns in time that it has not run.
bool EntrySystem::IsTooLate(const EntryCall& call, TimePoint now) const {
  if (!calls_end_) return false;
  return call.deadline > *calls_end_ || !IsCallOfExecution(call, now);
}

// Where calls of executions carry no context, a caller's request may look like
// one. The deadline tells them apart: a call has no more time than its
// execution, and no execution began since requests are refused.
bool EntrySystem::IsCallOfExecution(const EntryCall& call,
                                    TimePoint now) const {
  if (call.hop == 0) return false;
  if (call.parent.IsValid()) return true;
  if (!ports_.latest_execution_deadline || !call.caller_timeout) return false;
  const auto latest = ports_.latest_execution_deadline();
  return latest && now + *call.caller_timeout <= *latest + kDeadlineTolerance;
}

void EntrySystem::Admit(EntryCall call, TimePoint now) {
  call.fingerprint = MakeFingerprint(call);
  const EntryIndex index = calls_.Add(std::move(call));
  EntryCall& added = *calls_.Find(index);
  added.index = index;
  by_exchange_[added.exchange] = index;
  if (ports_.on_identified) ports_.on_identified(added.exchange, added.request);
  if (Execution* parent = ParentOf(added)) parent->downstream.Begin(now);
  RetryBudgetOf(added.route).OnRequest(now);
  if (added.hop > 0 && ports_.on_nested_call) {
    const auto origin = ports_.on_nested_call(added);
    added.importance = origin ? origin->importance : added.importance;
    added.entry_share = origin ? origin->entry_share : added.entry_share;
  }
  Emit(EventNumber::kRequestReceived, added,
       "route=" + added.route.name.value() +
           " hop=" + std::to_string(added.hop));
  const auto blocked_for = ports_.poison_gate
                               ? ports_.poison_gate(added, now)
                               : std::optional<core::base::Duration>();
  if (blocked_for) {
    return FinishWithRefusal(added, Reason::kPoisonRequest, *blocked_for, now);
  }
  EnterStage(added, EntryStage::kRate, now);
}

// Only requests from callers spend a rate token. A nested call belongs to a
// request that spent one at its first entry.
void EntrySystem::EnterStage(EntryCall& call, EntryStage stage, TimePoint now) {
  call.stage = stage;
  const EntryIndex index = call.index;
  if (stage == EntryStage::kRate) {
    const bool counted = call.hop == 0 && !call.account.empty();
    if (ports_.rate_gate && counted) return ports_.rate_gate(call, now);
    return EnterStage(call, EntryStage::kClaim, now);
  }
  if (stage == EntryStage::kClaim) {
    if (ports_.once_gate && !call.route.idempotent) {
      return ports_.once_gate(call, now);
    }
    return EnterStage(call, EntryStage::kDispatch, now);
  }
  PassChainGate(*calls_.Find(index), now);
}

// Nested calls skip the chain gate: their request was admitted at the entry of
// the chain.
void EntrySystem::PassChainGate(EntryCall& call, TimePoint now) {
  if (ports_.chain_gate && call.hop == 0) {
    const auto verdict = ports_.chain_gate(call, now);
    call.entry_share = verdict.share;
    if (!verdict.admitted) {
      call.refusal_inputs =
          " share=" + std::to_string(verdict.share) +
          " bottleneck=" + std::to_string(verdict.bottleneck.value());
      return FinishWithRefusal(call, Reason::kChainOverloaded,
                               verdict.retry_after, now);
    }
  }
  Dispatch(call, now);
}

void EntrySystem::OnGateResult(EntryIndex index, const GateResult& answer,
                               TimePoint now) {
  EntryCall* call = calls_.Find(index);
  if (call == nullptr) return;
  if (answer.replay) {
    EntryOutcome outcome{Ran::kRan, Reason::kNone, nullptr};
    http::Response response = *answer.replay;
    ports_.dialect.add_reply_headers(response, {call->request, Ran::kRan, 0});
    return Finish(*call, outcome, std::move(response), now);
  }
  if (call->stage == EntryStage::kRate) {
    return OnRateResult(*call, answer, now);
  }
  if (!answer.admitted) {
    call->may_have_run = answer.ran != Ran::kNotRun;
    return FinishWithRefusal(*call, answer.reason, answer.retry_after, now);
  }
  call->start_before = answer.start_before;
  EnterStage(*call, EntryStage::kDispatch, now);
}

void EntrySystem::OnRateResult(EntryCall& call, const GateResult& answer,
                               TimePoint now) {
  call.rate_token_spent = answer.admitted;
  if (IsOutdated(call)) return OnOutdatedRate(call, answer, now);
  if (!answer.admitted) {
    return FinishWithRefusal(call, answer.reason, answer.retry_after, now);
  }
  EnterStage(call, EntryStage::kClaim, now);
}

// The limiter knows accounts, not keys: it refuses the calls of an account that
// is gone, though their keys may belong to another one now.
void EntrySystem::OnOutdatedRate(EntryCall& call, const GateResult& answer,
                                 TimePoint now) {
  const core::base::AccountName account = call.account;
  if (const auto refusal = Reidentify(call)) {
    return FinishWithRefusal(call, refusal->reason, core::base::Duration(0),
                             now);
  }
  const bool decided =
      call.account == account && answer.reason != Reason::kUnknownKey;
  if (decided) return OnRateResult(call, answer, now);
  call.rate_token_spent = false;
  EnterStage(call, EntryStage::kRate, now);
}

// Returns the number of the configuration in use, for the event log.
std::string EntrySystem::ConfigDetail() const {
  if (!config_) return " config=none";
  return " config=" + std::to_string(config_->number().value());
}

// Returns the number of the configuration by which a call was routed, for the
// event log.
std::string EntrySystem::DecidedBy(const EntryCall& call) {
  return " decided_by=" + std::to_string(call.config_number.value());
}

void EntrySystem::RefuseImmediately(const EntryCall& call,
                                    const Refusal& refusal) {
  Emit(EventNumber::kRequestRefused, call,
       "reason=" + std::string(core::base::GetReasonSpec(refusal.reason).code) +
           " ran=not run" + ConfigDetail());
  if (ports_.on_refused) ports_.on_refused(call.importance, refusal.reason);
  if (ports_.on_identified) ports_.on_identified(call.exchange, call.request);
  RefusalReply reply;
  reply.reason = refusal.reason;
  reply.request = call.request;
  reply.detail = refusal.detail;
  ports_.answer(call.exchange, ports_.dialect.make_refusal(reply));
}

}  // namespace dogwoodrail::node
