// EntrySystem: attempts, retries and answers.
#include <algorithm>
#include <utility>
#include <vector>

#include "core/base/http_status.h"
#include "core/base/reason_table.h"
#include "node/entry_base.h"
#include "node/reply_func.h"

namespace dogwoodrail::node {

using core::attempt::AttemptBudget;
using core::attempt::AttemptShare;
using core::base::CallId;
using core::base::Duration;
using core::base::ErrorCode;
using core::base::EventNumber;
using core::base::Ran;
using core::base::Reason;
using core::route::CallResult;

namespace {

// The serving node also ends an attempt at its deadline, and it knows whether
// the request ran. The entry node waits this much longer for that answer.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(20);

// Returns the result that the endpoint chooser records for a failed attempt.
CallResult EndpointResultOf(Ran ran, Reason reason) {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kQueueFull:
    case Reason::kDeadlineTooShort:
      return CallResult::kRefused;
    case Reason::kBackendServerLeaving:
    case Reason::kShuttingDown:
    case Reason::kNoBackendServer:
      return CallResult::kLeaving;
    case Reason::kPoisonRequest:
    case Reason::kDeadlineExceeded:
      return ran == Ran::kNotRun ? CallResult::kDeclined : CallResult::kFailed;
    case Reason::kCancelled:
      return CallResult::kCancelled;
    default:
      return CallResult::kFailed;
  }
}

// Names the request in the event of its refusal if it may have crashed a
// backend server.
std::string FingerprintDetail(const EntryCall& call,
                              const EntryOutcome& outcome) {
  const bool named =
      outcome.ran == Ran::kUnknown || outcome.reason == Reason::kPoisonRequest;
  if (!named) return "";
  return " fingerprint=" + core::poison::FingerprintText(call.fingerprint);
}

// A serving node of an older version passes on whatever status it was sent.
void RejectInvalidStatus(wire::AnswerMessage& message) {
  const bool valid = message.reason != Reason::kNone ||
                     core::base::KindOfStatus(message.status) ==
                         core::base::StatusKind::kFinal;
  if (valid) return;
  message.ran = Ran::kUnknown;
  message.reason = Reason::kBackendServerFailed;
  message.invalid_answer = true;
}

}  // namespace

void EntrySystem::Dispatch(EntryCall& call, TimePoint now) {
  if (now >= call.deadline) {
    return FinishWithRefusal(call, Reason::kDeadlineExceeded, Duration(0), now);
  }
  if (call.start_before != TimePoint() && now >= call.start_before) {
    return FinishWithRefusal(call, Reason::kDeadlineExceeded, Duration(0), now);
  }
  core::route::ChooseRequest choose_request;
  choose_request.service = call.service;
  choose_request.account = call.account;
  choose_request.importance = call.importance;
  choose_request.excluded = call.tried_nodes;
  choose_request.may_throttle = call.hop == 0;
  const auto choice = chooser_.Choose(choose_request, now);
  if (choice.address.empty()) {
    const bool retried = call.last_reason != Reason::kNone;
    return FinishWithRefusal(
        call, retried ? call.last_reason : choice.reason,
        retried ? call.last_retry_after : choice.retry_after, now);
  }
  AttemptBudget* budget = BudgetOf(call);
  if (budget == nullptr) return Abort(call, Reason::kCancelled, now);
  if (!budget->TrySpend()) {
    return FinishWithRefusal(call, Reason::kAttemptsExhausted, Duration(0),
                             now);
  }
  const AttemptShare share = budget->Reserve();
  Attempt attempt;
  attempt.id = CallId(next_attempt_++);
  attempt.to = choice.address;
  attempt.share = share.id;
  attempt.sent_at = now;
  ++call.dispatches;
  call.tried_nodes.push_back(choice.address);
  call.stage = EntryStage::kAttempt;
  call.attempt = attempt;
  by_attempt_[attempt.id] = call.index;
  chooser_.OnSent(call.service, attempt.to);
  Emit(EventNumber::kAttemptSent, call,
       "to=" + attempt.to.value() +
           " attempt=" + std::to_string(call.dispatches) +
           " service=" + call.service.value() + DecidedBy(call));
  const auto sent = ports_.send(
      attempt.to, MakeCallMessage(call, attempt.id, share.count, now));
  if (!sent) {
    // No fault of the other node, and no other one would help.
    const bool is_own = sent.error().code == ErrorCode::kExhausted;
    EndAttempt(call, is_own ? CallResult::kCancelled : CallResult::kFailed,
               std::nullopt, now);
    const Reason reason =
        is_own ? Reason::kMemoryExhausted : Reason::kConnectionLost;
    return OnAttemptFailed(call, {Ran::kNotRun, reason, Duration(0), false},
                           now);
  }
  call.attempt->frame = *sent;
}

