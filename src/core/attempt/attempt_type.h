#ifndef DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_TYPE_H_
#define DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_TYPE_H_

#include <cstdint>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::attempt {

// Number of dispatches to a serving node.
using AttemptCount = std::uint32_t;

// Identifies a share within the budget that reserved it.
using ShareId = base::StrongNumber<struct ShareIdTag, std::uint32_t>;

// Attempts handed down with one dispatch, for the calls that its execution
// makes in turn.
struct AttemptShare {
  ShareId id;
  AttemptCount count = 0;
};

// What is known of a failed dispatch when a retry is considered.
struct RetryContext {
  bool idempotent = false;  // of the route
  base::Ran ran = base::Ran::kUnknown;
  base::Reason reason = base::Reason::kInternal;
  AttemptCount attempts_left = 0;
  bool nested = false;             // made by a backend server
  bool reached = true;             // the backend server was sent the request
  std::uint32_t redirects = 0;     // dispatches before that reached none
  std::uint32_t retries_made = 0;  // of this call, at this hop
  base::Duration time_left{0};
  bool has_untried_server = false;  // an untried backend server is known
};

// Whether to retry, and when.
struct RetryDecision {
  bool retry = false;
  base::Duration backoff{0};
  // If not retried, the reason for the caller: that of the failure.
  base::Reason reason = base::Reason::kNone;
};

// Settings of the retry policy.
struct RetrySettings {
  base::Duration backoff_base{std::chrono::milliseconds{10}};
  base::Duration backoff_cap{std::chrono::milliseconds{500}};
  // Dispatches that reach no backend server may be repeated so often at once,
  // without taking from the budget.
  std::uint32_t free_redirects = 0;
  // Retries in ten seconds that need no fresh requests.
  std::uint32_t free_retries = 3;
  // Repeat requests of callers whose outcome is unknown; if not, that is left
  // to the callers, and only calls within chains are repeated.
  bool repeat_unknown = true;
};

}  // namespace dogwoodrail::core::attempt

#endif  // DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_TYPE_H_
