#include <boost/asio/connect.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "http/caller_server.h"
#include "http/close_func.h"
#include "http/close_table.h"

namespace dogwoodrail::http {

// Prints a cause in failed checks.
static std::ostream& operator<<(std::ostream& out, CloseCause cause) {
  return out << GetCloseCauseSpec(cause).name;
}

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kLoopRunTime(60);
constexpr milliseconds kShortTimeout(20);
constexpr int kMaxRuns = 50;
// More than the send and receive buffers of a loopback connection hold.
constexpr std::size_t kLargeBody = std::size_t{32} * 1024 * 1024;
constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
constexpr std::string_view kLastRequest =
    "GET / HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n";

// A server that keeps its requests until the test answers them, and records how
// its connections end.
struct Fixture {
  Fixture() : server(loop, CallerServerSettings(), MakeHooks()), caller(loop) {
    // Binds to port 0 to find a free port.
    tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
    port = probe.local_endpoint().port();
    probe.close();
    BOOST_REQUIRE(server.Listen("127.0.0.1", port).has_value());
  }

  CallerServerHooks MakeHooks() {
    CallerServerHooks hooks;
    hooks.on_request = [this](ExchangeId exchange, const Request&) {
      exchanges.push_back(exchange);
      server.SetRequest(exchange, core::base::RequestId("r1"));
    };
    hooks.on_cancel = [this](ExchangeId) { ++cancelled; };
    hooks.on_malformed = [](core::base::Reason, const std::string&) {
      Response response;
      response.status = 400;
      return response;
    };
    hooks.on_closed = [this](const ConnectionClose& close) {
      closes.push_back(close);
    };
    return hooks;
  }

  // Runs the event loop for kLoopRunTime.
  void Run() {
    loop.restart();
    loop.run_for(kLoopRunTime);
  }

  // Connects a caller that sends `text`, and runs the loop.
  void Send(std::string_view text) {
    caller.connect({asio::ip::address_v4::loopback(), port});
    asio::write(caller, asio::buffer(text.data(), text.size()));
    Run();
  }

  // Answers the only request.
  void Answer(std::string body) {
    BOOST_REQUIRE(exchanges.size() == 1U);
    Response response;
    response.status = 200;
    response.body = std::move(body);
    BOOST_TEST(server.Answer(exchanges.front(), response));
    Run();
  }

  // Resets the caller's connection.
  void Reset() {
    caller.set_option(asio::socket_base::linger(true, 0));
    caller.close();
    Run();
  }

  // Closes the caller's connection in order, after it has read everything.
  void CloseCaller() {
    std::string rest;
    boost::system::error_code ec;
    asio::read(caller, asio::dynamic_buffer(rest), ec);
    caller.close();
    Run();
  }

  // Sets the timeouts of the server.
  template <typename Member>
  void SetTimeout(Member member, milliseconds value) {
    CallerServerSettings settings;
    settings.*member = value;
    server.SetLimits(settings);
  }

  // Checks that one connection has ended, and why.
  const ConnectionClose& CheckClose(CloseCause cause, bool owed) {
    BOOST_REQUIRE(closes.size() == 1U);
    const ConnectionClose& close = closes.front();
    BOOST_TEST(close.cause == cause);
    BOOST_TEST(close.owed.has_value() == owed);
    BOOST_TEST(close.request.value() == (owed ? "r1" : ""));
    return close;
  }

