#ifndef DOGWOODRAIL_NODE_REPLY_FUNC_H_
#define DOGWOODRAIL_NODE_REPLY_FUNC_H_

#include <cstdint>
#include <string>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "http/message_type.h"

namespace dogwoodrail::node {

// A refusal or failure as a caller is told.
struct RefusalReply {
  core::base::Reason reason = core::base::Reason::kInternal;
  core::base::Ran ran = core::base::Ran::kNotRun;
  core::base::Duration retry_after{0};
  core::base::RequestId request;
  std::uint32_t attempts = 0;
  std::string detail;
};

// A whole answer as a caller is told besides.
struct ReplyInfo {
  core::base::RequestId request;
  core::base::Ran ran = core::base::Ran::kRan;
  std::uint32_t attempts = 0;
};

// Builds the HTTP answer of a refusal.
http::Response MakeRefusal(const RefusalReply& refusal);

// Adds the headers that tell the caller about the request.
void AddReplyHeaders(http::Response& response, const ReplyInfo& facts);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_REPLY_FUNC_H_
