#ifndef DOGWOODRAIL_CORE_BASE_REASON_TABLE_H_
#define DOGWOODRAIL_CORE_BASE_REASON_TABLE_H_

#include <string_view>

#include "core/base/request_type.h"

namespace dogwoodrail::core::base {

// Response to callers for one reason.
struct ReasonSpec {
  Reason reason;
  std::string_view code;  // stable and machine-readable
  int http_status;
  bool has_retry_after;   // the response has a Retry-After header
  std::string_view text;  // human-readable
};

// Returns the response for a reason.
const ReasonSpec& GetReasonSpec(Reason reason);

// Returns "not run", "unknown" or "ran".
std::string_view RanText(Ran ran);

// Returns "lookup", "tracking", "operation" or "money".
std::string_view ImportanceText(Importance importance);

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_REASON_TABLE_H_
