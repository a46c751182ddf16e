#ifndef DOGWOODRAIL_STANDINS_COMMON_HTTP_SERVER_H_
#define DOGWOODRAIL_STANDINS_COMMON_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

namespace dogwoodrail::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

class HttpSession;

// One request and its pending response. A response is discarded if the client
// has closed the connection.
class Exchange {
 public:
  Exchange(std::weak_ptr<HttpSession> session, HttpRequest request);

  // Returns the complete request.
  const HttpRequest& request() const { return request_; }
  // Returns the request target as a string.
  std::string target() const;
  // Returns the value of a request header, or an empty string.
  std::string Header(const std::string& name) const;
  // Sends the response after setting its framing headers.
  void Respond(HttpResponse response);
  // Sends a response with a status and a JSON body.
  void Respond(http::status status, std::string body);
  // Closes the connection without a response.
  void Abort();
  // Sets the callback for a connection that closes before the response.
  void OnClosed(std::function<void()> callback) {
    on_closed_ = std::move(callback);
  }

 private:
  friend class HttpSession;

  std::weak_ptr<HttpSession> session_;
  HttpRequest request_;
  std::function<void()> on_closed_;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using ExchangeHandler = std::function<void(ExchangePtr)>;

// Asynchronous HTTP/1.1 server on the loopback interface. Not thread-safe.
class HttpServer {
 public:
  HttpServer(asio::io_context& io, std::uint16_t port, ExchangeHandler handler);
  ~HttpServer();

  // Opens the listening socket; throws if the port is in use.
  void Listen();
  // Closes the listening socket, so that new connections are refused.
  void StopListening();
  // Closes all connections.
  void CloseSessions();
  // Returns the number of open connections.
  std::size_t session_count() const { return sessions_.size(); }

 private:
  friend class HttpSession;

  void Accept();

  std::uint16_t port_;
  ExchangeHandler handler_;
  Tcp::acceptor acceptor_;
  std::unordered_set<std::shared_ptr<HttpSession>> sessions_;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_COMMON_HTTP_SERVER_H_