wire::CallMessage EntrySystem::MakeCallMessage(const EntryCall& call,
                                               const CallId& attempt,
                                               std::uint32_t share,
                                               TimePoint now) const {
  wire::CallMessage message;
  message.call = attempt;
  message.request = call.request;
  message.account = call.account;
  message.route = call.route.name;
  message.service = call.service;
  message.importance = call.importance;
  message.entry_share = call.entry_share;
  message.idempotent = call.route.idempotent;
  message.hop = call.hop;
  message.attempt = static_cast<std::uint8_t>(call.dispatches);
  message.attempts_share = static_cast<std::uint16_t>(share);
  message.remaining = call.deadline - now;
  if (call.start_before != TimePoint()) {
    message.start_within = call.start_before - now;
  }
  message.fingerprint = call.fingerprint;
  message.method = call.message.method;
  message.target = call.message.target;
  for (const http::Header& it : call.message.headers) {
    message.headers.push_back(wire::HeaderField{it.name, it.value});
  }
  message.body = call.message.body;
  return message;
}

// All calls made by one execution share its budget. Returns nullptr if that
// execution has ended.
AttemptBudget* EntrySystem::BudgetOf(EntryCall& call) {
  if (!call.parent.IsValid()) return &call.budget;
  Execution* parent = ParentOf(call);
  return parent == nullptr ? nullptr : &parent->budget;
}

Execution* EntrySystem::ParentOf(const EntryCall& call) {
  return call.parent.IsValid() ? ports_.find_execution(call.parent) : nullptr;
}

void EntrySystem::OnAnswer(wire::LinkId from, wire::AnswerMessage message,
                           TimePoint now) {
  EntryCall* call = FindAttempt(from, message.call);
  if (call == nullptr) return;
  if (ports_.on_backpressure) {
    ports_.on_backpressure(*call, message.backpressure, now);
  }
  if (AttemptBudget* budget = BudgetOf(*call)) {
    budget->Return(call->attempt->share, message.attempts_unspent);
  }
  RejectInvalidStatus(message);
  Emit(EventNumber::kAttemptAnswered, *call,
       "ran=" + std::string(core::base::RanText(message.ran)) + " reason=" +
           std::string(core::base::GetReasonSpec(message.reason).code));
  if (message.reason == Reason::kNone) {
    EndAttempt(*call, CallResult::kOk, message.load, now);
    return FinishWithAnswer(*call, std::move(message), now);
  }
  if (message.ran == Ran::kUnknown && ports_.on_attempt_unknown) {
    ports_.on_attempt_unknown(*call, now);
  }
  EndAttempt(*call, EndpointResultOf(message.ran, message.reason), message.load,
             now);
  OnAttemptFailed(*call,
                  {message.ran, message.reason, message.retry_after,
                   message.reached, message.invalid_answer},
                  now);
}

EntryCall* EntrySystem::FindAttempt(wire::LinkId from,
                                    core::base::CallId attempt) {
  const auto it = by_attempt_.find(attempt);
  EntryCall* call = it == by_attempt_.end() ? nullptr : calls_.Find(it->second);
  const bool matches = call != nullptr && call->attempt &&
                       (call->attempt->frame ? call->attempt->frame->link
                                             : wire::LinkId()) == from;
  if (matches) return call;
  ports_.emit({EventNumber::kLateAnswerDropped,
               {},
               {},
               "attempt=" + std::to_string(attempt.value())});
  return nullptr;
}

void EntrySystem::OnTruncatedAnswer(wire::LinkId from,
                                    core::base::CallId attempt, TimePoint now) {
  EntryCall* call = FindAttempt(from, attempt);
  if (call == nullptr) return;
  Emit(EventNumber::kAttemptLost, *call, "cause=no memory for the answer");
  EndAttempt(*call, CallResult::kOk, std::nullopt, now);
  OnAttemptFailed(
      *call, {Ran::kUnknown, Reason::kMemoryExhausted, Duration(0), true}, now);
}

