#include "http/caller_session.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>
#include <utility>

#include "http/close_func.h"

namespace dogwoodrail::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using beast::http::field;
using boost::system::error_code;
using core::base::Reason;

namespace {

// Size of the read buffer beyond the header limit. Bounding the buffer bounds
// each read, so that the header limit is enforced exactly.
constexpr std::size_t kBufferSlackBytes = 4096;
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxReadBytes = std::size_t{64} * 1024;
// Time to read what has already arrived when a timer expires, since the process
// may have been busy or paused.
constexpr std::chrono::milliseconds kUnreadGrace(50);
// Limits for what a caller sends after the last response of its connection.
constexpr std::chrono::milliseconds kLingerTimeout(1000);
constexpr std::size_t kMaxDiscardedBytes = std::size_t{4} * 1024 * 1024;
constexpr int kInternalError = 500;
// Copies of a request body that a node holds at a time.
constexpr std::uint64_t kBodyCopies = 2;

// Maps a read or parse error to a reason; kNone if the connection ended without
// a malformed message.
Reason ReasonForReadError(const error_code& ec) {
  using beast::http::error;
  if (ec == error::header_limit || ec == error::buffer_overflow) {
    return Reason::kHeaderTooLarge;
  }
  if (ec == error::body_limit) return Reason::kBodyTooLarge;
  if (ec == error::end_of_stream) return Reason::kNone;
  if (ec == error::partial_message) return Reason::kBadRequest;
  if (ec.category() == make_error_code(error::bad_method).category()) {
    return Reason::kBadRequest;
  }
  return Reason::kNone;
}

// Returns the number of bytes received on a socket and not read.
std::size_t UnreadBytes(int socket) {
  int n = 0;
  const bool known = ::ioctl(socket, FIONREAD, &n) == 0;
  return known ? static_cast<std::size_t>(n) : 0;
}

}  // namespace

CallerServer::Session::Session(CallerServer& server,
                               asio::ip::tcp::socket socket)
    : server_(server),
      stream_(std::move(socket)),
      buffer_(server.settings_.max_header_bytes + kBufferSlackBytes),
      request_memory_(server.memory_),
      response_memory_(server.memory_),
      timer_(server.loop_) {}

void CallerServer::Session::Start() {
  error_code ec;
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  ReadNext();
}

void CallerServer::Session::ReadNext() {
  is_read_whole_ = false;
  request_memory_.Resize(0);
  response_memory_.Resize(0);
  if (buffer_.size() > 0) return ReadHeader();
  WaitForRequest();
  if (server_.closing_idle_) CloseIfIdle();
}

void CallerServer::Session::WaitForRequest() {
  phase_ = Phase::kIdle;
  idle_since_ = std::chrono::steady_clock::now();
  idle_timeout_ = server_.IdleTimeout();
  StartTimer(idle_timeout_);
  stream_.async_read_some(
      buffer_.prepare(beast::read_size(buffer_, kMaxReadBytes)),
      [self = shared_from_this()](const error_code& ec, std::size_t n) {
        self->OnFirstBytes(ec, n);
      });
}

// The wait is also cancelled to close an idle connection; a request that has
// arrived by then is served.
void CallerServer::Session::OnFirstBytes(const error_code& ec, std::size_t n) {
  if (finished_) return;
  if (n == 0 && HasUnread()) return WaitForRequest();
  if (ec == asio::error::operation_aborted) return Finish(cancel_cause_);
  if (n == 0) return Finish(CauseOfReadError(ec, false));
  buffer_.commit(n);
  ReadHeader();
}

void CallerServer::Session::ReadHeader() {
  phase_ = Phase::kHeader;
  const CallerServerSettings& limits = server_.settings_;
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser_->body_limit(limits.max_body_bytes);
  buffer_.max_size(limits.max_header_bytes + kBufferSlackBytes);
  StartTimer(limits.header_timeout);
  if (buffer_.size() > 0) return Parse();
  ReadMore();
}

// One read at a time: the handler of each one looks at timed_out_, so that the
// time limit holds also if the timer found no read to cancel.
void CallerServer::Session::ReadMore() {
  // The buffer may hold more than a lowered limit.
  if (buffer_.size() >= buffer_.max_size()) {
    return OnParsed(beast::http::error::buffer_overflow);
  }
  const std::size_t room = buffer_.max_size() - buffer_.size();
  stream_.async_read_some(
      buffer_.prepare(std::min(room, kReadBytes)),
      [self = shared_from_this()](const error_code& ec, std::size_t n) {
        self->OnRead(ec, n);
      });
}

