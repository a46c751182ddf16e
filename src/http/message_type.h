#ifndef DOGWOODRAIL_HTTP_MESSAGE_TYPE_H_
#define DOGWOODRAIL_HTTP_MESSAGE_TYPE_H_

#include <string>
#include <string_view>
#include <vector>

namespace dogwoodrail::http {

// An HTTP header field.
struct Header {
  std::string name;
  std::string value;
};

// A complete HTTP request.
struct Request {
  std::string method;
  std::string target;  // path and query as received
  std::vector<Header> headers;
  std::string body;
};

// A complete HTTP response.
struct Response {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

// Returns true for headers that apply to a single connection and must not be
// forwarded.
bool IsHopByHopHeader(std::string_view name);

// Compares header names case-insensitively.
bool HeaderNameEquals(std::string_view a, std::string_view b);

// Returns the host of a Host header: lower case, without the port.
std::string HostName(std::string_view host);

// Returns the value of the first header with this name, or nullptr.
const std::string* FindHeader(const std::vector<Header>& headers,
                              std::string_view name);

// Returns true if the name starts with "Dogwood-", ignoring case.
bool IsReservedHeader(std::string_view name);

namespace header {
constexpr std::string_view kAuthorization = "Authorization";
constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
constexpr std::string_view kRetryAfter = "Retry-After";
constexpr std::string_view kRequestId = "Dogwood-Request-Id";
constexpr std::string_view kContext = "Dogwood-Context";
constexpr std::string_view kAccount = "Dogwood-Account";
constexpr std::string_view kImportance = "Dogwood-Importance";
constexpr std::string_view kDeadline = "Dogwood-Deadline-Ms";
constexpr std::string_view kAttempt = "Dogwood-Attempt";
constexpr std::string_view kTimeout = "Dogwood-Timeout-Ms";
constexpr std::string_view kMaxAttempts = "Dogwood-Max-Attempts";
constexpr std::string_view kRan = "Dogwood-Ran";
constexpr std::string_view kReason = "Dogwood-Reason";
constexpr std::string_view kAttempts = "Dogwood-Attempts";
}  // namespace header

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_MESSAGE_TYPE_H_
