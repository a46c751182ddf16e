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
#include <string_view>

namespace dogwoodrail::objectapi {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;
using Clock = std::chrono::steady_clock;

// Part of the message of cxxtools when no connection was made. Any other text
// is taken for a request that may have been received, which is always safe.
constexpr std::string_view kConnectFailure = "failed to connect to";

constexpr unsigned kNoContent = 204;

constexpr std::size_t kReadBytes = 16'384;

// Returns the value of a header that is a whole number.
std::optional<std::uint64_t> NumberHeader(
    const cxxtools::http::ReplyHeader& header, const char* name) {
  const char* text = header.getHeader(name);
  if (text == nullptr) return std::nullopt;
  std::uint64_t n = 0;
  const char* end = text + std::strlen(text);
  const auto [stop, ec] = std::from_chars(text, end, n);
  if (ec != std::errc() || stop != end) return std::nullopt;
  return n;
}

// Collects what comes in on one client.
class Receiver : public cxxtools::Connectable {
 public:
  explicit Receiver(cxxtools::http::Client& client) {
    cxxtools::connect(client.bodyAvailable, *this, &Receiver::OnBody);
    cxxtools::connect(client.replyFinished, *this, &Receiver::OnFinished);
  }

  // True once the whole answer is there or the connection failed.
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

// Fills the request in the manner of cxxtools.
cxxtools::http::Request MakeRequest(const HttpRequest& call) {
  cxxtools::http::Request request(call.path);
  request.method(call.method);
  request.qparams(call.query);
  request.setHeader("Connection", "close");
  if (call.if_version) {
    request.setHeader("If-Version", std::to_string(*call.if_version).c_str());
  }
  request.body() << call.body;
  return request;
}

// Waits for the end of the exchange; false at the deadline.
bool WaitFinished(cxxtools::Selector& selector, const Receiver& receiver,
                  Clock::time_point deadline) {
  while (!receiver.finished()) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - Clock::now());
    if (left.count() <= 0) return false;
    selector.wait(cxxtools::Milliseconds(static_cast<double>(left.count())));
  }
  return true;
}

// A body without a length cannot be told from one cut short.
Result<HttpResponse> ToAnswer(const cxxtools::http::ReplyHeader& header,
                              const std::string& body) {
  HttpResponse answer;
  answer.status = header.httpReturnCode();
  answer.object_version = NumberHeader(header, "Object-Version");
  answer.body = body;
  const auto length = NumberHeader(header, "Content-Length");
  const bool whole = answer.status == kNoContent || length == body.size();
  if (whole) return answer;
  return MakeError(ErrorCode::kOutcomeUnknown,
                   "the answer has no Content-Length or another one");
}

}  // namespace

// The blocking calls of the client have a timeout for each read but none for
// the whole answer, so a slow sender could hold the thread for hours; hence the
// calls with a selector. The client also sends a request again by itself if a
// connection that was made beforehand closes before the answer, even after its
// own connect(). A client for each call, connected by its first request, sends
// it once.
Result<HttpResponse> ExchangeOnce(const std::string& ip, std::uint16_t port,
                                  const HttpRequest& call,
                                  std::chrono::milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  try {
    cxxtools::Selector selector;
    cxxtools::http::Client client(selector, ip, port);
    Receiver receiver(client);
    const cxxtools::http::Request request = MakeRequest(call);
    client.beginExecute(request);
    if (!WaitFinished(selector, receiver, deadline)) {
      client.cancel();
      return MakeError(ErrorCode::kTimeout, "no whole answer in time");
    }
    client.endExecute();
    return ToAnswer(client.header(), receiver.body());
  } catch (const std::exception& ex) {
    const std::string_view what = ex.what();
    if (what.find(kConnectFailure) != std::string_view::npos) {
      return MakeError(ErrorCode::kUnavailable, ex.what());
    }
    return MakeError(ErrorCode::kOutcomeUnknown, ex.what());
  }
}

}  // namespace dogwoodrail::objectapi