void EntrySystem::OnLinkLost(const wire::LinkLoss& loss, TimePoint now) {
  std::vector<EntryIndex> lost;
  calls_.ForEach([&](EntryIndex index, EntryCall& call) {
    if (call.attempt && call.attempt->frame &&
        call.attempt->frame->link == loss.link) {
      lost.push_back(index);
    }
  });
  for (const EntryIndex index : lost) {
    EntryCall* call = calls_.Find(index);
    if (call == nullptr || !call->attempt) continue;
    const bool handled = call->attempt->frame->sequence < loss.first_unhandled;
    AttemptBudget* budget = BudgetOf(*call);
    if (budget != nullptr) budget->MarkLost(call->attempt->share);
    Emit(EventNumber::kAttemptLost, *call, "cause=" + loss.cause);
    if (handled && ports_.on_attempt_lost) ports_.on_attempt_lost(*call, now);
    EndAttempt(*call, CallResult::kFailed, std::nullopt, now);
    OnAttemptFailed(*call,
                    {handled ? Ran::kUnknown : Ran::kNotRun,
                     Reason::kConnectionLost, Duration(0), handled},
                    now);
  }
}

void EntrySystem::EndAttempt(EntryCall& call, CallResult result,
                             const std::optional<core::route::LoadHint>& hint,
                             TimePoint now) {
  const Attempt attempt = *call.attempt;
  call.attempt.reset();
  by_attempt_.erase(attempt.id);
  core::route::CallOutcome outcome;
  outcome.service = call.service;
  outcome.address = attempt.to;
  outcome.account = call.account;
  outcome.importance = call.importance;
  outcome.result = result;
  outcome.latency = now - attempt.sent_at;
  outcome.hint = hint;
  chooser_.OnAnswered(outcome, now);
}

void EntrySystem::OnAttemptFailed(EntryCall& call, const Failure& failure,
                                  TimePoint now) {
  const auto [ran, reason, retry_after, reached, invalid_answer] = failure;
  if (ran != Ran::kNotRun) call.may_have_run = true;
  call.last_reason = reason;
  call.last_retry_after = retry_after;
  if (ending_) return FinishWithRefusal(call, reason, retry_after, now);
  AttemptBudget* budget = BudgetOf(call);
  if (budget == nullptr) return Abort(call, Reason::kCancelled, now);
  const bool refund = ran == Ran::kNotRun && !reached &&
                      call.redirects < settings_.retry.free_redirects;
  if (refund) budget->Refund();
  core::attempt::RetryContext retry_context;
  retry_context.idempotent = call.route.idempotent;
  retry_context.ran = ran;
  retry_context.reason = reason;
  retry_context.nested = call.hop > 0;
  retry_context.reached = reached;
  retry_context.invalid_answer = invalid_answer;
  retry_context.redirects = call.redirects;
  retry_context.attempts_left = budget->remaining();
  retry_context.retries_made = call.dispatches - 1;
  retry_context.time_left = call.deadline - now;
  retry_context.has_untried_server = true;
  const auto decision = core::attempt::DecideRetry(
      retry_context, settings_.retry, RetryBudgetOf(call.route), now, random_);
  if (!decision.retry) {
    return FinishWithRefusal(call, reason, retry_after, now);
  }
  if (!reached) ++call.redirects;
  if (decision.backoff.count() == 0) return Dispatch(call, now);
  call.stage = EntryStage::kBackoff;
  call.resume_at = now + decision.backoff;
}

void EntrySystem::FinishWithAnswer(EntryCall& call, wire::AnswerMessage message,
                                   TimePoint now) {
  http::Response response;
  response.status = message.status;
  for (wire::HeaderField& it : message.headers) {
    response.headers.push_back(
        http::Header{std::move(it.name), std::move(it.value)});
  }
  response.body = std::move(message.body);
  const EntryOutcome outcome{Ran::kRan, Reason::kNone, &response};
  if (ports_.on_outcome) ports_.on_outcome(call, outcome, now);
  ports_.dialect.add_reply_headers(
      response, {call.request, Ran::kRan, AttemptsUsed(call)});
  Emit(EventNumber::kRequestAnswered, call,
       "status=" + std::to_string(response.status) + DecidedBy(call));
  const http::ExchangeId exchange = call.exchange;
  if (Execution* parent = ParentOf(call)) parent->downstream.End(true, now);
  Remove(call);
  ports_.answer(exchange, std::move(response));
}

void EntrySystem::FinishWithRefusal(EntryCall& call, Reason reason,
                                    Duration retry_after, TimePoint now) {
  RefusalReply reply;
  reply.reason = reason;
  reply.ran = call.may_have_run ? Ran::kUnknown : Ran::kNotRun;
  reply.retry_after = retry_after;
  reply.request = call.request;
  reply.attempts = AttemptsUsed(call);
  Finish(call, EntryOutcome{reply.ran, reason, nullptr},
         ports_.dialect.make_refusal(reply), now);
}

