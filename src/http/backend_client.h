#ifndef DOGWOODRAIL_HTTP_BACKEND_CLIENT_H_
#define DOGWOODRAIL_HTTP_BACKEND_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/memory_budget.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "http/message_type.h"

namespace dogwoodrail::http {

// Identifies one execution of a request by the backend server.
using ExecutionId = core::base::StrongNumber<struct ExecutionIdTag>;

// Result of an execution.
struct BackendOutcome {
  core::base::Ran ran;
  core::base::Reason reason;  // kNone if and only if ran is kRan
  Response response;          // empty if no usable response was read
  std::string detail;         // for the event log
  // The connection ended or failed before a complete response.
  bool connection_lost = false;
  // The backend server has sent an answer whose status is none of HTTP.
  bool invalid_answer = false;
};

// Timeouts and size limits of the client.
struct BackendClientSettings {
  std::chrono::milliseconds connect_timeout = std::chrono::seconds(1);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(15);
  std::size_t max_response_header_bytes = std::size_t{64} * 1024;
  std::size_t max_response_body_bytes = 8U * std::size_t{1024} * 1024;
  // Of all responses that are being read.
  std::size_t max_buffered_bytes = 32U * std::size_t{1024} * 1024;
};

// Classifies a response by what it says about the execution.
enum class ResponseClass : std::uint8_t {
  kRan,            // the request ran; forward the response
  kShed,           // rejected before execution
  kOtherInstance,  // sent by another process at this address; not run
  kInvalid,        // must not be forwarded; the request may have run
  kOtherRequest    // response to an earlier request; read the next one
};

// Protocol-specific handling of responses from the backend server.
struct BackendHooks {
  std::function<ResponseClass(const Request&, const Response&)> classify;
  // Accepts a body without a length that ends with an orderly close.
  bool accepts_close_delimited = false;
};

// Returns the hooks for the Dogwood- headers.
BackendHooks MakeOwnBackendHooks();

// HTTP/1.1 client for the local backend server of this node. Each request is
// written once, to one connection; the client never retries.
class BackendClient {
 public:
  using Callback = std::function<void(BackendOutcome)>;

  BackendClient(boost::asio::io_context& loop, BackendClientSettings settings,
                BackendHooks hooks = MakeOwnBackendHooks());
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  // Sets the budget for the responses being read; not owned, may be null.
  void SetMemoryBudget(core::base::MemoryBudget* memory) { memory_ = memory; }
  // Sets the backend server's address. If it changes, idle connections are
  // closed.
  void SetAddress(boost::asio::ip::tcp::endpoint address);
  // Starts an execution. The callback is invoked exactly once, after this call
  // returns, on the event loop's thread.
  ExecutionId Execute(Request request, core::base::Duration timeout,
                      Callback callback);
  // Closes the execution's connection and invokes its callback with the reason
  // and kNotRun or kUnknown.
  void Cancel(ExecutionId execution, core::base::Reason reason);
  // Aborts all executions with kShuttingDown and closes all connections.
  void Close();
  // Bytes read of all responses that are not complete yet.
  std::size_t buffered_bytes() const { return buffered_bytes_; }

 private:
  class Connection;

  // Interval at which idle connections are checked.
  static constexpr std::chrono::milliseconds kIdleCheckInterval =
      std::chrono::seconds(1);

  std::shared_ptr<Connection> TakeIdle();
  void PutIdle(std::shared_ptr<Connection> connection);
  void ScheduleIdleCheck();
  // Closes the idle connections that cannot be reused.
  void CheckIdle();
  // Ends the longest response if all together exceed max_buffered_bytes, or if
  // there was no room for what was read last.
  void LimitBufferedBytes(bool has_room);

  boost::asio::io_context& loop_;
  BackendClientSettings settings_;
  BackendHooks hooks_;
  core::base::MemoryBudget* memory_ = nullptr;
  boost::asio::ip::tcp::endpoint address_;
  std::uint64_t next_execution_ = 1;
  std::unordered_map<ExecutionId, std::shared_ptr<Connection>> executions_;
  std::vector<std::shared_ptr<Connection>> idle_;
  boost::asio::steady_timer idle_timer_;
  bool idle_check_scheduled_ = false;
  std::size_t buffered_bytes_ = 0;
};

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_BACKEND_CLIENT_H_
