#ifndef DOGWOODRAIL_NODE_REPLY_FUNC_H_
#define DOGWOODRAIL_NODE_REPLY_FUNC_H_

#include <cstdint>
#include <string>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "http/message_type.h"

namespace dogwoodrail::node {

// Contents of the response to a refused or failed request.
struct RefusalReply {
  core::base::Reason reason = core::base::Reason::kInternal;
  core::base::Ran ran = core::base::Ran::kNotRun;
  core::base::Duration retry_after{0};
  core::base::RequestId request;
  std::uint32_t attempts = 0;
  std::string detail;
};

// Request data that the headers of every response carry.
struct ReplyInfo {
  core::base::RequestId request;
  core::base::Ran ran = core::base::Ran::kRan;
  std::uint32_t attempts = 0;
};

// Builds the HTTP response to a refused or failed request.
http::Response MakeRefusal(const RefusalReply& refusal);

// Adds the Dogwood-* headers with the request id, whether the request ran, and
// the number of attempts.
void AddReplyHeaders(http::Response& response, const ReplyInfo& info);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_REPLY_FUNC_H_
