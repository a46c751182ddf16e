#include "objectapi/http_exchange.h"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>
#include <cxxtools/timespan.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <exception>
#include <istream>
#include <string>
#include <string_view>

#include "core/base/http_status.h"

namespace dogwoodrail::objectapi {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;
using Clock = std::chrono::steady_clock;

// Part of the exception text of cxxtools when connecting failed. Any other text
// is treated as if the server may have received the request, which is always
// safe.
constexpr std::string_view kConnectFailure = "failed to connect to";

constexpr unsigned kNoContent = 204;

constexpr std::size_t kReadBytes = 16'384;

// Parses a header as an unsigned integer; empty if it is missing or malformed.
std::optional<std::uint64_t> ReadNumberHeader(
    const cxxtools::http::ReplyHeader& header, const char* name) {
  const char* text = header.getHeader(name);
  if (text == nullptr) return std::nullopt;
  std::uint64_t n = 0;
  const char* end = text + std::strlen(text);
  const auto [stop, ec] = std::from_chars(text, end, n);
  if (ec != std::errc() || stop != end) return std::nullopt;
  return n;
}

// Collects the response body that one client receives.
class ResponseReceiver : public cxxtools::Connectable {
 public:
  explicit ResponseReceiver(cxxtools::http::Client& client) {
    cxxtools::connect(client.bodyAvailable, *this, &ResponseReceiver::OnBody);
    cxxtools::connect(client.replyFinished, *this,
                      &ResponseReceiver::OnFinished);
  }

  // True once the response is complete or the connection failed.
  bool finished() const { return finished_; }
  const std::string& body() const { return body_; }

 private:
  std::size_t OnBody(cxxtools::http::Client& client) {
    char buf[kReadBytes];
    const std::streamsize ready = client.in().rdbuf()->in_avail();
    client.in().read(buf, std::min(ready, std::streamsize{kReadBytes}));
    const auto n = static_cast<std::size_t>(client.in().gcount());
    if (body_.size() + n <= kMaxResponseBytes) body_.append(buf, n);
    return n;
  }

  void OnFinished(cxxtools::http::Client& /*client*/) { finished_ = true; }

  bool finished_ = false;
  std::string body_;
};

// Converts the request to the type of cxxtools.
cxxtools::http::Request ToCxxtoolsRequest(const HttpRequest& request) {
  cxxtools::http::Request out(request.path);
  out.method(request.method);
  out.qparams(request.query);
  out.setHeader("Connection", "close");
  if (request.if_version) {
    out.setHeader("If-Version", std::to_string(*request.if_version).c_str());
  }
  out.body() << request.body;
  return out;
}

// Runs the selector until the exchange ends; returns false at the deadline.
bool WaitUntilFinished(cxxtools::Selector& selector,
                       const ResponseReceiver& receiver,
                       Clock::time_point deadline) {
  while (!receiver.finished()) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - Clock::now());
    if (left.count() <= 0) return false;
    selector.wait(cxxtools::Milliseconds(static_cast<double>(left.count())));
  }
  return true;
}

// Without a Content-Length, a complete body cannot be distinguished from a
// truncated one, so it is required.
Result<HttpResponse> ToResponse(const cxxtools::http::ReplyHeader& header,
                                const std::string& body) {
  HttpResponse response;
  response.status = header.httpReturnCode();
  const auto kind = core::base::KindOfStatus(static_cast<int>(response.status));
  if (kind != core::base::StatusKind::kFinal) {
    return MakeError(
        ErrorCode::kOutcomeUnknown,
        "the response has the status " + std::to_string(response.status));
  }
  response.object_version = ReadNumberHeader(header, "Object-Version");
  response.body = body;
  const auto length = ReadNumberHeader(header, "Content-Length");
  const bool complete = response.status == kNoContent || length == body.size();
  if (complete) return response;
  return MakeError(ErrorCode::kOutcomeUnknown,
                   "the response has no Content-Length or a wrong one");
}

}  // namespace

// The blocking calls of the cxxtools client limit each read but not the whole
// response, so a slow sender could block the thread for hours; the asynchronous
// calls with a selector enforce the deadline. The client also resends a request
// by itself if an established connection closes before the response arrives,
// even one opened by its own connect(). A new client per request, which
// connects with its first request, sends the request only once.
Result<HttpResponse> ExchangeOnce(const std::string& ip, std::uint16_t port,
                                  const HttpRequest& request,
                                  std::chrono::milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  try {
    cxxtools::Selector selector;
    cxxtools::http::Client client(selector, ip, port);
    ResponseReceiver receiver(client);
    const cxxtools::http::Request converted = ToCxxtoolsRequest(request);
    client.beginExecute(converted);
    if (!WaitUntilFinished(selector, receiver, deadline)) {
      client.cancel();
      return MakeError(ErrorCode::kTimeout,
                       "no complete response before the timeout");
    }
    client.endExecute();
    return ToResponse(client.header(), receiver.body());
  } catch (const std::exception& ex) {
    const std::string_view what = ex.what();
    if (what.find(kConnectFailure) != std::string_view::npos) {
      return MakeError(ErrorCode::kUnavailable, ex.what());
    }
    return MakeError(ErrorCode::kOutcomeUnknown, ex.what());
  }
}

}  // namespace dogwoodrail::objectapi