void CallerServer::Session::OnRead(const error_code& ec, std::size_t n) {
  if (finished_) return;
  buffer_.commit(n);
  if (n > 0) return Parse();
  if (ec != asio::error::eof) return OnParsed(ec);
  error_code end = beast::http::error::end_of_stream;
  if (parser_->got_some()) parser_->put_eof(end);
  OnParsed(end);
}

// Parses what has been read; the parser takes the header alone at first.
void CallerServer::Session::Parse() {
  error_code ec;
  buffer_.consume(ParseBytes(*parser_, buffer_.data(), ec));
  const bool needs_more = ec == beast::http::error::need_more;
  const bool is_body = phase_ == Phase::kBody && (!ec || needs_more);
  if (is_body && !ReserveBody(parser_->get().body().size())) {
    return RefuseBody();
  }
  const bool more = needs_more || (is_body && !parser_->is_done());
  if (!more) return OnParsed(ec);
  if (timed_out_) return OnParsed(beast::http::error::need_more);
  ReadMore();
}

void CallerServer::Session::OnParsed(const error_code& ec) {
  if (phase_ == Phase::kHeader) return OnHeader(ec);
  OnBody(ec);
}

void CallerServer::Session::OnHeader(const error_code& ec) {
  if (ec && timed_out_) {
    return AnswerMalformed(Reason::kRequestTimeout, "header incomplete in time",
                           CloseCause::kHeaderTimeout);
  }
  if (ec) {
    const Reason reason = ReasonForReadError(ec);
    if (reason == Reason::kNone) {
      return Finish(CauseOfReadError(ec, HasRequestBegun()));
    }
    return AnswerMalformed(reason, ec.message(), CloseCause::kRefused);
  }
  if (HasAmbiguousLength()) {
    return AnswerMalformed(Reason::kBadRequest, "ambiguous body length",
                           CloseCause::kRefused);
  }
  if (beast::iequals(parser_->get()[field::expect], "100-continue")) {
    // No interim 100 response is sent: the body limit keeps the body small, and
    // the caller sends it without one.
    parser_->get().erase(field::expect);
  }
  ReadBody();
}

// The parser rejects a chunked body with a Content-Length, and a repeated
// Content-Length. Other transfer codings and repeated Transfer-Encoding headers
// are rejected here.
bool CallerServer::Session::HasAmbiguousLength() const {
  const auto& message = parser_->get();
  if (message.count(field::transfer_encoding) > 1) return true;
  if (message.count(field::content_length) > 1) return true;
  if (message.count(field::transfer_encoding) == 0) return false;
  return !parser_->chunked() || message.count(field::content_length) > 0 ||
         !beast::iequals(message[field::transfer_encoding], "chunked");
}

// The body is held once for further attempts and once for the attempt in
// flight. Its announced size is reserved before it is read: a body that finds
// no room is refused before anybody has spent work on it.
bool CallerServer::Session::ReserveBody(std::uint64_t bytes) {
  const std::uint64_t wanted = kBodyCopies * bytes;
  return wanted <= request_memory_.bytes() || request_memory_.TryResize(wanted);
}

void CallerServer::Session::RefuseBody() {
  is_body_refused_ = true;
  std::string().swap(parser_->get().body());
  AnswerMalformed(Reason::kMemoryExhausted, "no memory for the body",
                  CloseCause::kRefused);
}

void CallerServer::Session::ReadBody() {
  phase_ = Phase::kBody;
  const auto length = parser_->content_length();
  if (length && !ReserveBody(*length)) return RefuseBody();
  if (parser_->is_done()) return Dispatch();
  StartTimer(server_.settings_.body_timeout);
  parser_->eager(true);
  if (buffer_.size() > 0) return Parse();
  ReadMore();
}

void CallerServer::Session::OnBody(const error_code& ec) {
  if (ec && timed_out_) {
    return AnswerMalformed(Reason::kRequestTimeout, "body incomplete in time",
                           CloseCause::kBodyTimeout);
  }
  if (ec) {
    const Reason reason = ReasonForReadError(ec);
    if (reason == Reason::kNone) return Finish(CauseOfReadError(ec, true));
    return AnswerMalformed(reason, ec.message(), CloseCause::kRefused);
  }
  if (IsTraceWithBody()) {
    return AnswerMalformed(Reason::kBadRequest, "TRACE with a body",
                           CloseCause::kRefused);
  }
  Dispatch();
}

// HTTP forbids it, so that it cannot be passed on.
bool CallerServer::Session::IsTraceWithBody() const {
  const auto& message = parser_->get();
  return message.method() == beast::http::verb::trace &&
         !message.body().empty();
}