void EntrySystem::Finish(EntryCall& call, const EntryOutcome& outcome,
                         http::Response response, TimePoint now) {
  if (ports_.on_outcome) ports_.on_outcome(call, outcome, now);
  Emit(EventNumber::kRequestRefused, call,
       "reason=" + std::string(core::base::GetReasonSpec(outcome.reason).code) +
           " ran=" + std::string(core::base::RanText(outcome.ran)) + " route=" +
           call.route.name.value() + DecidedBy(call) + ConfigDetail() +
           call.refusal_inputs + FingerprintDetail(call, outcome));
  const http::ExchangeId exchange = call.exchange;
  if (Execution* parent = ParentOf(call)) {
    parent->downstream.End(outcome.reason == Reason::kNone, now);
  }
  Remove(call);
  ports_.answer(exchange, std::move(response));
}

void EntrySystem::OnCancel(http::ExchangeId exchange, TimePoint now) {
  const auto it = by_exchange_.find(exchange);
  if (it == by_exchange_.end()) return;
  EntryCall* call = calls_.Find(it->second);
  if (call != nullptr) Abort(*call, Reason::kCancelled, now);
}

// Cancels the attempt in flight, if any, and ends the call with `reason`.
void EntrySystem::Abort(EntryCall& call, Reason reason, TimePoint now) {
  Emit(EventNumber::kRequestCancelled, call,
       "reason=" + std::string(core::base::GetReasonSpec(reason).code));
  if (call.attempt) {
    ports_.cancel(*call.attempt);
    call.may_have_run = true;
    EndAttempt(call, CallResult::kCancelled, std::nullopt, now);
  }
  FinishWithRefusal(call, reason, Duration(0), now);
}

void EntrySystem::CancelChildren(ExecutionIndex parent, TimePoint now) {
  std::vector<EntryIndex> children;
  calls_.ForEach([&](EntryIndex index, const EntryCall& call) {
    if (call.parent == parent) children.push_back(index);
  });
  for (const EntryIndex index : children) {
    EntryCall* call = calls_.Find(index);
    if (call != nullptr) Abort(*call, Reason::kCancelled, now);
  }
}

void EntrySystem::EndAll(TimePoint now) {
  std::vector<EntryIndex> open;
  calls_.ForEach(
      [&](EntryIndex index, const EntryCall&) { open.push_back(index); });
  for (const EntryIndex index : open) {
    EntryCall* call = calls_.Find(index);
    if (call != nullptr) Abort(*call, Reason::kShuttingDown, now);
  }
}

void EntrySystem::Tick(TimePoint now) {
  std::vector<EntryIndex> expired;
  std::vector<EntryIndex> due;
  calls_.ForEach([&](EntryIndex index, const EntryCall& call) {
    const Duration grace = call.attempt ? kAnswerGrace : Duration(0);
    if (now >= call.deadline + grace) {
      expired.push_back(index);
    } else if (call.stage == EntryStage::kBackoff && now >= call.resume_at) {
      due.push_back(index);
    }
  });
  for (const EntryIndex index : expired) {
    EntryCall* call = calls_.Find(index);
    if (call != nullptr) Abort(*call, Reason::kDeadlineExceeded, now);
  }
  for (const EntryIndex index : due) {
    EntryCall* call = calls_.Find(index);
    if (call != nullptr) Dispatch(*call, now);
  }
}

void EntrySystem::Remove(EntryCall& call) {
  by_exchange_.erase(call.exchange);
  if (call.attempt) by_attempt_.erase(call.attempt->id);
  calls_.Remove(call.index);
}

// At the first entry, counts the attempts of the whole chain; for a nested
// call, only those of this hop.
std::uint32_t EntrySystem::AttemptsUsed(EntryCall& call) {
  if (call.parent.IsValid()) return call.dispatches;
  return call.budget_at_start - call.budget.remaining();
}

core::attempt::RetryBudget& EntrySystem::RetryBudgetOf(
    const core::config::Route& route) {
  const auto it = retry_budgets_
                      .try_emplace(route.name, route.retry_percent,
                                   settings_.retry.free_retries)
                      .first;
  it->second.SetPercent(route.retry_percent);
  return it->second;
}

void EntrySystem::Emit(EventNumber number, const EntryCall& call,
                       std::string detail) const {
  ports_.emit({number, call.request, call.account, std::move(detail)});
}

}  // namespace dogwoodrail::node
