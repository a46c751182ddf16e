#include "http/close_table.h"

namespace dogwoodrail::http {

const std::array<CloseCauseSpec, kCloseCauseCount>& CloseCauseTable() {
  // clang-format off
  static const std::array<CloseCauseSpec, kCloseCauseCount> table = {{
      {CloseCause::kResponseSent, "response_sent", false, "a response with Connection: close was written"},
      {CloseCause::kRefused, "refused", false, "a malformed, too large or incomplete request was refused"},
      {CloseCause::kIdleTimeout, "idle_timeout", false, "no request began in time"},
      {CloseCause::kHeaderTimeout, "header_timeout", false, "a header began and was not complete in time"},
      {CloseCause::kBodyTimeout, "body_timeout", false, "a body was not complete in time"},
      {CloseCause::kWriteTimeout, "write_timeout", false, "a response could not be written in time"},
      {CloseCause::kWriteError, "write_error", false, "a response could not be written"},
      {CloseCause::kReadError, "read_error", false, "the connection could not be read"},
      {CloseCause::kCallerClosed, "caller_closed", true, "the caller closed the connection or its sending half"},
      {CloseCause::kCallerReset, "caller_reset", true, "the caller reset the connection"},
      {CloseCause::kShutdown, "shutdown", false, "the connection was idle in a graceful shutdown"},
      {CloseCause::kStopDeadline, "stop_deadline", false, "the deadline of the shutdown passed"},
      {CloseCause::kServerClosed, "server_closed", false, "the listener and its connections were closed"},
  }};
  // clang-format on
  return table;
}

const CloseCauseSpec& GetCloseCauseSpec(CloseCause cause) {
  return CloseCauseTable().at(static_cast<std::size_t>(cause));
}

bool IsUnanswered(const ConnectionClose& close) {
  return close.owed && !GetCloseCauseSpec(close.cause).by_caller;
}

bool IsAbandoned(const ConnectionClose& close) {
  return close.owed && GetCloseCauseSpec(close.cause).by_caller;
}

}  // namespace dogwoodrail::http
