#ifndef DOGWOODRAIL_HTTP_CLOSE_TABLE_H_
#define DOGWOODRAIL_HTTP_CLOSE_TABLE_H_

#include <array>
#include <string_view>

#include "http/close_type.h"

namespace dogwoodrail::http {

// Static properties of a cause.
struct CloseCauseSpec {
  CloseCause cause;
  std::string_view name;  // in log lines and metrics
  bool by_caller;         // the caller left; nothing is owed to it
  std::string_view text;
};

// Number of causes.
constexpr auto kCloseCauseCount = static_cast<std::size_t>(CloseCause::kCount);

// Returns all causes in the order of the enumeration.
const std::array<CloseCauseSpec, kCloseCauseCount>& CloseCauseTable();

// Returns the properties of a cause.
const CloseCauseSpec& GetCloseCauseSpec(CloseCause cause);

// Returns true if a request that had been read whole got no final response
// although its caller had not left.
bool IsUnanswered(const ConnectionClose& close);

// Returns true if the caller left while a response was owed to it.
bool IsAbandoned(const ConnectionClose& close);

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_CLOSE_TABLE_H_
