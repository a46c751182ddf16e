#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "core/base/reason_table.h"
#include "node/dialect_type.h"

namespace dogwoodrail::node {
namespace {

tl::expected<CallerHeaders, HeaderRefusal> TakeHeaders(http::Request& request) {
  auto headers = ReadCallerHeaders(request);
  if (headers) StripCallerHeaders(request);
  return headers;
}

void AddExecutionHeaders(http::Request& request, const ExecutionInfo& info) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(info.remaining);
  const auto add = [&request](std::string_view name, std::string value) {
    request.headers.push_back(
        http::Header{std::string(name), std::move(value)});
  };
  add(http::header::kRequestId, info.request.value());
  add(http::header::kContext, info.context);
  add(http::header::kAccount, info.account.value());
  add(http::header::kImportance,
      std::string(core::base::ImportanceText(info.importance)));
  add(http::header::kDeadline, std::to_string(left.count()));
  add(http::header::kAttempt, std::to_string(info.attempt));
}

}  // namespace

Dialect MakeOwnDialect() {
  Dialect dialect;
  dialect.extract_headers = &TakeHeaders;
  dialect.make_refusal = &MakeRefusal;
  dialect.add_reply_headers = &AddReplyHeaders;
  dialect.add_execution_headers = &AddExecutionHeaders;
  dialect.backend = http::MakeOwnBackendHooks();
  return dialect;
}

}  // namespace dogwoodrail::node
