#include "core/base/reason_table.h"

#include <array>
#include <cstddef>

namespace dogwoodrail::core::base {
namespace {

constexpr std::size_t kReasonCount = static_cast<std::size_t>(Reason::kCount);

// clang-format off
constexpr std::array<ReasonSpec, kReasonCount> kReasons = {{
    {Reason::kNone, "none", 200, false, "no refusal"},
    {Reason::kBadRequest, "bad_request", 400, false, "the HTTP message is malformed"},
    {Reason::kHeaderTooLarge, "header_too_large", 431, false, "the request header is too large"},
    {Reason::kBodyTooLarge, "body_too_large", 413, false, "the request body is too large"},
    {Reason::kReservedHeader, "reserved_header", 400, false, "the request carries a header reserved for nodes"},
    {Reason::kNoKey, "no_key", 401, false, "the route needs a key"},
    {Reason::kUnknownKey, "unknown_key", 401, false, "the key is unknown or withdrawn"},
    {Reason::kSeveralKeys, "several_keys", 400, false, "the request carries more than one key"},
    {Reason::kUnknownRoute, "unknown_route", 404, false, "no route matches the path"},
    {Reason::kRouteNotAllowed, "route_not_allowed", 403, false, "the account may not use the route"},
    {Reason::kNoConfiguration, "no_configuration", 503, true, "the node has no configuration yet"},
    {Reason::kConfigurationStale, "configuration_stale", 503, true, "the node cannot confirm that its configuration is current"},
    {Reason::kRateExceeded, "rate_exceeded", 429, true, "the account is above its rate"},
    {Reason::kRateUnavailable, "rate_unavailable", 503, true, "the node holds no share of the account's rate"},
    {Reason::kOverloaded, "overloaded", 503, true, "the backend server is at its limit"},
    {Reason::kQueueFull, "queue_full", 503, true, "the queue is full of more important or fairer requests"},
    {Reason::kDeadlineTooShort, "deadline_too_short", 503, true, "the request cannot finish by its deadline"},
    {Reason::kDeadlineExceeded, "deadline_exceeded", 504, false, "the deadline passed"},
    {Reason::kCancelled, "cancelled", 499, false, "the caller went away"},
    {Reason::kNoBackendServer, "no_backend_server", 503, true, "no backend server of the service is known"},
    {Reason::kBackendServerLeaving, "backend_server_leaving", 503, true, "the backend server takes no new work"},
    {Reason::kBackendServerFailed, "backend_server_failed", 502, false, "the backend server failed before a whole answer"},
    {Reason::kConnectionLost, "connection_lost", 502, false, "the connection to the serving node was lost"},
    {Reason::kAttemptsExhausted, "attempts_exhausted", 503, false, "the request has no attempts left"},
    {Reason::kPoisonRequest, "poison_request", 422, false, "the request has crashed backend servers"},
    {Reason::kIdempotencyKeyMissing, "idempotency_key_missing", 400, false, "the route needs an Idempotency-Key header"},
    {Reason::kIdempotencyKeyInvalid, "idempotency_key_invalid", 400, false, "the Idempotency-Key is not a UUID of version 7 with a current time"},
    {Reason::kDuplicateInProgress, "duplicate_in_progress", 409, true, "a request with this Idempotency-Key is under way"},
    {Reason::kDuplicateOutcomeUnknown, "duplicate_outcome_unknown", 409, false, "a request with this Idempotency-Key may have run; its outcome is not known"},
    {Reason::kClaimUnavailable, "claim_unavailable", 503, true, "the record of the Idempotency-Key cannot be reached; send the request again with the same key"},
    {Reason::kShuttingDown, "shutting_down", 503, true, "the node is shutting down"},
    {Reason::kInternal, "internal", 500, false, "internal error"},
    {Reason::kChainOverloaded, "chain_overloaded", 503, true, "a service that the request leads to is at its limit"},
    {Reason::kRequestTimeout, "request_timeout", 408, false, "the request did not arrive in time"},
    {Reason::kMemoryExhausted, "memory_exhausted", 503, true, "the node has no memory for the message"},
}};
// clang-format on

// Returns true if the index of each row is the value of its reason.
constexpr bool RowsInOrder() {
  for (std::size_t it = 0; it < kReasonCount; ++it) {
    if (static_cast<std::size_t>(kReasons[it].reason) != it) return false;
  }
  return true;
}
static_assert(RowsInOrder());

}  // namespace

const ReasonSpec& GetReasonSpec(Reason reason) {
  return kReasons.at(static_cast<std::size_t>(reason));
}

std::string_view RanText(Ran ran) {
  switch (ran) {
    case Ran::kNotRun:
      return "not run";
    case Ran::kUnknown:
      return "unknown";
    case Ran::kRan:
      return "ran";
  }
  return "unknown";
}

std::string_view ImportanceText(Importance importance) {
  switch (importance) {
    case Importance::kLookup:
      return "lookup";
    case Importance::kTracking:
      return "tracking";
    case Importance::kOperation:
      return "operation";
    case Importance::kMoney:
      return "money";
  }
  return "lookup";
}

}  // namespace dogwoodrail::core::base
