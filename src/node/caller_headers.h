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

// What the headers of a caller's request say to the node.
struct CallerHeaders {
  std::optional<std::string> key;
  std::optional<std::string> idempotency_key;
  std::optional<std::string> context;  // sent by the local backend server
  std::optional<std::chrono::milliseconds> timeout;
  std::optional<std::uint32_t> max_attempts;
  std::string host;  // lower case, without a port
  // Id that the caller gave to this attempt; empty if the node makes one.
  core::base::RequestId request;
};

// Why a request's headers are refused.
struct HeaderRefusal {
  core::base::Reason reason;
  std::string detail;
};

// Reads and checks the headers meant for the node.
tl::expected<CallerHeaders, HeaderRefusal> ReadCallerHeaders(
    const http::Request& request);

// Removes the headers that end at this node: the key, those of the connection
// and those reserved for nodes.
void StripCallerHeaders(http::Request& request);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CALLER_HEADERS_H_
