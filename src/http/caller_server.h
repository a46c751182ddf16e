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
#include "core/base/memory_budget.h"
#include "core/base/request_type.h"
#include "http/close_type.h"
#include "http/message_type.h"

namespace dogwoodrail::http {

// Timeouts and size limits for callers.
struct CallerServerSettings {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  std::chrono::milliseconds header_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds body_timeout = std::chrono::seconds(10);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(60);
  std::chrono::milliseconds write_timeout = std::chrono::seconds(10);
};

// Callbacks of the server, all invoked on the event loop's thread.
struct CallerServerHooks {
  // A complete request was received; Answer() must be called exactly once
  // unless on_cancel follows.
  std::function<void(ExchangeId, Request)> on_request;
  // The caller disconnected before the response; Answer() need not be called.
  std::function<void(ExchangeId)> on_cancel;
  // Builds the response to a request that is malformed, too large or incomplete
  // when body_timeout expires.
  std::function<Response(core::base::Reason, const std::string& detail)>
      on_malformed;
  // on_request threw an exception, or the response to the exchange cannot be
  // written (both kInternal), or there is no memory for the response. Ends what
  // is held for the exchange, and builds the response, which must not say that
  // the request has not run. Optional.
  std::function<Response(ExchangeId, core::base::Reason,
                         const std::string& cause)>
      on_failed = nullptr;
  // A connection ended and is about to be closed; optional.
  std::function<void(const ConnectionClose&)> on_closed = nullptr;
};

// HTTP/1.1 server for callers. Each connection handles one request at a time,
// so responses are sent in the order of the requests.
class CallerServer {
 public:
  CallerServer(boost::asio::io_context& loop, CallerServerSettings settings,
               CallerServerHooks hooks);
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  // Starts listening for callers.
  core::base::Result<void> Listen(const std::string& ip, std::uint16_t port);
  // Sets the budget for the messages of the callers; not owned, may be null.
  void SetMemoryBudget(core::base::MemoryBudget* memory) { memory_ = memory; }
  // Replaces the settings. Open connections use the new size limits from the
  // next request on and the new timeouts from the next operation on. A longer
  // idle timeout also applies to connections that are idle now; a shorter one
  // applies once the old one has passed.
  void SetLimits(const CallerServerSettings& settings);
  // Sends the response; returns false if the caller has disconnected.
  bool Answer(ExchangeId exchange, Response response);
  // Names the request of an exchange in progress, for on_closed.
  void SetRequest(ExchangeId exchange, const core::base::RequestId& request);
  // Starts shutdown: each connection is closed after its next response.
  void BeginStop();
  // Accepts the connections pending in the backlog, then closes the listener.
  void StopAccepting();
  // Closes the connections on which no part of a request has arrived, and from
  // now on each one that becomes idle. After BeginStop() the others are closed
  // after their response.
  void CloseIdle();
  // Closes the listener and all connections.
  void Close(CloseCause cause = CloseCause::kServerClosed);
  // Number of open connections.
  std::size_t size() const { return sessions_.size(); }
  // Number of open connections that wait for a request or the rest of one.
  std::size_t ReadingCount() const;

 private:
  class Session;

  void Accept();
  void AddSession(boost::asio::ip::tcp::socket socket);
  // Returns how long a connection may be idle from now on.
  std::chrono::milliseconds IdleTimeout() const;

  boost::asio::io_context& loop_;
  CallerServerSettings settings_;
  CallerServerHooks hooks_;
  core::base::MemoryBudget* memory_ = nullptr;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint64_t next_exchange_ = 1;
  std::unordered_map<Session*, std::shared_ptr<Session>> sessions_;
  std::unordered_map<ExchangeId, Session*> exchanges_;
  // Longer idle timeout of earlier settings, and the end of its use.
  std::chrono::milliseconds old_idle_timeout_{0};
  std::chrono::steady_clock::time_point old_idle_timeout_until_;
  bool stopping_ = false;
  bool closing_idle_ = false;  // set by CloseIdle()
};

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_CALLER_SERVER_H_
