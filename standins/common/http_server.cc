#include "standins/common/http_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

namespace dogwoodrail::standin {
namespace {

constexpr int kBacklog = 2048;
constexpr std::size_t kReadSize = std::size_t{8} * 1024;
constexpr std::uint64_t kBodyLimit = 64ULL * 1024 * 1024;

}  // namespace

// A server connection. A read is always outstanding, even while a request is
// being served, to detect at once that the client has closed the connection.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(HttpServer* server, Tcp::socket socket)
      : server_(server), socket_(std::move(socket)) {}

  void Read() {
    socket_.async_read_some(
        asio::buffer(chunk_),
        [self = shared_from_this()](beast::error_code ec, std::size_t n) {
          self->OnRead(ec, n);
        });
  }

  void Write(HttpResponse response) {
    if (closed_ || !exchange_) return;
    exchange_->on_closed_ = nullptr;
    response.version(11);
    response.keep_alive(keep_alive_);
    response.prepare_payload();
    response_.emplace(std::move(response));
    http::async_write(
        socket_, *response_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          self->OnWritten(ec);
        });
  }

  void Close() {
    if (closed_) return;
    closed_ = true;
    beast::error_code ec;
    socket_.shutdown(Tcp::socket::shutdown_both, ec);
    socket_.close(ec);
    if (exchange_ && exchange_->on_closed_) {
      auto callback = std::move(exchange_->on_closed_);
      callback();
    }
    exchange_.reset();
    if (server_ != nullptr) server_->sessions_.erase(shared_from_this());
  }

  // Clears the reference to a server that is being destroyed.
  void Detach() { server_ = nullptr; }

 private:
  void OnRead(beast::error_code ec, std::size_t n) {
    if (ec) {
      Close();
      return;
    }
    asio::buffer_copy(buffer_.prepare(n), asio::buffer(chunk_, n));
    buffer_.commit(n);
    ParseNext();
    if (!closed_) Read();
  }

  void OnWritten(beast::error_code ec) {
    if (ec || !keep_alive_) {
      Close();
      return;
    }
    exchange_.reset();
    response_.reset();
    ParseNext();
  }

  void ParseNext() {
    if (exchange_ || closed_ || buffer_.size() == 0) return;
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->body_limit(kBodyLimit);
    }
    beast::error_code ec;
    while (buffer_.size() > 0 && !parser_->is_done()) {
      buffer_.consume(parser_->put(buffer_.data(), ec));
      if (ec) break;
    }
    if (ec && ec != http::error::need_more) {
      Close();
      return;
    }
    if (!parser_->is_done()) return;
    HttpRequest request = parser_->release();
    parser_.reset();
    keep_alive_ = request.keep_alive();
    exchange_ =
        std::make_shared<Exchange>(weak_from_this(), std::move(request));
    server_->handler_(exchange_);
  }

  HttpServer* server_;
  Tcp::socket socket_;
  std::array<char, kReadSize> chunk_{};
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<HttpResponse> response_;
  ExchangePtr exchange_;
  bool keep_alive_ = true;
  bool closed_ = false;
};

Exchange::Exchange(std::weak_ptr<HttpSession> session, HttpRequest request)
    : session_(std::move(session)), request_(std::move(request)) {}

std::string Exchange::target() const {
  return std::string(request_.target().data(), request_.target().size());
}

std::string Exchange::Header(const std::string& name) const {
  const auto value = request_[name];
  return std::string(value.data(), value.size());
}

void Exchange::Respond(HttpResponse response) {
  if (const auto session = session_.lock()) session->Write(std::move(response));
}

void Exchange::Respond(http::status status, std::string body) {
  HttpResponse response;
  response.result(status);
  if (!body.empty()) {
    response.set(http::field::content_type, "application/json");
  }
  response.body() = std::move(body);
  Respond(std::move(response));
}

void Exchange::Abort() {
  if (const auto session = session_.lock()) session->Close();
}

HttpServer::HttpServer(asio::io_context& io, std::uint16_t port,
                       ExchangeHandler handler)
    : port_(port), handler_(std::move(handler)), acceptor_(io) {}

HttpServer::~HttpServer() {
  for (const auto& session : sessions_) session->Detach();
}

void HttpServer::Listen() {
  if (acceptor_.is_open()) return;
  const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port_);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(Tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kBacklog);
  Accept();
}

void HttpServer::StopListening() {
  beast::error_code ec;
  acceptor_.close(ec);
}

void HttpServer::CloseSessions() {
  const auto sessions = sessions_;
  for (const auto& session : sessions) session->Close();
}

void HttpServer::Accept() {
  acceptor_.async_accept([this](beast::error_code ec, Tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (!ec) {
      socket.set_option(Tcp::no_delay(true), ec);
      auto session = std::make_shared<HttpSession>(this, std::move(socket));
      sessions_.insert(session);
      session->Read();
    }
    if (acceptor_.is_open()) Accept();
  });
}

}  // namespace dogwoodrail::standin