  asio::io_context loop;
  std::vector<ExchangeId> exchanges;
  std::vector<ConnectionClose> closes;
  int cancelled = 0;
  CallerServer server;
  tcp::socket caller;
  std::uint16_t port = 0;
};

BOOST_FIXTURE_TEST_SUITE(close_cause, Fixture)

BOOST_AUTO_TEST_CASE(response_sent) {
  Send(kLastRequest);
  Answer("whole");
  const ConnectionClose& close = CheckClose(CloseCause::kResponseSent, false);
  BOOST_TEST(close.requests_read == 1U);
  BOOST_TEST(close.unread_bytes == 0U);
}

// Bytes that lingering discards are read, and end no connection by a reset.
BOOST_AUTO_TEST_CASE(discarded_bytes_are_not_reported_as_unread) {
  Send(kLastRequest);
  asio::write(caller, asio::buffer(std::string("more")));
  Answer("whole");
  BOOST_TEST(closes.empty());
  CloseCaller();
  BOOST_TEST(CheckClose(CloseCause::kResponseSent, false).unread_bytes == 0U);
}

BOOST_AUTO_TEST_CASE(bytes_unread_at_the_end_of_lingering_are_reported) {
  Send(kLastRequest);
  const std::string more(kLargeBody, 'x');  // more than lingering discards
  asio::async_write(caller, asio::buffer(more),
                    [](const boost::system::error_code&, std::size_t) {});
  Answer("whole");
  for (int it = 0; it < kMaxRuns && closes.empty(); ++it) Run();
  BOOST_TEST(CheckClose(CloseCause::kResponseSent, false).unread_bytes > 0U);
}

BOOST_AUTO_TEST_CASE(bytes_unread_as_the_server_is_closed_are_reported) {
  Send(kLastRequest);
  asio::write(caller, asio::buffer(std::string("more")));
  Answer("whole");
  asio::write(caller, asio::buffer(std::string("still more")));
  server.Close(CloseCause::kStopDeadline);
  BOOST_TEST(CheckClose(CloseCause::kResponseSent, false).unread_bytes == 10U);
}

BOOST_AUTO_TEST_CASE(refused) {
  Send("GET / HTTP/9.9 \r\n\r\n");
  CloseCaller();
  CheckClose(CloseCause::kRefused, false);
}

BOOST_AUTO_TEST_CASE(idle_timeout) {
  SetTimeout(&CallerServerSettings::idle_timeout, kShortTimeout);
  Send("");
  CheckClose(CloseCause::kIdleTimeout, false);
}

BOOST_AUTO_TEST_CASE(idle_timeout_after_a_response) {
  SetTimeout(&CallerServerSettings::idle_timeout, kShortTimeout);
  Send(kRequest);
  BOOST_TEST(closes.empty());
  Answer("whole");
  BOOST_TEST(CheckClose(CloseCause::kIdleTimeout, false).requests_read == 1U);
}

BOOST_AUTO_TEST_CASE(header_timeout) {
  SetTimeout(&CallerServerSettings::header_timeout, kShortTimeout);
  Send("GET / HTTP/1.1\r\n");
  CloseCaller();
  CheckClose(CloseCause::kHeaderTimeout, false);
}

BOOST_AUTO_TEST_CASE(body_timeout) {
  SetTimeout(&CallerServerSettings::body_timeout, kShortTimeout);
  Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 9\r\n\r\nab");
  CloseCaller();
  CheckClose(CloseCause::kBodyTimeout, false);
}

BOOST_AUTO_TEST_CASE(write_timeout_leaves_a_request_unanswered) {
  SetTimeout(&CallerServerSettings::write_timeout, kShortTimeout);
  Send(kRequest);
  Answer(std::string(kLargeBody, 'x'));
  BOOST_TEST(IsUnanswered(CheckClose(CloseCause::kWriteTimeout, true)));
}

BOOST_AUTO_TEST_CASE(caller_closed_between_requests) {
  Send(kRequest);
  Answer("whole");
  caller.close();
  Run();
  const ConnectionClose& close = closes.at(0);
  BOOST_TEST(!close.owed.has_value());
  BOOST_TEST(!IsAbandoned(close));
}

BOOST_AUTO_TEST_CASE(caller_closed_without_a_request) {
  Send("");
  caller.close();
  Run();
  CheckClose(CloseCause::kCallerClosed, false);
}

BOOST_AUTO_TEST_CASE(caller_closed_before_the_answer) {
  Send(kRequest);
  caller.close();
  Run();
  const ConnectionClose& close = CheckClose(CloseCause::kCallerClosed, true);
  BOOST_TEST(IsAbandoned(close));
  BOOST_TEST(!IsUnanswered(close));
  BOOST_TEST(cancelled == 1);
}

BOOST_AUTO_TEST_CASE(caller_reset_without_a_request) {
  Send("");
  Reset();
  CheckClose(CloseCause::kCallerReset, false);
}

BOOST_AUTO_TEST_CASE(caller_reset_before_the_answer) {
  Send(kRequest);
  Reset();
  BOOST_TEST(IsAbandoned(CheckClose(CloseCause::kCallerReset, true)));
}

BOOST_AUTO_TEST_CASE(caller_reset_while_a_response_is_written) {
  Send(kRequest);
  Answer(std::string(kLargeBody, 'x'));
  BOOST_TEST(closes.empty());
  Reset();
  BOOST_TEST(IsAbandoned(CheckClose(CloseCause::kCallerReset, true)));
}

BOOST_AUTO_TEST_CASE(shutdown_of_an_idle_connection) {
  Send("");
  server.BeginStop();
  server.CloseIdle();
  Run();
  CheckClose(CloseCause::kShutdown, false);
}

// Plants lost answers: closes the server while a request is in progress.
BOOST_AUTO_TEST_CASE(close_leaves_a_request_unanswered) {
  for (const auto cause : {CloseCause::kStopDeadline, CloseCause::kServerClosed,
                           CloseCause::kShutdown}) {
    Fixture fixture;
    fixture.Send(kRequest);
    fixture.server.Close(cause);
    const ConnectionClose& close = fixture.CheckClose(cause, true);
    BOOST_TEST(IsUnanswered(close));
    BOOST_TEST((close.owed == fixture.exchanges.front()));
  }
}

BOOST_AUTO_TEST_CASE(close_without_a_cause) {
  Send(kRequest);
  server.Close();
  BOOST_TEST(IsUnanswered(CheckClose(CloseCause::kServerClosed, true)));
}

BOOST_AUTO_TEST_CASE(close_while_a_response_is_written) {
  Send(kRequest);
  Answer(std::string(kLargeBody, 'x'));
  server.Close(CloseCause::kStopDeadline);
  BOOST_TEST(IsUnanswered(CheckClose(CloseCause::kStopDeadline, true)));
  Run();
  BOOST_TEST(closes.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(close_errors)

BOOST_AUTO_TEST_CASE(cause_of_a_read_error) {
  const auto timeout = make_error_code(beast::error::timeout);
  BOOST_TEST(CauseOfReadError(timeout, false) == CloseCause::kIdleTimeout);
  BOOST_TEST(CauseOfReadError(timeout, true) == CloseCause::kHeaderTimeout);
  BOOST_TEST(CauseOfReadError(asio::error::timed_out, true) ==
             CloseCause::kReadError);
}

BOOST_AUTO_TEST_CASE(cause_of_a_write_error) {
  const auto timeout = make_error_code(beast::error::timeout);
  BOOST_TEST(CauseOfWriteError(timeout) == CloseCause::kWriteTimeout);
  BOOST_TEST(CauseOfWriteError(asio::error::broken_pipe) ==
             CloseCause::kCallerReset);
  BOOST_TEST(CauseOfWriteError(asio::error::timed_out) ==
             CloseCause::kWriteError);
}

BOOST_AUTO_TEST_CASE(each_cause_has_a_row) {
  for (std::size_t it = 0; it < kCloseCauseCount; ++it) {
    const CloseCauseSpec& spec = CloseCauseTable().at(it);
    BOOST_TEST((spec.cause == static_cast<CloseCause>(it)));
    BOOST_TEST(!spec.name.empty());
    BOOST_TEST(!spec.text.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::http
