#ifndef DOGWOODRAIL_NODE_DIALECT_TYPE_H_
#define DOGWOODRAIL_NODE_DIALECT_TYPE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "http/backend_client.h"
#include "http/message_type.h"
#include "node/caller_headers.h"
#include "node/reply_func.h"
#include "tl/expected.hpp"

namespace dogwoodrail::node {

// Data about one execution that the request headers carry to the backend
// server.
struct ExecutionInfo {
  core::base::RequestId request;
  core::base::AccountName account;  // empty for a request without a key
  core::base::Importance importance = core::base::Importance::kLookup;
  std::string context;   // token of the execution
  std::string instance;  // only process that may run it; empty: any
  core::base::Duration remaining{0};
  std::uint8_t attempt = 1;
};

// The HTTP headers and response formats that the node uses with callers and
// with its backend server. Admission and routing do not depend on the dialect.
struct Dialect {
  // Parses the headers addressed to the node, and removes those that must not
  // be forwarded.
  std::function<tl::expected<CallerHeaders, HeaderRefusal>(http::Request&)>
      extract_headers;
  // Builds the response to a refused or failed request.
  std::function<http::Response(const RefusalReply&)> make_refusal;
  // Adds the headers about the request to a complete response.
  std::function<void(http::Response&, const ReplyInfo&)> add_reply_headers;
  // Adds the headers about the execution to a request for the backend server.
  std::function<void(http::Request&, const ExecutionInfo&)>
      add_execution_headers;
  // True if calls made by backend servers carry no context token. A request
  // without a key on a route open to all is then treated as a nested call while
  // the local backend server has requests queued or running.
  bool infers_nested_calls = false;
  // Interprets the responses of the backend server.
  http::BackendHooks backend;
};

// Returns the dialect with the Dogwood-* headers.
Dialect MakeOwnDialect();

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_DIALECT_TYPE_H_
