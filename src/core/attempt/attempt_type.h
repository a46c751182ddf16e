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

// Attempts sent with one dispatch, for the nested calls of its execution.
struct AttemptShare {
  ShareId id;
  AttemptCount count = 0;
};

// State of a failed dispatch, as input of the retry decision.
struct RetryContext {
  bool idempotent = false;  // of the route
  base::Ran ran = base::Ran::kUnknown;
  base::Reason reason = base::Reason::kInternal;
  AttemptCount attempts_left = 0;
  bool nested = false;  // made by a backend server
  bool reached = true;  // the request was sent to the backend server
  // The backend server has ended its work with an answer that is invalid.
  bool invalid_answer = false;
  std::uint32_t redirects = 0;     // earlier dispatches that reached none
  std::uint32_t retries_made = 0;  // of this call, at this hop
  base::Duration time_left{0};
  bool has_untried_server = false;  // a backend server not yet tried is known
};

// Whether to retry, and after which delay.
struct RetryDecision {
  bool retry = false;
  base::Duration backoff{0};
  // Reason reported to the caller if the call is not retried: that of the
  // failure.
  base::Reason reason = base::Reason::kNone;
};

// Settings of the retry policy.
struct RetrySettings {
  base::Duration backoff_base{std::chrono::milliseconds{10}};
  base::Duration backoff_cap{std::chrono::milliseconds{500}};
  // Number of times that a dispatch that reached no backend server may be
  // repeated immediately, without using the retry budget.
  std::uint32_t free_redirects = 0;
  // Retries per ten seconds that are allowed regardless of the number of
  // requests.
  std::uint32_t free_retries = 3;
  // Whether to repeat callers' requests with an unknown outcome. If false, the
  // callers decide, and only calls made by backend servers are repeated.
  bool repeat_unknown = true;
};

}  // namespace dogwoodrail::core::attempt

#endif  // DOGWOODRAIL_CORE_ATTEMPT_ATTEMPT_TYPE_H_
