#ifndef DOGWOODRAIL_NODE_CALLER_HEADERS_H_
#define DOGWOODRAIL_NODE_CALLER_HEADERS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "http/message_type.h"
#include "tl/expected.hpp"

namespace dogwoodrail::node {

// Values of the request headers that are addressed to the node.
struct CallerHeaders {
  std::optional<std::string> key;
  std::optional<std::string> idempotency_key;
  std::optional<std::string> context;  // sent by the local backend server
  std::optional<std::chrono::milliseconds> timeout;
  std::optional<std::uint32_t> max_attempts;
  std::string host;  // lower case, without a port
  // Request id set by the caller; if empty, the node generates one.
  core::base::RequestId request;
};

// Reason to refuse a request because of its headers.
struct HeaderRefusal {
  core::base::Reason reason;
  std::string detail;
};

// Parses and validates the headers addressed to the node.
tl::expected<CallerHeaders, HeaderRefusal> ReadCallerHeaders(
    const http::Request& request);

// Removes the headers that must not reach a backend server: Authorization, the
// hop-by-hop headers and those reserved for nodes.
void StripCallerHeaders(http::Request& request);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CALLER_HEADERS_H_
