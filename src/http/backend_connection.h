#ifndef DOGWOODRAIL_HTTP_BACKEND_CONNECTION_H_
#define DOGWOODRAIL_HTTP_BACKEND_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "core/base/http_status.h"
#include "http/backend_client.h"
#include "http/beast_codec.h"

namespace dogwoodrail::http {

// One connection to the backend server.
class BackendClient::Connection
    : public std::enable_shared_from_this<BackendClient::Connection> {
 public:
  Connection(BackendClient& client, boost::asio::ip::tcp::endpoint address);

  // Executes one request, after connecting if not yet connected.
  void Execute(ExecutionId id, Request request, core::base::Duration timeout,
               Callback callback);
  // Ends the current execution, if any, with the reason.
  void Abort(core::base::Reason reason, const std::string& detail);
  // Returns true if the connection is open, has not exceeded the idle timeout
  // and has received no unexpected data.
  bool IsReusable() const;
  // Bytes read of the current response.
  std::size_t response_bytes() const { return response_bytes_; }
  // Address of the backend server.
  const boost::asio::ip::tcp::endpoint& address() const { return address_; }
  void Close();

 private:
  using Clock = std::chrono::steady_clock;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void RejectRequest(const std::string& detail);
  void Connect();
  void Write();
  void ReadResponse();
  void ReadSome();
  void OnRead(const boost::system::error_code& ec, std::size_t n);
  // Parses what has been read.
  void Parse();
  // Counts bytes of the current response, or forgets them. The first returns
  // false if there is no room for them.
  bool CountBytes(std::size_t n);
  void ReleaseBytes();
  bool HasExcessiveFraming() const;
  void OnReadError(const boost::system::error_code& ec);
  void OnResponse();
  // Reads the response that follows one that is not forwarded.
  // Returns the kind of the status that was read.
  core::base::StatusKind StatusOfResponse() const;
  // Ends the execution whose answer has no status of HTTP.
  void FailInvalidStatus();
  void SkipResponse();
  void HandleResponse(Response response);
  void Fail(core::base::Reason reason, const std::string& detail);
  // Ends the execution because the connection is lost.
  void FailLost(const std::string& detail);
  void Finish(BackendOutcome outcome);

  BackendClient& client_;
  boost::asio::ip::tcp::endpoint address_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  Request request_;  // without the body, which is moved to message_
  BeastRequest message_;
  std::optional<Parser> parser_;
  ExecutionId id_;
  Callback callback_;
  Clock::time_point deadline_;
  Clock::time_point idle_since_;
  bool connected_ = false;
  bool write_started_ = false;
  bool keep_alive_ = false;
  // A response to another request was read: more may follow.
  bool out_of_step_ = false;
  std::size_t response_bytes_ = 0;
  core::base::MemoryReservation memory_;  // for response_bytes_
  int skipped_responses_ = 0;
};

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_BACKEND_CONNECTION_H_
