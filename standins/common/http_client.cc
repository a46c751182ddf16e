#include "standins/common/http_client.h"

#include <sys/socket.h>

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <stdexcept>
#include <utility>

namespace dogwoodrail::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Returns true if an idle connection is reusable: the peer has neither closed
// it nor sent any data.
bool IsReusable(beast::tcp_stream& stream) {
  char buf = 0;
  const ssize_t n =
      ::recv(stream.socket().native_handle(), &buf, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

HttpClient::HttpClient(asio::io_context& io, asio::ip::tcp::endpoint server,
                       std::size_t max_idle)
    : io_(io), server_(std::move(server)), max_idle_(max_idle) {}

std::shared_ptr<HttpCall> HttpClient::Send(
    http::request<http::string_body> request, std::chrono::milliseconds timeout,
    CallCallback done) {
  request.version(11);
  if (request[http::field::host].empty()) {
    request.set(http::field::host, server_.address().to_string());
  }
  request.prepare_payload();
  auto call = std::make_shared<HttpCall>(shared_from_this(), std::move(request),
                                         timeout, std::move(done));
  call->Start();
  return call;
}

std::unique_ptr<beast::tcp_stream> HttpClient::TakeFromPool() {
  while (!idle_.empty()) {
    auto stream = std::move(idle_.back());
    idle_.pop_back();
    if (IsReusable(*stream)) return stream;
  }
  return nullptr;
}

void HttpClient::ReturnToPool(std::unique_ptr<beast::tcp_stream> stream) {
  if (idle_.size() < max_idle_) idle_.push_back(std::move(stream));
}

HttpCall::HttpCall(std::shared_ptr<HttpClient> client,
                   http::request<http::string_body> request,
                   std::chrono::milliseconds timeout, CallCallback done)
    : client_(std::move(client)),
      request_(std::move(request)),
      timeout_(timeout),
      done_(std::move(done)) {}

void HttpCall::Start() {
  stream_ = client_->TakeFromPool();
  if (stream_) {
    stream_->expires_after(timeout_);
    OnConnected({});
    return;
  }
  stream_ = std::make_unique<beast::tcp_stream>(client_->io_);
  stream_->expires_after(timeout_);
  stream_->async_connect(client_->server_,
                         [self = shared_from_this()](beast::error_code ec) {
                           self->OnConnected(ec);
                         });
}

void HttpCall::Cancel() {
  done_ = nullptr;
  if (stream_) stream_->close();
}

void HttpCall::OnConnected(beast::error_code ec) {
  if (ec) {
    Finish(ec);
    return;
  }
  outcome_.connected = true;
  stream_->socket().set_option(asio::ip::tcp::no_delay(true), ec);
  http::async_write(
      *stream_, request_,
      [self = shared_from_this()](beast::error_code ec, std::size_t) {
        self->OnWritten(ec);
      });
}

void HttpCall::OnWritten(beast::error_code ec) {
  if (ec) {
    Finish(ec);
    return;
  }
  http::async_read(
      *stream_, buffer_, outcome_.response,
      [self = shared_from_this()](beast::error_code ec, std::size_t) {
        self->OnRead(ec);
      });
}

void HttpCall::OnRead(beast::error_code ec) {
  if (!ec && outcome_.response.keep_alive() && buffer_.size() == 0 && done_) {
    stream_->expires_never();
    client_->ReturnToPool(std::move(stream_));
  }
  Finish(ec);
}

void HttpCall::Finish(beast::error_code ec) {
  outcome_.ec = ec;
  if (!done_) return;
  const CallCallback done = std::move(done_);
  done_ = nullptr;
  done(std::move(outcome_));
}

asio::ip::tcp::endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("expected IP:port, got: " + text);
  }
  const auto address = asio::ip::make_address(text.substr(0, colon));
  const auto port = std::stoi(text.substr(colon + 1));
  return {address, static_cast<std::uint16_t>(port)};
}

}  // namespace dogwoodrail::standin