void CallerServer::Session::Dispatch() {
  StopTimer();
  phase_ = Phase::kExchange;
  is_read_whole_ = true;
  exchange_ = ExchangeId(server_.next_exchange_++);
  exchange_open_ = true;
  owed_ = exchange_;
  request_ = core::base::RequestId();
  ++requests_read_;
  // A request that waited in the socket while the process was busy may have
  // been given up since.
  if (const auto cause = PeekDisconnect()) {
    exchange_open_ = false;
    return Finish(*cause);
  }
  server_.exchanges_[exchange_] = this;
  const ExchangeId exchange = exchange_;
  WatchForDisconnect();
  Request request = DecodeRequest(parser_->release());
  try {
    server_.hooks_.on_request(exchange, std::move(request));
  } catch (const std::exception& ex) {
    OnFailed(ex.what());
  }
}

// The request may have been passed on or even answered before it failed.
void CallerServer::Session::OnFailed(const std::string& cause) {
  const bool is_answered = finished_ || phase_ != Phase::kExchange;
  server_.exchanges_.erase(exchange_);
  exchange_open_ = false;
  Response response = MakeFailure(Reason::kInternal, cause);
  if (is_answered) return;
  error_code ec;
  stream_.socket().cancel(ec);
  Write(std::move(response), false, CloseCause::kResponseSent);
}

Response CallerServer::Session::MakeFailure(Reason reason,
                                            const std::string& cause) {
  if (server_.hooks_.on_failed) {
    return server_.hooks_.on_failed(exchange_, reason, cause);
  }
  Response response;
  response.status = kInternalError;
  return response;
}

// Nothing is read while a request is in progress, so a disconnect is detected
// by waiting until the socket is readable and peeking. Pipelined data ends the
// watch.
void CallerServer::Session::WatchForDisconnect() {
  const ExchangeId exchange = exchange_;
  stream_.socket().async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), exchange](const error_code& ec) {
        if (ec || self->finished_ || !self->exchange_open_ ||
            self->exchange_ != exchange) {
          return;
        }
        const auto cause = self->PeekDisconnect();
        if (!cause) return;
        self->exchange_open_ = false;
        self->server_.exchanges_.erase(exchange);
        self->server_.hooks_.on_cancel(exchange);
        self->Finish(*cause);
      });
}

std::optional<CloseCause> CallerServer::Session::PeekDisconnect() {
  char byte = 0;
  const auto n = ::recv(stream_.socket().native_handle(), &byte, 1,
                        MSG_PEEK | MSG_DONTWAIT);
  if (n == 0) return CloseCause::kCallerClosed;
  const bool is_open = n > 0 || errno == EAGAIN || errno == EINTR;
  return is_open ? std::nullopt
                 : std::optional<CloseCause>(CloseCause::kCallerReset);
}

void CallerServer::Session::Answer(Response response) {
  server_.exchanges_.erase(exchange_);
  exchange_open_ = false;
  error_code ec;
  stream_.socket().cancel(ec);
  Write(std::move(response), !server_.stopping_ && parser_->keep_alive(),
        CloseCause::kResponseSent);
}

void CallerServer::Session::AnswerMalformed(Reason reason,
                                            const std::string& detail,
                                            CloseCause cause) {
  Write(server_.hooks_.on_malformed(reason, detail), false, cause);
}

void CallerServer::Session::Write(Response response, bool keep_alive,
                                  CloseCause cause) {
  request_memory_.Resize(0);
  if (!response_memory_.TryResize(response.body.size())) {
    keep_alive = false;
    response =
        MakeFailure(Reason::kMemoryExhausted, "no memory for the response");
  }
  auto message = EncodeResponse(std::move(response), keep_alive);
  if (!message) {
    keep_alive = false;
    message = EncodeResponse(
        MakeFailure(Reason::kInternal, message.error().detail), keep_alive);
  }
  if (!message) return Finish(CloseCause::kWriteError);
  close_after_write_ = cause;
  response_.emplace(std::move(*message));
  StopTimer();
  phase_ = Phase::kWrite;
  stream_.expires_after(server_.settings_.write_timeout);
  beast::http::async_write(stream_, *response_,
                           [self = shared_from_this(), keep_alive](
                               const error_code& ec, std::size_t) {
                             self->OnWritten(keep_alive, ec);
                           });
}

void CallerServer::Session::OnWritten(bool keep_alive, const error_code& ec) {
  if (finished_) return;
  stream_.expires_never();
  // The cause of a refusal stands even if the refusal could not be written.
  const bool lost = ec && owed_;
  if (!ec) owed_.reset();
  if (ec) return Finish(lost ? CauseOfWriteError(ec) : close_after_write_);
  if (!keep_alive) return EndSending();
  ReadNext();
}

