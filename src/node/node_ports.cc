// Connects the systems of a node to each other and to its transports.
#include <chrono>
#include <optional>
#include <utility>

#include "core/base/reason_table.h"
#include "node/close_event.h"
#include "node/node_base.h"
#include "node/reply_func.h"
#include "node/request_id.h"
#include "node/secret_func.h"

namespace dogwoodrail::node {

using core::base::EventNumber;
using core::base::NodeAddress;
using core::base::Reason;

namespace {

constexpr std::size_t kContextBytes = 16;
// The longest wait in the queue of the backend server is the latency objective
// divided by these, for calls of external callers and of backend servers.
constexpr int kEntryWaitDivisor = 8;
constexpr int kNestedWaitDivisor = 2;

// Packs the generation and slot of an execution into one number.
std::uint64_t PackExecutionIndex(ExecutionIndex index) {
  constexpr unsigned kGenerationShift = 32;
  return (static_cast<std::uint64_t>(index.generation) << kGenerationShift) |
         index.slot;
}

}  // namespace

EntryPorts Node::MakeEntryPorts() {
  EntryPorts ports;
  ports.answer = [this](http::ExchangeId exchange, http::Response response) {
    caller_server_.Answer(exchange, std::move(response));
  };
  ports.on_identified = [this](http::ExchangeId exchange,
                               const core::base::RequestId& request) {
    caller_server_.SetRequest(exchange, request);
  };
  ports.send = [this](const NodeAddress& to, wire::CallMessage message) {
    return SendCall(to, std::move(message));
  };
  ports.cancel = [this](const Attempt& attempt) { CancelCall(attempt); };
  ports.find_context = [this](const std::string& token) {
    return serving_.FindContext(token);
  };
  ports.find_execution = [this](ExecutionIndex index) {
    return serving_.Find(index);
  };
  ports.backend_is_busy = [this] { return serving_.size() > 0; };
  ports.latest_execution_deadline = [this] {
    return serving_.LatestDeadline();
  };
  ports.make_request_id = [] { return MakeRequestId(WallNow()); };
  ports.hash_key = HashKey;
  ports.digest = FingerprintDigest;
  ports.poison_gate = [this](const EntryCall& call, TimePoint now) {
    return poison_.RefuseFor(call.fingerprint, now);
  };
  ports.on_attempt_unknown = [this](const EntryCall& call, TimePoint now) {
    poison_.OnAttemptUnknown(call.fingerprint, call.attempt->to,
                             call.attempt->sent_at, now);
  };
  ports.on_attempt_lost = [this](const EntryCall& call, TimePoint now) {
    poison_.OnAttemptLost(call.fingerprint, call.attempt->sent_at, now);
  };
  ports.rate_gate = [this](const EntryCall& call, TimePoint now) {
    rates_.OnCall(call, now);
  };
  if (settings_.features.shards) {
    ports.once_gate = [this](const EntryCall& call, TimePoint now) {
      once_.OnCall(call, now);
    };
  }
  ports.on_outcome = [this](const EntryCall& call, const EntryOutcome& outcome,
                            TimePoint now) {
    if (settings_.features.shards) once_.OnOutcome(call, outcome, now);
    if (call.rate_token_spent && outcome.ran == core::base::Ran::kNotRun) {
      rates_.Refund(call.account, now);
    }
    metrics_.OnRequestEnded(call.importance, outcome.reason,
                            now - call.received_at);
  };
  ports.on_refused = [this](core::base::Importance importance, Reason reason) {
    metrics_.OnRequestEnded(importance, reason, core::base::Duration(0));
  };
  ports.emit = emit_;
  ports.dialect = dialect_;
  if (settings_.chain.enabled) AddChainPorts(ports);
  return ports;
}

void Node::AddChainPorts(EntryPorts& ports) {
  ports.chain_gate = [this](const EntryCall& call, TimePoint now) {
    core::chain::GateRequest request;
    request.route = call.route.name;
    request.importance = call.importance;
    request.latency_objective = call.route.latency_objective;
    return chain_.Decide(request, now);
  };
  ports.on_nested_call = [this](const EntryCall& call) {
    if (!call.caller_timeout) return std::optional<core::chain::ChainOrigin>();
    return chain_.graph().OnCall(call.route.name,
                                 call.received_at + *call.caller_timeout);
  };
  ports.on_backpressure = [this](const EntryCall& call,
                                 const core::chain::Backpressure& backpressure,
                                 TimePoint now) {
    chain_.OnAnswer(call.route.name, call.attempt->to, backpressure, now);
  };
}

ServingPorts Node::MakeServingPorts() {
  ServingPorts ports;
  ports.reply = [this](const CallOrigin& origin, wire::AnswerMessage message) {
    Reply(origin, std::move(message));
  };
  ports.execute = [this](ExecutionIndex index, http::Request request,
                         core::base::Duration timeout) {
    return backend_client_.Execute(std::move(request), timeout,
                                   [this, index](http::BackendOutcome outcome) {
                                     OnBackendOutcome(index,
                                                      std::move(outcome));
                                   });
  };
  ports.abort = [this](http::ExecutionId execution, Reason reason) {
    backend_client_.Cancel(execution, reason);
  };
  ports.make_context = [] { return RandomHex(kContextBytes); };
  ports.on_execution_ended = [this](ExecutionIndex index, TimePoint now) {
    entry_.CancelChildren(index, now);
  };
  ports.on_backend = [this](const BackendAnnouncement& backend, TimePoint now) {
    members_.SetBackend(backend, now);
    const bool is_gone = backend.state == core::base::BackendServerState::kGone;
    if (is_gone) poison_.OnProcessEnded(now);
  };
  AddPoisonPorts(ports);
  ports.memory = &memory_;
  ports.contain = [this](const std::function<void()>& work) {
    return barrier_.Run("execution", work);
  };
  ports.emit = emit_;
  ports.dialect = dialect_;
  if (settings_.chain.enabled) AddChainPorts(ports);
  return ports;
}

void Node::OnBackendOutcome(ExecutionIndex index,
                            http::BackendOutcome outcome) {
  const bool ok = barrier_.Run("outcome", [&] {
    serving_.OnBackendOutcome(index, std::move(outcome), Now());
  });
  if (ok) return;
  barrier_.Run("failed_outcome",
               [&] { serving_.OnExecutionFailed(index, Now()); });
}

// The backend server receives the remaining time in whole milliseconds. The
// graph matches calls by deadline, so the deadline is rounded in the same way.
void Node::AddChainPorts(ServingPorts& ports) {
  ports.on_started = [this](const Execution& execution, TimePoint now) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            execution.deadline - now);
    chain_.graph().OnStarted(
        PackExecutionIndex(execution.index), execution.message.route,
        {execution.message.importance, execution.message.entry_share},
        now + remaining);
  };
  ports.on_ended = [this](const Execution& execution) {
    chain_.graph().OnEnded(PackExecutionIndex(execution.index));
  };
  ports.max_wait = [this](const wire::CallMessage& message) {
    return MaxQueueWait(message);
  };
  ports.get_backpressure = [this](const core::base::RouteName& route,
                                  TimePoint now) {
    return chain_.BackpressureOf(route, now);
  };
}

