#ifndef DOGWOODRAIL_STANDINS_COMMON_HTTP_CLIENT_H_
#define DOGWOODRAIL_STANDINS_COMMON_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dogwoodrail::standin {

// Outcome of one HTTP call. `response` is complete only if `ec` is not set.
struct HttpOutcome {
  boost::beast::error_code ec;
  bool connected = false;  // false: no byte of the request was sent
  boost::beast::http::response<boost::beast::http::string_body> response;
};

using CallCallback = std::function<void(HttpOutcome)>;

class HttpCall;

// Asynchronous HTTP/1.1 client for one server with a pool of persistent
// connections. It never retries a call.
class HttpClient : public std::enable_shared_from_this<HttpClient> {
 public:
  HttpClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server,
             std::size_t max_idle);

  // Sends a request. `done` is called exactly once, unless the call is
  // cancelled.
  std::shared_ptr<HttpCall> Send(
      boost::beast::http::request<boost::beast::http::string_body> request,
      std::chrono::milliseconds timeout, CallCallback done);

 private:
  friend class HttpCall;

  // Removes from the pool a connection that the server has not closed. Returns
  // null if there is none.
  std::unique_ptr<boost::beast::tcp_stream> TakeFromPool();
  // Returns a connection to the pool, or closes it if the pool is full.
  void ReturnToPool(std::unique_ptr<boost::beast::tcp_stream> stream);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint server_;
  std::size_t max_idle_;
  std::vector<std::unique_ptr<boost::beast::tcp_stream>> idle_;
};

// An HTTP call in progress.
class HttpCall : public std::enable_shared_from_this<HttpCall> {
 public:
  HttpCall(std::shared_ptr<HttpClient> client,
           boost::beast::http::request<boost::beast::http::string_body> request,
           std::chrono::milliseconds timeout, CallCallback done);

  // Takes a pooled connection or opens one, then sends the request.
  void Start();
  // Closes the connection. The completion callback is not called.
  void Cancel();

 private:
  void OnConnected(boost::beast::error_code ec);
  void OnWritten(boost::beast::error_code ec);
  void OnRead(boost::beast::error_code ec);
  void Finish(boost::beast::error_code ec);

  std::shared_ptr<HttpClient> client_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::chrono::milliseconds timeout_;
  CallCallback done_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
  HttpOutcome outcome_;
};

// Parses "IP:port". Throws an exception if the text is malformed.
boost::asio::ip::tcp::endpoint ParseEndpoint(const std::string& text);

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_COMMON_HTTP_CLIENT_H_
