#include "node/reply_func.h"

#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>

#include <algorithm>
#include <chrono>
#include <sstream>

#include "core/base/reason_table.h"

namespace dogwoodrail::node {
namespace {

using core::base::Duration;
using core::base::GetReasonSpec;
using core::base::ReasonSpec;

constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(1000);

// Returns the delay before a retry, at least 1 ms.
std::chrono::milliseconds RetryAfter(const RefusalReply& refusal) {
  const Duration wait = refusal.retry_after.count() > 0 ? refusal.retry_after
                                                        : kDefaultRetryAfter;
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(wait),
                  std::chrono::milliseconds(1));
}

// Returns the JSON body of a refusal.
std::string MakeBody(const RefusalReply& refusal, const ReasonSpec& spec) {
  cxxtools::SerializationInfo si;
  si.addMember("reason") <<= std::string(spec.code);
  si.addMember("ran") <<= std::string(core::base::RanText(refusal.ran));
  std::string message(spec.text);
  if (!refusal.detail.empty()) message += ": " + refusal.detail;
  si.addMember("message") <<= message;
  si.addMember("request_id") <<= refusal.request.value();
  if (spec.has_retry_after) {
    si.addMember("retry_after_ms") <<= RetryAfter(refusal).count();
  }
  std::ostringstream out;
  cxxtools::JsonSerializer json(out);
  json.serialize(si).finish();
  return out.str();
}

}  // namespace

http::Response MakeRefusal(const RefusalReply& refusal) {
  const ReasonSpec& spec = GetReasonSpec(refusal.reason);
  http::Response response;
  response.status = spec.http_status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.headers.push_back(
      {std::string(http::header::kReason), std::string(spec.code)});
  if (spec.has_retry_after) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(
        RetryAfter(refusal));  // Retry-After is in seconds
    response.headers.push_back({std::string(http::header::kRetryAfter),
                                std::to_string(seconds.count())});
  }
  AddReplyHeaders(response, {refusal.request, refusal.ran, refusal.attempts});
  response.body = MakeBody(refusal, spec);
  return response;
}

void AddReplyHeaders(http::Response& response, const ReplyInfo& info) {
  response.headers.push_back(
      {std::string(http::header::kRequestId), info.request.value()});
  response.headers.push_back({std::string(http::header::kRan),
                              std::string(core::base::RanText(info.ran))});
  response.headers.push_back(
      {std::string(http::header::kAttempts), std::to_string(info.attempts)});
}

}  // namespace dogwoodrail::node
