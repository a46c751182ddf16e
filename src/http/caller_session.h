#ifndef DOGWOODRAIL_HTTP_CALLER_SESSION_H_
#define DOGWOODRAIL_HTTP_CALLER_SESSION_H_

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "http/beast_codec.h"
#include "http/caller_server.h"

namespace dogwoodrail::http {

// One connection of a caller.
class CallerServer::Session
    : public std::enable_shared_from_this<CallerServer::Session> {
 public:
  Session(CallerServer& server, boost::asio::ip::tcp::socket socket);

  // Starts reading the first request.
  void Start();
  // Writes the response of the current exchange.
  void Answer(Response response);
  // Closes the connection unless a request is partly received or in progress,
  // or a response is being written.
  void CloseIfIdle();
  // Returns true while a request may arrive or is partly received.
  bool IsReading() const { return phase_ <= Phase::kBody; }
  // Raises the idle timeout of the wait in progress, if there is one.
  void ExtendIdle(std::chrono::milliseconds timeout);
  // Closes the connection immediately.
  void Close(CloseCause cause);
  // Sets the id of the request in progress.
  void SetRequest(const core::base::RequestId& request) { request_ = request; }

 private:
  // What the connection waits for.
  enum class Phase : std::uint8_t {
    kIdle,      // the first byte of a request
    kHeader,    // the rest of a header
    kBody,      // the rest of a body
    kExchange,  // the response
    kWrite,     // the write of the response
    kLinger,    // the end of what the caller still sends
  };

  void ReadNext();
  void WaitForRequest();
  void OnFirstBytes(const boost::system::error_code& ec, std::size_t n);
  void CancelWait(CloseCause cause);
  void ReadHeader();
  // Reads and parses the header or the body further.
  void ReadMore();
  void OnRead(const boost::system::error_code& ec, std::size_t n);
  void Parse();
  void OnParsed(const boost::system::error_code& ec);
  void OnHeader(const boost::system::error_code& ec);
  void ReadBody();
  void OnBody(const boost::system::error_code& ec);
  // Reserves memory for a body of a size; false if there is none.
  bool ReserveBody(std::uint64_t bytes);
  void RefuseBody();
  bool IsTraceWithBody() const;
  void Dispatch();
  // Ends an exchange that cannot be served because of an unforeseen exception.
  void OnFailed(const std::string& cause);
  Response MakeFailure(core::base::Reason reason, const std::string& cause);
  void WatchForDisconnect();
  // Returns how the caller has ended the connection, or nullopt if it has not
  // or if more bytes are to be read first.
  std::optional<CloseCause> PeekDisconnect();
  void AnswerMalformed(core::base::Reason reason, const std::string& detail,
                       CloseCause cause);
  void Write(Response response, bool keep_alive, CloseCause cause);
  void OnWritten(bool keep_alive, const boost::system::error_code& ec);
  void EndSending();
  void Linger();
  std::size_t MaxDiscardedBytes() const;
  void OnDiscarded(const boost::system::error_code& ec, std::size_t n);
  void Discard();
  void StartTimer(std::chrono::milliseconds timeout);
  void StopTimer();
  void OnTimer();
  // Returns true if received bytes have not been read yet.
  bool HasUnread();
  void Finish(CloseCause cause);
  void ReportClose(CloseCause cause);
  // Returns true if a part of the next request has arrived.
  bool HasRequestBegun() const;
  // Returns true if the length of the body is ambiguous.
  bool HasAmbiguousLength() const;

  CallerServer& server_;
  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  std::optional<Parser> parser_;
  std::optional<BeastResponse> response_;
  core::base::MemoryReservation request_memory_;
  core::base::MemoryReservation response_memory_;
  boost::asio::steady_timer timer_;
  std::uint64_t timer_number_ = 0;  // of the last timer started or stopped
  ExchangeId exchange_;
  Phase phase_ = Phase::kIdle;
  std::size_t discarded_bytes_ = 0;
  bool is_body_refused_ = false;  // the caller may still be sending it
  bool is_read_whole_ = false;    // the last request, to the end of its body
  std::chrono::steady_clock::time_point idle_since_;
  std::chrono::milliseconds idle_timeout_{0};  // of the wait in progress
  bool timed_out_ = false;                     // the header or the body
  bool timer_extended_ = false;
  CloseCause cancel_cause_ = CloseCause::kIdleTimeout;
  bool exchange_open_ = false;
  std::optional<ExchangeId> owed_;  // read whole, response not written yet
  core::base::RequestId request_;   // of the owed exchange
  std::size_t requests_read_ = 0;
  // Cause of the close that follows the response being written.
  CloseCause close_after_write_ = CloseCause::kResponseSent;
  bool finished_ = false;
};

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_CALLER_SESSION_H_
