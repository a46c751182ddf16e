#ifndef DOGWOODRAIL_CORE_BASE_REASON_TABLE_H_
#define DOGWOODRAIL_CORE_BASE_REASON_TABLE_H_

#include <string_view>

#include "core/base/request_type.h"

namespace dogwoodrail::core::base {

// What callers are told for one reason.
struct ReasonSpec {
  Reason reason;
  std::string_view code;  // stable, for programs
  int http_status;
  bool has_retry_after;   // the answer carries Retry-After
  std::string_view text;  // for people
};

// Returns the row of a reason.
const ReasonSpec& GetReasonSpec(Reason reason);

// Returns "not run", "unknown" or "ran".
std::string_view RanText(Ran ran);

// Returns "lookup", "tracking", "operation" or "money".
std::string_view ImportanceText(Importance importance);

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_REASON_TABLE_H_