// Closing a socket with unread bytes resets the connection, which can destroy a
// response that the caller has not read yet.
void CallerServer::Session::EndSending() {
  error_code ec;
  stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  const bool more = !is_read_whole_ || buffer_.size() > 0 || HasUnread();
  if (ec || !more) return Finish(close_after_write_);
  Linger();
}

// Discards what the caller still sends, until it closes or a limit is reached.
// Many callers read no response before they have sent their request.
void CallerServer::Session::Linger() {
  phase_ = Phase::kLinger;
  StartTimer(is_body_refused_ ? server_.settings_.body_timeout
                              : kLingerTimeout);
  Discard();
}

std::size_t CallerServer::Session::MaxDiscardedBytes() const {
  if (!is_body_refused_) return kMaxDiscardedBytes;
  return std::max(kMaxDiscardedBytes, server_.settings_.max_body_bytes);
}

void CallerServer::Session::Discard() {
  buffer_.clear();
  stream_.async_read_some(
      buffer_.prepare(beast::read_size(buffer_, kMaxReadBytes)),
      [self = shared_from_this()](const error_code& ec, std::size_t n) {
        self->OnDiscarded(ec, n);
      });
}

void CallerServer::Session::OnDiscarded(const error_code& ec, std::size_t n) {
  if (finished_) return;
  discarded_bytes_ += n;
  if (ec || discarded_bytes_ > MaxDiscardedBytes()) {
    return Finish(close_after_write_);
  }
  Discard();
}

void CallerServer::Session::StartTimer(std::chrono::milliseconds timeout) {
  timed_out_ = false;
  timer_extended_ = false;
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this(),
                     number = ++timer_number_](const error_code& ec) {
    if (ec || self->finished_ || number != self->timer_number_) return;
    self->OnTimer();
  });
}

void CallerServer::Session::StopTimer() {
  ++timer_number_;
  timer_.cancel();
}

// Received bytes are read before a timer counts: a request may lie complete in
// the receive buffer. A caller that sends byte by byte gains one extension.
void CallerServer::Session::OnTimer() {
  if (phase_ == Phase::kLinger) return Finish(close_after_write_);
  if (phase_ == Phase::kIdle) return CancelWait(CloseCause::kIdleTimeout);
  if (HasUnread() && !timer_extended_) {
    StartTimer(kUnreadGrace);
    timer_extended_ = true;
    return;
  }
  timed_out_ = true;
  error_code ec;
  stream_.socket().cancel(ec);
}

bool CallerServer::Session::HasUnread() {
  char byte = 0;
  return ::recv(stream_.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CallerServer::Session::ExtendIdle(std::chrono::milliseconds timeout) {
  if (phase_ != Phase::kIdle || timeout <= idle_timeout_) return;
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - idle_since_);
  idle_timeout_ = timeout;
  StartTimer(timeout - waited);
}

void CallerServer::Session::CloseIfIdle() {
  if (phase_ == Phase::kIdle) CancelWait(CloseCause::kShutdown);
}

// Cancels the wait instead of closing: bytes may have been read whose handler
// has not run yet.
void CallerServer::Session::CancelWait(CloseCause cause) {
  cancel_cause_ = cause;
  error_code ec;
  stream_.socket().cancel(ec);
}

void CallerServer::Session::Close(CloseCause cause) {
  if (exchange_open_) {
    exchange_open_ = false;
    server_.exchanges_.erase(exchange_);
  }
  // The response was written; its connection ends for the cause of that.
  Finish(phase_ == Phase::kLinger ? close_after_write_ : cause);
}

bool CallerServer::Session::HasRequestBegun() const {
  return buffer_.size() > 0 || parser_->got_some();
}

void CallerServer::Session::ReportClose(CloseCause cause) {
  if (!server_.hooks_.on_closed) return;
  ConnectionClose close;
  close.cause = cause;
  close.owed = owed_;
  if (owed_) close.request = request_;
  close.requests_read = requests_read_;
  close.unread_bytes = UnreadBytes(stream_.socket().native_handle());
  server_.hooks_.on_closed(close);
}

void CallerServer::Session::Finish(CloseCause cause) {
  if (finished_) return;
  finished_ = true;
  request_memory_.Resize(0);
  response_memory_.Resize(0);
  StopTimer();
  ReportClose(cause);
  error_code ec;
  stream_.socket().close(ec);
  server_.sessions_.erase(this);
}

}  // namespace dogwoodrail::http
