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

// What a backend server is told about one execution.
struct ExecutionInfo {
  core::base::RequestId request;
  core::base::AccountName account;  // empty for a request without a key
  core::base::Importance importance = core::base::Importance::kLookup;
  std::string context;   // token of the execution
  std::string instance;  // id of the one process that may run it; may be empty
  core::base::Duration remaining{0};
  std::uint8_t attempt = 1;
};

// Names and forms in which the node speaks HTTP with callers and with its
// backend server. The decisions do not depend on it.
struct Dialect {
  // Reads the headers meant for the node, and removes those that end here.
  std::function<tl::expected<CallerHeaders, HeaderRefusal>(http::Request&)>
      extract_headers;
  // Builds the answer of a refusal or failure.
  std::function<http::Response(const RefusalReply&)> make_refusal;
  // Adds to a whole answer what the caller is told besides.
  std::function<void(http::Response&, const ReplyInfo&)> add_reply_headers;
  // Adds to a request what the backend server is told.
  std::function<void(http::Request&, const ExecutionInfo&)>
      add_execution_headers;
  // Calls of backend servers carry no context. One without a key on a route
  // open to all is taken for such a call while the backend server works.
  bool infers_nested_calls = false;
  // Reads what the backend server's answers say.
  http::BackendHooks backend;
};

// Returns the project's own dialect.
Dialect MakeOwnDialect();

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_DIALECT_TYPE_H_
