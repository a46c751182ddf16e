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

// One HTTP request.
struct HttpRequest {
  std::string method = "GET";
  std::string path;
  std::string query;
  std::optional<std::uint64_t> if_version;  // header If-Version
  std::string body;
};

// One whole HTTP answer.
struct HttpResponse {
  unsigned status = 0;
  std::optional<std::uint64_t> object_version;  // header Object-Version
  std::string body;
};

// Sends the request once, on a connection of its own, and reads the whole
// answer. Errors: kUnavailable if nothing was sent, kTimeout or kOutcomeUnknown
// if the request may have been received and no whole answer came back.
core::base::Result<HttpResponse> ExchangeOnce(
    const std::string& ip, std::uint16_t port, const HttpRequest& call,
    std::chrono::milliseconds timeout);

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_HTTP_EXCHANGE_H_
