#include "http/backend_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "core/base/http_status.h"
#include "core/base/reason_table.h"

namespace dogwoodrail::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::http::field;
using boost::system::error_code;
using core::base::Ran;
using core::base::Reason;
using core::base::StatusKind;

namespace {

// Size of the read buffer beyond the header limit. It bounds whatever the
// parser wants to see in one piece: the header, a chunk header, the trailers.
constexpr std::size_t kBufferSlackBytes = 4096;
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
// Responses read before the one to the request: interim responses and late
// ones to earlier requests.
constexpr int kMaxSkippedResponses = 16;

// Classifies a response by its Dogwood-Ran header. A refusal of an earlier
// request may arrive once more in place of the expected response, so that it
// proves something only of the request whose context it names.
ResponseClass ClassifyByRanHeader(const Request& request,
                                  const Response& response) {
  const std::string* context = FindHeader(request.headers, header::kContext);
  const std::string* echoed = FindHeader(response.headers, header::kContext);
  const bool is_other =
      context != nullptr && echoed != nullptr && *context != *echoed;
  if (is_other) return ResponseClass::kOtherRequest;
  const std::string* ran = FindHeader(response.headers, header::kRan);
  const bool is_refusal =
      ran != nullptr && *ran == core::base::RanText(Ran::kNotRun);
  if (!is_refusal) return ResponseClass::kRan;
  const bool is_proof = context == nullptr || echoed != nullptr;
  return is_proof ? ResponseClass::kShed : ResponseClass::kInvalid;
}

}  // namespace

BackendHooks MakeOwnBackendHooks() {
  BackendHooks hooks;
  hooks.classify = &ClassifyByRanHeader;
  return hooks;
}

BackendClient::Connection::Connection(BackendClient& client,
                                      asio::ip::tcp::endpoint address)
    : client_(client),
      address_(std::move(address)),
      stream_(client.loop_),
      buffer_(client.settings_.max_response_header_bytes + kBufferSlackBytes),
      memory_(client.memory_) {}

void BackendClient::Connection::Execute(ExecutionId id, Request request,
                                        core::base::Duration timeout,
                                        Callback callback) {
  id_ = id;
  callback_ = std::move(callback);
  request_ = std::move(request);
  deadline_ = Clock::now() + timeout;
  write_started_ = false;
  keep_alive_ = false;
  skipped_responses_ = 0;
  auto message = EncodeRequest(request_, address_.address().to_string() + ":" +
                                             std::to_string(address_.port()));
  if (!message) return RejectRequest(message.error().detail);
  message_ = std::move(*message);
  if (connected_) {
    Write();
  } else {
    Connect();
  }
}

// Fails after Execute() has returned, as every execution ends.
void BackendClient::Connection::RejectRequest(const std::string& detail) {
  asio::post(client_.loop_, [self = shared_from_this(), detail] {
    if (self->callback_) self->Fail(Reason::kInternal, detail);
  });
}

void BackendClient::Connection::Connect() {
  stream_.expires_after(client_.settings_.connect_timeout);
  stream_.async_connect(address_, [self = shared_from_this()](
                                      const error_code& ec) {
    if (!self->callback_) return;
    if (ec) {
      return self->Fail(Reason::kBackendServerFailed,
                        "connect: " + ec.message());
    }
    self->connected_ = true;
    error_code ignored;
    self->stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    self->Write();
  });
}

// Once the write has started, the backend server may have received data, so a
// failure leaves it unknown whether the request ran.
void BackendClient::Connection::Write() {
  write_started_ = true;
  stream_.expires_at(deadline_);
  beast::http::async_write(
      stream_, message_,
      [self = shared_from_this()](const error_code& ec, std::size_t) {
        if (!self->callback_) return;
        if (ec) return self->FailLost("write: " + ec.message());
        self->ReadResponse();
      });
}

void BackendClient::Connection::ReadResponse() {
  ReleaseBytes();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(
      static_cast<std::uint32_t>(client_.settings_.max_response_header_bytes));
  parser_->body_limit(client_.settings_.max_response_body_bytes);
  if (message_.method() == beast::http::verb::head) parser_->skip(true);
  stream_.expires_at(deadline_);
  if (buffer_.size() > 0) return Parse();
  ReadSome();
}

// Each read is parsed to its end at once. Beast's own read operation either
// completes once for each chunk, or, with an eager parser, does not complete
// while each read ends within a chunk header.
void BackendClient::Connection::ReadSome() {
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) {
    return Fail(Reason::kBackendServerFailed,
                "header or framing of the body too long");
  }
  stream_.async_read_some(
      buffer_.prepare(std::min(room, kReadBytes)),
      [self = shared_from_this()](const error_code& ec, std::size_t n) {
        if (self->callback_) self->OnRead(ec, n);
      });
}

void BackendClient::Connection::OnRead(const error_code& ec, std::size_t n) {
  if (ec) return OnReadError(ec);
  buffer_.commit(n);
  Parse();
}

// The limits of the parser apply to the header and to the content of the body,
// but not to the bytes that frame it.
void BackendClient::Connection::Parse() {
  error_code ec;
  const std::size_t n = ParseBytes(*parser_, buffer_.data(), ec);
  buffer_.consume(n);
  const bool has_room = CountBytes(n);
  if (ec && ec != beast::http::error::need_more) {
    return Fail(Reason::kBackendServerFailed, "read: " + ec.message());
  }
  // The body of what is no response is not waited for.
  if (parser_->is_header_done() && StatusOfResponse() == StatusKind::kInvalid) {
    return FailInvalidStatus();
  }
  if (HasExcessiveFraming()) {
    return Fail(Reason::kBackendServerFailed, "excessive framing of the body");
  }
  if (parser_->is_done()) return OnResponse();
  client_.LimitBufferedBytes(has_room);
  if (callback_) ReadSome();
}

