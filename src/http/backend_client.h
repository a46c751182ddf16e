#ifndef DOGWOODRAIL_HTTP_BACKEND_CLIENT_H_
#define DOGWOODRAIL_HTTP_BACKEND_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "http/message_type.h"

namespace dogwoodrail::http {

// One execution at the backend server.
using ExecutionId = core::base::StrongNumber<struct ExecutionIdTag>;

// How an execution ended.
struct BackendOutcome {
  core::base::Ran ran;
  core::base::Reason reason;  // kNone with a whole answer
  Response response;          // empty without a whole answer
  std::string detail;         // for the event log
};

// Limits of the client.
struct BackendClientSettings {
  std::chrono::milliseconds connect_timeout = std::chrono::seconds(1);
  std::chrono::milliseconds idle_timeout = std::chrono::seconds(15);
  std::size_t max_response_header_bytes = std::size_t{64} * 1024;
  std::size_t max_response_body_bytes = 8U * std::size_t{1024} * 1024;
};

// What an answer says about the execution that it ends.
enum class ResponseClass : std::uint8_t {
  kRan,            // ran; pass it on
  kShed,           // refused before any work
  kOtherInstance,  // another process answers at this address; not run
  kInvalid,        // not an answer that may be passed on; may have run
  kOtherRequest    // answers an earlier request; the right one follows
};

// How the client reads answers of the backend server.
struct BackendHooks {
  std::function<ResponseClass(const Request&, const Response&)> classify;
  // True if a body without a length is whole once the peer has closed orderly.
  bool accepts_close_delimited = false;
};

// Returns the hooks for the project's own headers.
BackendHooks MakeOwnBackendHooks();

// HTTP/1.1 client of the one backend server beside this node. A request is
// written to one connection once and never repeated by the client.
class BackendClient {
 public:
  using Callback = std::function<void(BackendOutcome)>;

  BackendClient(boost::asio::io_context& loop, BackendClientSettings settings,
                BackendHooks hooks = MakeOwnBackendHooks());
  ~BackendClient();
  BackendClient(const BackendClient&) = delete;
  BackendClient& operator=(const BackendClient&) = delete;

  // Sets where the backend server listens; idle connections to another address
  // are closed.
  void SetAddress(boost::asio::ip::tcp::endpoint address);
  // Starts an execution; the callback comes once, later, on the loop's thread.
  ExecutionId Execute(Request request, core::base::Duration timeout,
                      Callback callback);
  // Closes the connection of an execution; its callback comes with what is
  // known.
  void Cancel(ExecutionId execution, core::base::Reason reason);
  // Closes everything.
  void Close();

 private:
  class Connection;

  std::shared_ptr<Connection> TakeIdle();
  void PutIdle(std::shared_ptr<Connection> connection);

  boost::asio::io_context& loop_;
  BackendClientSettings settings_;
  BackendHooks hooks_;
  boost::asio::ip::tcp::endpoint address_;
  std::uint64_t next_execution_ = 1;
  std::unordered_map<ExecutionId, std::shared_ptr<Connection>> executions_;
  std::vector<std::shared_ptr<Connection>> idle_;
};

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_BACKEND_CLIENT_H_
