#ifndef DOGWOODRAIL_HTTP_CALLER_SERVER_H_
#define DOGWOODRAIL_HTTP_CALLER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/base/error_type.h"
#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "http/message_type.h"

namespace dogwoodrail::http {

// One request of one caller, from its arrival to its answer.
using ExchangeId = core::base::StrongNumber<struct ExchangeIdTag>;

// Limits of the callers' side.
struct CallerServerSettings {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  std::chrono::milliseconds header_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds body_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
  std::chrono::milliseconds write_timeout = std::chrono::seconds(10);
};

// What the server tells its owner. All are called on the loop's thread.
struct CallerServerHooks {
  // A whole request came; exactly one Answer() is expected.
  std::function<void(ExchangeId, Request)> on_request;
  // The caller went away before the answer; no Answer() is expected.
  std::function<void(ExchangeId)> on_cancel;
  // Builds the answer to a message that could not be parsed.
  std::function<Response(core::base::Reason, const std::string& detail)>
      on_malformed;
};

// HTTP/1.1 server for callers. Answers of one connection go out in the order
// of its requests; each request is handled before the next one is read.
class CallerServer {
 public:
  CallerServer(boost::asio::io_context& loop, CallerServerSettings settings,
               CallerServerHooks hooks);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Listens for callers.
  core::base::Result<void> Listen(const std::string& ip, std::uint16_t port);
  // Puts other limits in force, for what is read from now on.
  void SetLimits(const CallerServerSettings& settings) { settings_ = settings; }
  // Answers an exchange; false if the caller has gone.
  bool Answer(ExchangeId exchange, Response response);
  // From now on each connection is closed after its next answer.
  void BeginStop();
  // Accepts what the kernel holds already, then no more.
  void StopAccepting();
  // Closes the connections on which no request has begun to arrive; the others
  // close after their answer.
  void CloseIdle();
  // Closes all that is left.
  void Close();
  // Number of open connections.
  std::size_t size() const { return sessions_.size(); }

 private:
  class Session;

  void Accept();
  void Add(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& loop_;
  CallerServerSettings settings_;
  CallerServerHooks hooks_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint64_t next_exchange_ = 1;
  std::unordered_map<Session*, std::shared_ptr<Session>> sessions_;
  std::unordered_map<ExchangeId, Session*> exchanges_;
  bool stopping_ = false;
};

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_CALLER_SERVER_H_