bool BackendClient::Connection::CountBytes(std::size_t n) {
  response_bytes_ += n;
  client_.buffered_bytes_ += n;
  const bool has_room = memory_.TryResize(response_bytes_);
  if (!has_room) memory_.Resize(response_bytes_);
  return has_room;
}

void BackendClient::Connection::ReleaseBytes() {
  client_.buffered_bytes_ -= response_bytes_;
  response_bytes_ = 0;
  memory_.Resize(0);
}

// A chunked body may be framed by as many bytes as it has content, besides an
// allowance for the trailers and for short bodies.
bool BackendClient::Connection::HasExcessiveFraming() const {
  const std::size_t content = parser_->get().body().size();
  const std::size_t allowance = 2 * client_.settings_.max_response_header_bytes;
  return response_bytes_ > 2 * content + allowance;
}

void BackendClient::Connection::OnReadError(const error_code& ec) {
  if (ec == beast::error::timeout) {
    return Fail(Reason::kDeadlineExceeded, "no answer in time");
  }
  if (ec == asio::error::eof && parser_->got_some()) {
    error_code end;
    parser_->put_eof(end);
    if (!end) return OnResponse();
    return FailLost("read: " + end.message());
  }
  FailLost("read: " + ec.message());
}

void BackendClient::Connection::OnResponse() {
  const StatusKind kind = StatusOfResponse();
  if (kind == StatusKind::kInvalid) return FailInvalidStatus();
  if (kind == StatusKind::kInterim) return SkipResponse();
  if (parser_->need_eof() && !client_.hooks_.accepts_close_delimited) {
    // A body delimited by the close may have been truncated.
    return Fail(Reason::kBackendServerFailed, "answer without a length");
  }
  keep_alive_ = parser_->keep_alive() && !parser_->need_eof();
  HandleResponse(DecodeResponse(parser_->release()));
}

StatusKind BackendClient::Connection::StatusOfResponse() const {
  return core::base::KindOfStatus(
      static_cast<int>(parser_->get().result_int()));
}

// The backend server has answered, so that it is not at work on the request any
// more and has not crashed.
void BackendClient::Connection::FailInvalidStatus() {
  keep_alive_ = false;
  BackendOutcome outcome{
      Ran::kUnknown, Reason::kBackendServerFailed, Response{},
      "status " + std::to_string(parser_->get().result_int()), false};
  outcome.invalid_answer = true;
  Finish(std::move(outcome));
}

void BackendClient::Connection::SkipResponse() {
  ++skipped_responses_;
  if (skipped_responses_ <= kMaxSkippedResponses) return ReadResponse();
  keep_alive_ = false;
  Fail(Reason::kBackendServerFailed, "too many responses to no request");
}

void BackendClient::Connection::HandleResponse(Response response) {
  switch (client_.hooks_.classify(request_, response)) {
    case ResponseClass::kOtherRequest:
      out_of_step_ = true;
      if (keep_alive_) return SkipResponse();
      return Fail(Reason::kBackendServerFailed, "answer of another request");
    case ResponseClass::kInvalid:
      keep_alive_ = false;
      return Fail(Reason::kBackendServerFailed, "answer not acceptable");
    case ResponseClass::kOtherInstance:
      return Finish({Ran::kNotRun, Reason::kNoBackendServer,
                     std::move(response), "another instance", false});
    case ResponseClass::kShed:
      return Finish({Ran::kNotRun, Reason::kOverloaded, std::move(response),
                     "shed", false});
    case ResponseClass::kRan:
      return Finish({Ran::kRan, Reason::kNone, std::move(response), "", false});
  }
}

void BackendClient::Connection::Abort(Reason reason,
                                      const std::string& detail) {
  if (callback_) Fail(reason, detail);
}

void BackendClient::Connection::Fail(Reason reason, const std::string& detail) {
  Finish(BackendOutcome{write_started_ ? Ran::kUnknown : Ran::kNotRun, reason,
                        Response{}, detail, false});
}

void BackendClient::Connection::FailLost(const std::string& detail) {
  Finish(BackendOutcome{Ran::kUnknown, Reason::kBackendServerFailed, Response{},
                        detail, true});
}

void BackendClient::Connection::Finish(BackendOutcome outcome) {
  const auto self = shared_from_this();
  const Callback callback = std::exchange(callback_, nullptr);
  client_.executions_.erase(id_);
  ReleaseBytes();
  const bool is_reusable = keep_alive_ && !out_of_step_ && buffer_.size() == 0;
  if (is_reusable && outcome.response.status != 0) {
    stream_.expires_never();
    idle_since_ = Clock::now();
    client_.PutIdle(self);
  } else {
    Close();
  }
  callback(std::move(outcome));
}

// Checks for a close or unexpected data from the peer. Either would make the
// outcome of the next request on this connection unknown.
bool BackendClient::Connection::IsReusable() const {
  if (Clock::now() - idle_since_ > client_.settings_.idle_timeout) {
    return false;
  }
  if (buffer_.size() != 0) return false;
  char byte = 0;
  auto& socket =
      const_cast<beast::tcp_stream&>(stream_).socket();  // only peeked at
  const auto n =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void BackendClient::Connection::Close() {
  connected_ = false;
  error_code ec;
  stream_.socket().close(ec);
}

}  // namespace dogwoodrail::http
