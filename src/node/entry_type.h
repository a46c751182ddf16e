#ifndef DOGWOODRAIL_NODE_ENTRY_TYPE_H_
#define DOGWOODRAIL_NODE_ENTRY_TYPE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/attempt/attempt_budget.h"
#include "core/base/event_type.h"
#include "core/base/id_type.h"
#include "core/base/pool_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "core/chain/chain_control.h"
#include "core/config/config_type.h"
#include "http/caller_server.h"
#include "http/message_type.h"
#include "node/dialect_type.h"
#include "node/execution_type.h"
#include "wire/call_message.h"
#include "wire/links.h"

namespace dogwoodrail::node {

// Where an entry call stands.
enum class EntryStage : std::uint8_t {
  kRate,      // waits for the account's rate
  kOnce,      // waits for the claim of its idempotency key
  kDispatch,  // an attempt is about to be sent
  kBackoff,   // waits before a retry
  kAttempt,   // an attempt is under way
};

struct EntryCall;
using EntryIndex = core::base::PoolIndex<EntryCall>;

// The attempt under way.
struct Attempt {
  core::base::CallId id;
  core::base::NodeAddress to;
  std::optional<wire::SentFrame> frame;  // empty for an attempt at this node
  core::attempt::ShareId share;
  core::base::TimePoint sent_at;
};

// A request at the node that its caller reached.
struct EntryCall {
  EntryIndex index;
  EntryStage stage = EntryStage::kRate;
  http::ExchangeId exchange;
  core::base::RequestId request;
  core::base::AccountName account;  // empty on a route open to all
  core::config::Route route;
  core::base::ServiceName service;  // of the route, or its choice of a split
  core::base::Importance importance = core::base::Importance::kLookup;
  double entry_share = 1.0;  // of its like, let in at the entry of the chain
  std::uint8_t hop = 0;
  ExecutionIndex parent;  // the execution that made this call, if any
  core::base::TimePoint received_at;
  core::base::TimePoint deadline;
  // Time that the caller gave it.
  std::optional<core::base::Duration> caller_timeout;
  std::optional<std::string> idempotency_key;
  std::uint64_t fingerprint = 0;
  http::Request message;
  core::attempt::AttemptBudget budget;  // of a call without a parent
  std::uint32_t budget_at_start = 0;
  std::uint32_t dispatches = 0;
  std::uint32_t redirects = 0;  // dispatches that reached no backend server
  std::vector<core::base::NodeAddress> tried;
  core::base::TimePoint resume_at;
  core::base::TimePoint start_before;  // zero: no limit but the deadline
  std::optional<Attempt> attempt;
  bool rate_token_spent = false;  // a token of the account was spent on it
  bool may_have_run = false;
  core::base::Reason last_reason = core::base::Reason::kNone;
  core::base::Duration last_retry_after{0};
  std::string refusal_inputs;  // what decided a refusal, for the event log
};

// Answer of a gate that a call passes before it is dispatched.
struct GateResult {
  bool admitted = false;
  core::base::Reason reason = core::base::Reason::kNone;
  core::base::Ran ran = core::base::Ran::kNotRun;
  core::base::Duration retry_after{0};
  // The whole answer of an earlier run with the same idempotency key.
  std::optional<http::Response> replay;
  // A dispatch after this time is forbidden; zero for none.
  core::base::TimePoint start_before;
};

// How an entry call ended, for whoever keeps records of it.
struct EntryOutcome {
  core::base::Ran ran = core::base::Ran::kUnknown;
  core::base::Reason reason = core::base::Reason::kNone;
  const http::Response* response = nullptr;  // set with a whole answer
};

// What the entry system asks of the rest of the node.
struct EntryPorts {
  using TimePoint = core::base::TimePoint;

  // Sends the answer to the caller.
  std::function<void(http::ExchangeId, http::Response)> answer;
  // Sends a call to another node, or to the serving system of this one.
  std::function<core::base::Result<std::optional<wire::SentFrame>>(
      const core::base::NodeAddress&, const wire::CallMessage&)>
      send;
  // Tells a serving node that an attempt is no longer wanted.
  std::function<void(const Attempt&)> cancel;
  // Returns the execution with this context token, or nullptr.
  std::function<Execution*(const std::string& token)> find_context;
  // Returns an execution, or nullptr.
  std::function<Execution*(ExecutionIndex)> find_execution;
  // Makes a request id.
  std::function<core::base::RequestId()> make_request_id;
  // Returns the SHA-256 of a key.
  std::function<core::config::KeyHash(const std::string& key)> hash_key;
  core::base::EventSink emit;
  Dialect dialect;

  // Gates and observer, each optional. A gate answers, at once or later,
  // through EntrySystem::OnGateResult().
  std::function<void(const EntryCall&, TimePoint)> rate_gate;
  std::function<void(const EntryCall&, TimePoint)> once_gate;
  std::function<void(const EntryCall&, const EntryOutcome&, TimePoint)>
      on_outcome;
  // Decides whether a request may enter its chain; optional.
  std::function<core::chain::GateDecision(const EntryCall&, TimePoint)>
      chain_gate;
  // Takes a call that the local backend server makes, and returns what it
  // inherits from its request, if that can be told; optional.
  std::function<std::optional<core::chain::ChainOrigin>(const EntryCall&)>
      on_nested_call;
  // Observer of what answers tell of the services behind a route; optional.
  std::function<void(const EntryCall&, const core::chain::Backpressure&,
                     TimePoint)>
      on_backpressure;
  // True while the local backend server runs requests; optional.
  std::function<bool()> backend_is_busy;
  // Observer of requests that are refused before they become calls; optional.
  std::function<void(core::base::Importance, core::base::Reason)> on_refused;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_ENTRY_TYPE_H_