void Node::AddPoisonPorts(ServingPorts& ports) {
  ports.check_call = [this](const wire::CallMessage& message, TimePoint now) {
    return poison_.RefuseFor(message.fingerprint, now)
               ? std::optional<Reason>(Reason::kPoisonRequest)
               : std::nullopt;
  };
  ports.may_start = [this](const Execution& execution, TimePoint now) {
    return poison_.MayStart(execution, now);
  };
  ports.on_finished = [this](const Execution& execution,
                             const http::BackendOutcome& outcome,
                             TimePoint now) {
    poison_.OnFinished(execution, outcome, now);
    if (on_backend_outcome_) on_backend_outcome_(outcome, now);
  };
}

// A call of an external caller waits for a shorter time, because it can be sent
// to another node early. Refusing a call further down a chain also loses the
// work already done for the request.
std::optional<core::base::Duration> Node::MaxQueueWait(
    const wire::CallMessage& message) const {
  const auto* route = config_ ? config_->FindRoute(message.route) : nullptr;
  if (route == nullptr || route->latency_objective.count() == 0) {
    return std::nullopt;
  }
  return core::base::Duration(route->latency_objective) /
         (message.hop > 0 ? kNestedWaitDivisor : kEntryWaitDivisor);
}

PoisonPorts Node::MakePoisonPorts() {
  PoisonPorts ports;
  ports.pick_peer = [this] { return members_.PickPeer(); };
  ports.count_members = [this] { return members_.table().live_count(); };
  ports.send = [this](const NodeAddress& to, const wire::Bytes& datagram) {
    datagrams_.Send(to, datagram);
  };
  return ports;
}

