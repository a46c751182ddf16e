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

// Processing stage of an entry call.
enum class EntryStage : std::uint8_t {
  kRate,      // waiting for the rate limiter of the account
  kClaim,     // waiting for the claim of the idempotency key
  kDispatch,  // about to send an attempt
  kBackoff,   // waiting before a retry
  kAttempt,   // waiting for the answer to an attempt
};

struct EntryCall;
using EntryIndex = core::base::PoolIndex<EntryCall>;

// The attempt in flight.
struct Attempt {
  core::base::CallId id;
  core::base::NodeAddress to;
  std::optional<wire::SentFrame> frame;  // not set if this node serves it
  core::attempt::ShareId share;
  core::base::TimePoint sent_at;
};

// What a request says of itself, from which the configuration in force decides
// on its route and its account.
struct CallerIdentity {
  std::string host;  // lower case, without a port
  std::optional<core::config::KeyHash> key;
  std::optional<std::uint32_t> max_attempts;
};

// A request on the node that received it from its caller.
struct EntryCall {
  EntryIndex index;
  EntryStage stage = EntryStage::kRate;
  http::ExchangeId exchange;
  core::base::RequestId request;
  CallerIdentity identity;
  core::base::TicketNumber config_number;  // of the configuration that decided
  core::base::AccountName account;         // empty for a request without a key
  core::config::Route route;
  core::base::ServiceName service;  // of the route, or picked by its split
  core::base::Importance importance = core::base::Importance::kLookup;
  // Share of comparable requests that the entry of the chain admits.
  double entry_share = 1.0;
  std::uint8_t hop = 0;
  ExecutionIndex parent;  // execution that made this call, if known
  core::base::TimePoint received_at;
  core::base::TimePoint deadline;
  // Timeout that the caller set, before the route's own limit is applied.
  std::optional<core::base::Duration> caller_timeout;
  std::optional<std::string> idempotency_key;
  core::poison::Fingerprint fingerprint;
  http::Request message;
  // Not used by a call with a parent, which spends the parent's budget.
  core::attempt::AttemptBudget budget;
  std::uint32_t budget_at_start = 0;
  std::uint32_t dispatches = 0;
  std::uint32_t redirects = 0;  // dispatches that reached no backend server
  std::vector<core::base::NodeAddress> tried_nodes;  // not chosen again
  core::base::TimePoint resume_at;                   // end of the backoff
  core::base::TimePoint start_before;  // latest dispatch; zero: the deadline
  std::optional<Attempt> attempt;
  bool rate_token_spent = false;  // refunded if the request did not run
  bool may_have_run = false;
  core::base::Reason last_reason = core::base::Reason::kNone;
  core::base::Duration last_retry_after{0};
  std::string refusal_inputs;  // inputs to a refusal, for the event log
};

// Decision of a gate that a call passes before it is dispatched.
struct GateResult {
  bool admitted = false;
  core::base::Reason reason = core::base::Reason::kNone;
  core::base::Ran ran = core::base::Ran::kNotRun;
  core::base::Duration retry_after{0};
  // Stored response of an earlier run with the same idempotency key.
  std::optional<http::Response> replay;
  // Latest time for a dispatch; zero for no limit.
  core::base::TimePoint start_before;
};

// How an entry call ended.
struct EntryOutcome {
  core::base::Ran ran = core::base::Ran::kUnknown;
  core::base::Reason reason = core::base::Reason::kNone;
  const http::Response* response = nullptr;  // set for a complete response
};

// Callbacks through which the entry system uses the rest of the node.
struct EntryPorts {
  using TimePoint = core::base::TimePoint;

  // Sends the response to the caller.
  std::function<void(http::ExchangeId, http::Response)> answer;
  // Sends a call to another node or to the serving system of this node.
  // Returns the frame sent, or nullopt if this node serves the call.
  std::function<core::base::Result<std::optional<wire::SentFrame>>(
      const core::base::NodeAddress&, wire::CallMessage)>
      send;
  // Asks the serving node to cancel an attempt.
  std::function<void(const Attempt&)> cancel;
  // Returns the execution with this context token, or nullptr.
  std::function<Execution*(const std::string& token)> find_context;
  // Returns an execution, or nullptr.
  std::function<Execution*(ExecutionIndex)> find_execution;
  // Generates a request id.
  std::function<core::base::RequestId()> make_request_id;
  // Returns the SHA-256 hash of a key.
  std::function<core::config::KeyHash(const std::string& key)> hash_key;
  core::base::EventSink emit;
  Dialect dialect;

  // Returns how long a request is still refused because it crashes backend
  // servers; nullopt if it is not. Optional.
  std::function<std::optional<core::base::Duration>(const EntryCall&,
                                                    TimePoint)>
      poison_gate;
  // Observer of attempts whose serving node was lost after it may have started
  // them; optional.
  std::function<void(const EntryCall&, TimePoint)> on_attempt_lost;
  // Observer of attempts that were answered with an unknown outcome; optional.
  std::function<void(const EntryCall&, TimePoint)> on_attempt_unknown;
  // Computes the digest that fingerprints are made of.
  core::poison::DigestFunction digest;

  // Gates and an observer, each optional. A gate reports its decision by
  // calling EntrySystem::OnGateResult(), possibly before it returns.
  std::function<void(const EntryCall&, TimePoint)> rate_gate;
  std::function<void(const EntryCall&, TimePoint)> once_gate;
  std::function<void(const EntryCall&, const EntryOutcome&, TimePoint)>
      on_outcome;
  // Decides whether to admit a request to its chain of services; optional.
  std::function<core::chain::EntryDecision(const EntryCall&, TimePoint)>
      chain_gate;
  // Called for each call of the local backend server. Returns what the call
  // inherits from the request that it belongs to, if that one can be
  // identified; optional.
  std::function<std::optional<core::chain::ChainOrigin>(const EntryCall&)>
      on_nested_call;
  // Observer of the backpressure that answers carry from the services behind a
  // route; optional.
  std::function<void(const EntryCall&, const core::chain::Backpressure&,
                     TimePoint)>
      on_backpressure;
  // Returns true while the local backend server has requests queued or
  // running; optional.
  std::function<bool()> backend_is_busy;
  // Returns the latest deadline of the requests queued or running at the local
  // backend server, or nothing if there are none; optional.
  std::function<std::optional<TimePoint>()> latest_execution_deadline;
  // Observer of requests that are refused before they become calls; optional.
  std::function<void(core::base::Importance, core::base::Reason)> on_refused;
  // Observer of the id of each request; optional.
  std::function<void(http::ExchangeId, const core::base::RequestId&)>
      on_identified;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_ENTRY_TYPE_H_
