#ifndef DOGWOODRAIL_OBJECTAPI_HTTP_EXCHANGE_H_
#define DOGWOODRAIL_OBJECTAPI_HTTP_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "core/base/error_type.h"

namespace dogwoodrail::objectapi {

constexpr std::size_t kMaxResponseBytes = std::size_t{16} << 20U;

// An HTTP request to the Object API or to a node's operator port.
struct HttpRequest {
  std::string method = "GET";
  std::string path;
  std::string query;
  std::optional<std::uint64_t> if_version;  // header If-Version
  std::string body;
};

// A completely received HTTP response.
struct HttpResponse {
  unsigned status = 0;
  std::optional<std::uint64_t> object_version;  // header Object-Version
  std::string body;
};

// Sends the request once, without retries, on a new connection and reads the
// complete response. Errors: kUnavailable if nothing was sent; kTimeout or
// kOutcomeUnknown if the server may have received the request but no complete
// response arrived.
core::base::Result<HttpResponse> ExchangeOnce(
    const std::string& ip, std::uint16_t port, const HttpRequest& request,
    std::chrono::milliseconds timeout);

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_HTTP_EXCHANGE_H_