RateOwners Node::MakeRateOwners() {
  using core::shard::ShardIndex;
  RateOwners owners;
  owners.self = {self_peer_.address, self_peer_.incarnation};
  if (!settings_.features.shards) {
    owners.authority.epoch = [this](ShardIndex shard, TimePoint) {
      return grantors_.IsGrantor(shard) ? kAssignedGrantorEpoch
                                        : core::shard::Epoch();
    };
    owners.authority.standby = [](ShardIndex, TimePoint) {
      return std::nullopt;
    };
    owners.owner = [this](ShardIndex shard) {
      return grantors_.GrantorOf(shard);
    };
    owners.look_up = [](ShardIndex, TimePoint) {};
    return owners;
  }
  owners.authority.epoch = [this](ShardIndex shard, TimePoint now) {
    return shards_.table().AuthorityEpoch(shard, now);
  };
  owners.authority.standby = [this](ShardIndex shard, TimePoint now) {
    return shards_.table().CurrentStandby(shard, now);
  };
  owners.owner = [this](ShardIndex shard) {
    return shards_.table().KnownPrimary(shard);
  };
  owners.look_up = [this](ShardIndex shard, TimePoint now) {
    shards_.table().RequestOwner(shard, now);
  };
  return owners;
}

http::Response Node::FailRequest(http::ExchangeId exchange, Reason reason,
                                 const std::string& cause) {
  if (reason == Reason::kInternal) barrier_.Report("request", cause);
  barrier_.Run("failed_request", [&] { entry_.OnCancel(exchange, Now()); });
  RefusalReply reply;
  reply.reason = reason;
  reply.ran = core::base::Ran::kUnknown;
  reply.request = MakeRequestId(WallNow());
  emit_({EventNumber::kRequestRefused,
         reply.request,
         {},
         "reason=" + std::string(core::base::GetReasonSpec(reason).code) +
             " ran=unknown cause=" + cause});
  return dialect_.make_refusal(reply);
}

http::CallerServerHooks Node::MakeCallerHooks() {
  http::CallerServerHooks hooks;
  hooks.on_request = [this](http::ExchangeId exchange, http::Request request) {
    CheckSuspension();
    const TimePoint now = Now();
    entry_.SetConfigFresh(is_config_fresh_ && is_config_fresh_(now));
    entry_.OnRequest(exchange, std::move(request), now);
  };
  hooks.on_cancel = [this](http::ExchangeId exchange) {
    entry_.OnCancel(exchange, Now());
  };
  hooks.on_malformed = [this](Reason reason, const std::string& detail) {
    RefusalReply reply;
    reply.reason = reason;
    reply.request = MakeRequestId(WallNow());
    reply.detail = detail;
    emit_({EventNumber::kRequestRefused,
           reply.request,
           {},
           "reason=" + std::string(core::base::GetReasonSpec(reason).code)});
    return dialect_.make_refusal(reply);
  };
  hooks.on_failed = [this](http::ExchangeId exchange, Reason reason,
                           const std::string& cause) {
    return FailRequest(exchange, reason, cause);
  };
  hooks.on_closed = [this](const http::ConnectionClose& close) {
    metrics_.OnConnectionClosed(close);
    emit_(MakeCloseEvent(close));
  };
  return hooks;
}

}  // namespace dogwoodrail::node
