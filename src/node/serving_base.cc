#include "node/serving_base.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/base/reason_table.h"

namespace dogwoodrail::node {

using core::admission::AdmissionAction;
using core::admission::AdmissionActions;
using core::admission::AdmissionResult;
using core::admission::ExecutionOutcome;
using core::admission::ExecutionResult;
using core::base::BackendServerState;
using core::base::CallId;
using core::base::Duration;
using core::base::EventNumber;
using core::base::Ran;
using core::base::Reason;

namespace {

// Packs the pool index of an execution into the id that admission uses for it.
CallId AdmissionId(ExecutionIndex index) {
  constexpr unsigned kGenerationShift = 32;
  return CallId(
      (static_cast<std::uint64_t>(index.generation) << kGenerationShift) |
      index.slot);
}

// Returns the pool index packed into an admission id.
ExecutionIndex ExecutionIndexOf(CallId id) {
  constexpr unsigned kGenerationShift = 32;
  return ExecutionIndex{
      static_cast<std::uint32_t>(id.value()),
      static_cast<std::uint32_t>(id.value() >> kGenerationShift)};
}

// Returns how many calls of offered load this call represents. If the entry of
// the chain admits only a share of the requests, each admitted one also counts
// for those refused there. Repeated attempts count as zero, because the first
// attempt was already counted.
double DemandWeightOf(const wire::CallMessage& message) {
  constexpr double kMinEntryShare = 0.02;
  if (message.attempt > 1) return 0;
  return 1.0 / std::max(message.entry_share, kMinEntryShare);
}

// Returns the result that admission records for an execution. A server error
// after a failed downstream call says nothing about this backend server, and
// counts as success.
ExecutionResult AdmissionResultOf(const http::BackendOutcome& outcome,
                                  bool downstream_failed) {
  constexpr int kFirstServerError = 500;
  if (outcome.reason == Reason::kCancelled ||
      outcome.reason == Reason::kDeadlineExceeded) {
    return ExecutionResult::kCancelled;
  }
  if (outcome.ran == Ran::kNotRun && outcome.reason == Reason::kOverloaded) {
    return ExecutionResult::kShedByBackend;
  }
  if (outcome.reason != Reason::kNone ||
      outcome.response.status >= kFirstServerError) {
    return downstream_failed ? ExecutionResult::kOk : ExecutionResult::kFailed;
  }
  return ExecutionResult::kOk;
}

}  // namespace

ServingSystem::ServingSystem(ServingSettings settings,
                             core::admission::AdmissionControl& admission,
                             ServingPorts ports)
    : settings_(settings), admission_(admission), ports_(std::move(ports)) {}

void ServingSystem::OnCall(const CallOrigin& origin, wire::CallMessage message,
                           TimePoint now) {
  const Reason refusal = CheckCall(message, now);
  if (refusal != Reason::kNone) {
    return ReplyRefusal(origin, message, refusal, Duration(0));
  }
  // The body of a call of this node is counted with the request of its caller.
  core::base::MemoryReservation memory(ports_.memory);
  const bool is_remote = origin.link != wire::LinkId();
  if (is_remote && !memory.TryResize(message.body.size())) {
    return ReplyRefusal(origin, message, Reason::kOverloaded, Duration(0));
  }
  Execution execution;
  execution.origin = origin;
  execution.memory = std::move(memory);
  execution.received_at = now;
  execution.deadline = now + message.remaining;
  execution.budget =
      core::attempt::AttemptBudget::FromShare(message.attempts_share);
  execution.message = std::move(message);
  const ExecutionIndex index = executions_.Add(std::move(execution));
  Execution& added = *executions_.Find(index);
  added.index = index;
  core::admission::AdmissionRequest request;
  request.call = AdmissionId(index);
  request.account = added.message.account;
  request.importance = added.message.importance;
  request.nested = added.message.hop > 0;
  request.demand_weight = DemandWeightOf(added.message);
  request.deadline = added.deadline;
  if (ports_.max_wait) request.max_wait = ports_.max_wait(added.message);
  const auto decision = admission_.Offer(request, now);
  if (decision.result == AdmissionResult::kRun) {
    Start(added, now);
  } else if (decision.result == AdmissionResult::kRefused) {
    Refuse(added, decision.reason, decision.retry_after);
    Remove(added, now);
  }
  Apply(decision.actions, now);
}

// After a pause of the process, it is unknown how long a call waited unread.
// Its sender may have given up on it and told its caller that it did not run.
Reason ServingSystem::CheckCall(const wire::CallMessage& message,
                                TimePoint now) const {
  if (stopping_) return Reason::kShuttingDown;
  if (now - last_tick_ > settings_.pause_threshold) {
    return Reason::kDeadlineTooShort;
  }
  if (!announced_ || message.service != backend_.service ||
      now - announced_at_ > settings_.announcement_lease) {
    return Reason::kNoBackendServer;
  }
  if (backend_.state == BackendServerState::kDraining ||
      backend_.state == BackendServerState::kGone) {
    return Reason::kBackendServerLeaving;
  }
  if (message.remaining <= Duration(0)) return Reason::kDeadlineTooShort;
  if (!ports_.check_call) return Reason::kNone;
  return ports_.check_call(message, now).value_or(Reason::kNone);
}

void ServingSystem::Apply(const AdmissionActions& actions, TimePoint now) {
  for (const AdmissionAction& it : actions) {
    Execution* execution = executions_.Find(ExecutionIndexOf(it.call));
    if (execution == nullptr) continue;
    if (it.kind == AdmissionAction::Kind::kRun) {
      Start(*execution, now);
    } else {
      Refuse(*execution, it.reason, it.retry_after);
      Remove(*execution, now);
    }
  }
}

// Refuses an admitted call before it starts, and returns its slot to admission.
void ServingSystem::RefuseAdmitted(Execution& execution, Reason reason,
                                   TimePoint now) {
  Refuse(execution, reason, Duration(0));
  const ExecutionOutcome ended{Duration(0), ExecutionResult::kCancelled};
  const AdmissionActions actions =
      admission_.Finish(AdmissionId(execution.index), ended, now);
  Remove(execution, now);
  Apply(actions, now);
}

void ServingSystem::Start(Execution& execution, TimePoint now) {
  if (!ports_.contain) return Execute(execution, now);
  const ExecutionIndex index = execution.index;
  const bool ok = ports_.contain([&] { Execute(execution, now); });
  if (!ok) OnExecutionFailed(index, now);
}

void ServingSystem::Execute(Execution& execution, TimePoint now) {
  if (ports_.may_start) {
    const auto refusal = ports_.may_start(execution, now);
    if (refusal) return RefuseAdmitted(execution, *refusal, now);
  }
  execution.running = true;
  execution.started_at = now;
  execution.context = ports_.make_context();
  by_context_[execution.context] = execution.index;
  Emit(EventNumber::kExecutionStarted, execution.message, "");
  if (ports_.on_started) ports_.on_started(execution, now);
  execution.backend = ports_.execute(
      execution.index, TakeRequest(execution, now), execution.deadline - now);
}

http::Request ServingSystem::TakeRequest(Execution& execution,
                                         TimePoint now) const {
  wire::CallMessage& message = execution.message;
  http::Request request;
  request.method = message.method;
  request.target = message.target;
  request.body = std::move(message.body);
  for (const wire::HeaderField& it : message.headers) {
    request.headers.push_back(http::Header{it.name, it.value});
  }
  ExecutionInfo info;
  info.request = message.request;
  info.account = message.account;
  info.importance = message.importance;
  info.context = execution.context;
  info.instance = backend_.instance;
  info.remaining = execution.deadline - now;
  info.attempt = message.attempt;
  ports_.dialect.add_execution_headers(request, info);
  return request;
}

void ServingSystem::OnBackendOutcome(ExecutionIndex index,
                                     http::BackendOutcome outcome,
                                     TimePoint now) {
  Execution* execution = executions_.Find(index);
  if (execution == nullptr) return;
  if (ports_.on_finished) ports_.on_finished(*execution, outcome, now);
  const core::base::Duration latency = now - execution->started_at;
  const core::admission::DownstreamTime& downstream = execution->downstream;
  const ExecutionOutcome ended{latency,
                               AdmissionResultOf(outcome, downstream.failed()),
                               latency - downstream.Total(now)};
  const AdmissionActions actions =
      admission_.Finish(AdmissionId(index), ended, now);
  Emit(EventNumber::kExecutionFinished, execution->message,
       "ran=" + std::string(core::base::RanText(outcome.ran)) +
           " status=" + std::to_string(outcome.response.status) +
           (outcome.detail.empty() ? "" : " cause=" + outcome.detail) +
           (outcome.ran == Ran::kUnknown
                ? " fingerprint=" + core::poison::FingerprintText(
                                        execution->message.fingerprint)
                : ""));
  wire::AnswerMessage answer;
  answer.call = execution->message.call;
  answer.ran = outcome.ran;
  answer.reason = outcome.reason;
  answer.attempts_unspent =
      static_cast<std::uint16_t>(execution->budget.Close());
  if (outcome.reason == Reason::kNone) {
    answer.status = outcome.response.status;
    answer.body = std::move(outcome.response.body);
    for (http::Header& it : outcome.response.headers) {
      if (http::IsHopByHopHeader(it.name) || http::IsReservedHeader(it.name)) {
        continue;
      }
      answer.headers.push_back(
          wire::HeaderField{std::move(it.name), std::move(it.value)});
    }
  }
  answer.load = MakeLoadHint();
  if (ports_.get_backpressure) {
    answer.backpressure =
        ports_.get_backpressure(execution->message.route, now);
  }
  answer.reached = true;
  answer.invalid_answer = outcome.invalid_answer;
  ports_.reply(execution->origin, std::move(answer));
  Remove(*execution, now);
  Apply(actions, now);
}

void ServingSystem::Refuse(Execution& execution, Reason reason,
                           Duration retry_after) {
  ReplyRefusal(execution.origin, execution.message, reason, retry_after);
}

void ServingSystem::ReplyRefusal(const CallOrigin& origin,
                                 const wire::CallMessage& message,
                                 Reason reason, Duration retry_after) {
  Emit(EventNumber::kExecutionRefused, message,
       "reason=" + std::string(core::base::GetReasonSpec(reason).code));
  wire::AnswerMessage answer;
  answer.call = message.call;
  answer.ran = Ran::kNotRun;
  answer.reason = reason;
  answer.retry_after = retry_after;
  answer.attempts_unspent = message.attempts_share;
  answer.load = MakeLoadHint();
  if (ports_.get_backpressure) {
    answer.backpressure = ports_.get_backpressure(message.route, last_tick_);
  }
  ports_.reply(origin, std::move(answer));
}

void ServingSystem::OnTruncatedCall(const CallOrigin& origin, CallId call) {
  wire::CallMessage message;
  message.call = call;
  ReplyRefusal(origin, message, Reason::kOverloaded, Duration(0));
}

void ServingSystem::OnCancel(const CallOrigin& origin, CallId call,
                             TimePoint now) {
  for (const ExecutionIndex index : FindCalls(origin, call)) {
    Execution* execution = executions_.Find(index);
    if (execution != nullptr) Abort(*execution, Reason::kCancelled, now);
  }
}

std::vector<ExecutionIndex> ServingSystem::FindCalls(const CallOrigin& origin,
                                                     CallId call) {
  std::vector<ExecutionIndex> found;
  executions_.ForEach([&](ExecutionIndex index, const Execution& it) {
    if (it.origin.link == origin.link && it.message.call == call) {
      found.push_back(index);
    }
  });
  return found;
}

void ServingSystem::OnCallFailed(const CallOrigin& origin, CallId call,
                                 TimePoint now) {
  const std::vector<ExecutionIndex> failed = FindCalls(origin, call);
  if (failed.empty()) return ReplyFailed(origin, call);
  for (const ExecutionIndex index : failed) OnExecutionFailed(index, now);
}

// The backend server may have the request, so its connection is closed.
// Admission counts the call as running or as queued; the other of the two calls
// has no effect.
void ServingSystem::OnExecutionFailed(ExecutionIndex index, TimePoint now) {
  Execution* execution = executions_.Find(index);
  if (execution == nullptr) return;
  ReplyFailed(execution->origin, execution->message.call);
  const bool running = execution->running;
  const http::ExecutionId backend = execution->backend;
  const CallId id = AdmissionId(index);
  const ExecutionOutcome ended{Duration(0), ExecutionResult::kCancelled};
  const AdmissionActions finished = admission_.Finish(id, ended, now);
  const AdmissionActions cancelled = admission_.Cancel(id, now);
  Remove(*execution, now);
  if (running) ports_.abort(backend, Reason::kInternal);
  Apply(finished, now);
  Apply(cancelled, now);
}

void ServingSystem::ReplyFailed(const CallOrigin& origin, CallId call) {
  wire::AnswerMessage answer;
  answer.call = call;
  answer.ran = Ran::kUnknown;
  answer.reason = Reason::kInternal;
  answer.load = MakeLoadHint();
  answer.reached = true;
  ports_.reply(origin, std::move(answer));
}

void ServingSystem::OnLinkLost(wire::LinkId link, TimePoint now) {
  std::vector<ExecutionIndex> lost;
  executions_.ForEach([&](ExecutionIndex index, const Execution& it) {
    if (it.origin.link == link) lost.push_back(index);
  });
  for (const ExecutionIndex index : lost) {
    Execution* execution = executions_.Find(index);
    if (execution != nullptr) Abort(*execution, Reason::kCancelled, now);
  }
}

// The queued calls go first, so that the end of a running one starts none.
std::optional<core::base::TimePoint> ServingSystem::LatestDeadline() {
  std::optional<TimePoint> latest;
  executions_.ForEach([&](ExecutionIndex, const Execution& it) {
    latest = std::max(latest.value_or(it.deadline), it.deadline);
  });
  return latest;
}

void ServingSystem::EndAll(TimePoint now) {
  stopping_ = true;
  for (const bool running : {false, true}) {
    std::vector<ExecutionIndex> ended;
    executions_.ForEach([&](ExecutionIndex index, const Execution& it) {
      if (it.running == running) ended.push_back(index);
    });
    for (const ExecutionIndex index : ended) {
      Execution* execution = executions_.Find(index);
      if (execution != nullptr) Abort(*execution, Reason::kShuttingDown, now);
    }
  }
}

// A running execution is removed in OnBackendOutcome(), after its connection is
// closed. A queued one is removed here.
void ServingSystem::Abort(Execution& execution, Reason reason, TimePoint now) {
  if (execution.running) return ports_.abort(execution.backend, reason);
  const AdmissionActions actions =
      admission_.Cancel(AdmissionId(execution.index), now);
  Refuse(execution, reason, Duration(0));
  Remove(execution, now);
  Apply(actions, now);
}

void ServingSystem::Remove(Execution& execution, TimePoint now) {
  const ExecutionIndex index = execution.index;
  const bool ran = execution.running;
  if (ran && ports_.on_ended) ports_.on_ended(execution);
  by_context_.erase(execution.context);
  executions_.Remove(index);
  if (ran) ports_.on_execution_ended(index, now);
}

// The queued calls are for the service that they name. If the address has gone
// to another one, they are refused.
void ServingSystem::OnAnnouncement(const BackendAnnouncement& announcement,
                                   TimePoint now) {
  const bool changed = !announced_ || announcement.state != backend_.state ||
                       announcement.service != backend_.service ||
                       announcement.address != backend_.address;
  const bool other_service =
      announced_ && announcement.service != backend_.service;
  if (other_service) SetBackendState(BackendServerState::kGone, now);
  announced_ = true;
  announced_at_ = now;
  backend_ = announcement;
  admission_.OnLoadReport(announcement.load, now);
  if (!changed) return;
  const bool leaving = announcement.state == BackendServerState::kDraining;
  ports_.emit({leaving ? EventNumber::kBackendServerLeaving
                       : EventNumber::kBackendServerAnnounced,
               {},
               {},
               "service=" + announcement.service.value() +
                   " address=" + announcement.address +
                   " instance=" + announcement.instance});
  SetBackendState(announcement.state, now);
}

void ServingSystem::SetBackendState(BackendServerState state, TimePoint now) {
  backend_.state = state;
  Apply(admission_.SetState(state, now), now);
  ports_.on_backend(backend_, now);
}

void ServingSystem::Tick(TimePoint now) {
  last_tick_ = now;
  if (announced_ && backend_.state != BackendServerState::kGone &&
      now - announced_at_ > settings_.announcement_lease) {
    ports_.emit({EventNumber::kBackendServerLost,
                 {},
                 {},
                 "service=" + backend_.service.value()});
    SetBackendState(BackendServerState::kGone, now);
  }
  Apply(admission_.Tick(now), now);
}

Execution* ServingSystem::FindContext(const std::string& token) {
  const auto it = by_context_.find(token);
  return it == by_context_.end() ? nullptr : executions_.Find(it->second);
}

core::route::LoadHint ServingSystem::MakeLoadHint() const {
  const auto snapshot = admission_.Snapshot();
  return core::route::LoadHint{static_cast<std::uint32_t>(snapshot.in_flight),
                               static_cast<std::uint32_t>(snapshot.limit),
                               static_cast<std::uint32_t>(snapshot.queued)};
}

void ServingSystem::Emit(EventNumber number, const wire::CallMessage& message,
                         std::string detail) const {
  ports_.emit({number, message.request, message.account, std::move(detail)});
}

}  // namespace dogwoodrail::node
