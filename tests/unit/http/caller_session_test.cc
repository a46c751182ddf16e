// Connections of callers: what ends them, and what a caller gets before.
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "http/caller_server.h"

namespace dogwoodrail::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using core::base::Reason;
using std::chrono::milliseconds;

constexpr milliseconds kStep{20};

CallerServerSettings MakeSettings() {
  CallerServerSettings settings;
  settings.header_timeout = milliseconds(300);
  settings.body_timeout = milliseconds(300);
  settings.idle_timeout = milliseconds(100);
  return settings;
}

// A server with its event loop and a connected caller. Requests to /later are
// kept; all others are answered immediately.
struct Fixture {
  Fixture() : server(loop, MakeSettings(), MakeHooks()), caller(loop) {
    // Binds to port 0 to find a free port.
    tcp::acceptor probe(loop, {asio::ip::address_v4::loopback(), 0});
    port = probe.local_endpoint().port();
    probe.close();
    BOOST_REQUIRE(server.Listen("127.0.0.1", port).has_value());
    caller.connect({asio::ip::address_v4::loopback(), port});
    caller.non_blocking(true);
    Run(kStep);
  }

  CallerServerHooks MakeHooks() {
    CallerServerHooks hooks;
    hooks.on_request = [this](ExchangeId exchange, const Request& request) {
      if (request.target == "/throw") throw std::runtime_error("broken");
      if (request.target == "/unwritable") {
        Response response = MakeResponse(204);
        response.body = "body";
        server.Answer(exchange, response);
      } else if (request.target == "/later") {
        kept.push_back(exchange);
      } else {
        server.Answer(exchange, MakeResponse(200));
      }
    };
    hooks.on_cancel = [this](ExchangeId exchange) {
      cancelled.push_back(exchange);
    };
    hooks.on_malformed = [this](Reason reason, const std::string&) {
      reasons.push_back(reason);
      return MakeResponse(400);
    };
    hooks.on_failed = [this](ExchangeId, Reason, const std::string& cause) {
      failures.push_back(cause);
      return MakeResponse(502);
    };
    return hooks;
  }

  static Response MakeResponse(int status) {
    Response response;
    response.status = status;
    return response;
  }

  // Runs the event loop for some time.
  void Run(milliseconds time) {
    loop.restart();
    loop.run_for(time);
  }

  // Sends bytes; returns false if the connection is broken.
  bool Send(const std::string& bytes) {
    error_code ec;
    caller.non_blocking(false);
    asio::write(caller, asio::buffer(bytes), ec);
    caller.non_blocking(true);
    return !ec;
  }

  // Returns what has been received; sets `end` if the connection has ended.
  std::string Receive() {
    std::string result;
    std::string buf(4096, '\0');
    while (true) {
      error_code ec;
      const std::size_t n = caller.read_some(asio::buffer(buf), ec);
      result.append(buf, 0, n);
      if (ec && ec != asio::error::would_block) end = ec;
      if (ec) return result;
    }
  }

  // Sends a request and returns true if it is answered with 200.
  bool Exchange() {
    if (!Send(kRequest)) return false;
    Run(kStep);
    return Receive().rfind("HTTP/1.1 200", 0) == 0;
  }

  const std::string kRequest = "GET / HTTP/1.1\r\nHost: test\r\n\r\n";
  asio::io_context loop;
  CallerServer server;
  tcp::socket caller;
  std::uint16_t port = 0;
  std::vector<ExchangeId> kept;
  std::vector<ExchangeId> cancelled;
  std::vector<Reason> reasons;
  std::vector<std::string> failures;
  error_code end;
};

BOOST_FIXTURE_TEST_SUITE(caller_session, Fixture)

// A reset by the kernel would break the caller's write, and with it the
// response that it has not read yet.
BOOST_AUTO_TEST_CASE(
    body_sent_after_the_refusal_does_not_reset_the_connection) {
  constexpr int kParts = 10;
  const std::string part(std::size_t{64} * 1024, 'x');
  BOOST_TEST(
      Send("POST / HTTP/1.1\r\nHost: test\r\n"
           "Content-Length: 2000000\r\n\r\n" +
           part));
  for (int it = 0; it < kParts; ++it) {
    Run(milliseconds(5));
    BOOST_TEST(Send(part));
  }
  Run(kStep);
  const std::string answer = Receive();
  BOOST_TEST(answer.rfind("HTTP/1.1 400", 0) == 0U);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(end == asio::error::eof);
  BOOST_TEST((reasons == std::vector{Reason::kBodyTooLarge}));
}

BOOST_AUTO_TEST_CASE(
    refused_connection_is_closed_although_the_caller_sends_on) {
  BOOST_TEST(Send("BAD\r\n\r\n"));
  constexpr int kParts = 200;
  int sent = 0;
  while (sent < kParts && Send("x")) {
    ++sent;
    Run(kStep);
  }
  BOOST_TEST(sent < kParts);
  BOOST_TEST(server.size() == 0U);
}

BOOST_AUTO_TEST_CASE(next_request_does_not_reset_the_last_response) {
  server.BeginStop();
  BOOST_TEST(Send("GET /later HTTP/1.1\r\nHost: test\r\n\r\n"));
  Run(kStep);
  BOOST_REQUIRE(kept.size() == 1U);
  BOOST_TEST(Send(kRequest));
  server.Answer(kept.front(), MakeResponse(200));
  Run(kStep);
  BOOST_TEST(Send(kRequest));
  Run(kStep);
  const std::string answer = Receive();
  BOOST_TEST(answer.rfind("HTTP/1.1 200", 0) == 0U);
  BOOST_TEST(end == asio::error::eof);
}

BOOST_AUTO_TEST_CASE(idle_connection_is_closed) {
  BOOST_TEST(Exchange());
  Run(milliseconds(200));
  Receive();
  BOOST_TEST(end == asio::error::eof);
  BOOST_TEST(server.size() == 0U);
}

// While the process is busy or paused, the timer and the request become due
// together.
BOOST_AUTO_TEST_CASE(request_that_arrived_before_the_idle_timer_ran_is_served) {
  BOOST_TEST(Exchange());
  BOOST_TEST(Send(kRequest));
  std::this_thread::sleep_for(milliseconds(150));
  Run(kStep);
  BOOST_TEST(Receive().rfind("HTTP/1.1 200", 0) == 0U);
}

// The request is read as the connection is accepted, before its handler runs.
BOOST_AUTO_TEST_CASE(request_read_as_idle_connections_are_closed_is_served) {
  tcp::socket late(loop);
  late.connect({asio::ip::address_v4::loopback(), port});
  asio::write(late, asio::buffer(kRequest));
  server.BeginStop();
  server.StopAccepting();
  server.CloseIdle();
  Run(kStep);
  late.non_blocking(true);
  std::string answer(4096, '\0');
  error_code ec;
  answer.resize(late.read_some(asio::buffer(answer), ec));
  BOOST_TEST(answer.rfind("HTTP/1.1 200", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(started_header_has_the_header_timeout) {
  BOOST_TEST(Exchange());
  Run(milliseconds(50));
  BOOST_TEST(Send("GET / HTTP/1.1\r\n"));
  Run(milliseconds(150));  // beyond the idle timeout
  BOOST_TEST(Send("Host: test\r\n\r\n"));
  Run(kStep);
  BOOST_TEST(Receive().rfind("HTTP/1.1 200", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(late_header_is_refused_with_a_response) {
  BOOST_TEST(Send("GET / HTTP/1.1\r\n"));
  Run(milliseconds(400));
  const std::string answer = Receive();
  BOOST_TEST(answer.rfind("HTTP/1.1 400", 0) == 0U);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(end == asio::error::eof);
  BOOST_TEST((reasons == std::vector{Reason::kRequestTimeout}));
}

BOOST_AUTO_TEST_CASE(late_body_is_refused_with_a_response) {
  BOOST_TEST(
      Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nabc"));
  Run(milliseconds(400));
  const std::string answer = Receive();
  BOOST_TEST(answer.rfind("HTTP/1.1 400", 0) == 0U);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(end == asio::error::eof);
  BOOST_TEST((reasons == std::vector{Reason::kRequestTimeout}));
}

// The process was paused: the timer runs between the reads of two pieces, when
// no byte is left to be seen and no read can be cancelled.
BOOST_AUTO_TEST_CASE(timer_between_two_reads_of_a_header_ends_the_wait) {
  BOOST_TEST(Send("GET / HTTP/1.1\r\n"));
  Run(kStep);
  BOOST_TEST(Send("X-Long: " + std::string(700, 'x')));
  std::this_thread::sleep_for(milliseconds(350));
  Run(milliseconds(200));
  BOOST_TEST(Receive().rfind("HTTP/1.1 400", 0) == 0U);
  BOOST_TEST((reasons == std::vector{Reason::kRequestTimeout}));
}

BOOST_AUTO_TEST_CASE(timer_between_two_reads_of_a_body_ends_the_wait) {
  for (const std::size_t length : {700U, 4'500U, 20'000U, 70'000U}) {
    Fixture fixture;
    BOOST_TEST(
        fixture.Send("POST / HTTP/1.1\r\nHost: test\r\n"
                     "Content-Length: 90000\r\n\r\nabc"));
    fixture.Run(kStep);
    BOOST_TEST(fixture.Send(std::string(length, 'x')));
    std::this_thread::sleep_for(milliseconds(350));
    fixture.Run(milliseconds(200));
    BOOST_TEST(fixture.Receive().rfind("HTTP/1.1 400", 0) == 0U);
    BOOST_TEST((fixture.reasons == std::vector{Reason::kRequestTimeout}));
  }
}

// Below the raised limit, above the old one with all that a buffer held for it.
BOOST_AUTO_TEST_CASE(raised_header_limit_applies_to_open_connections) {
  BOOST_TEST(Exchange());
  CallerServerSettings settings = MakeSettings();
  settings.max_header_bytes = std::size_t{64} * 1024;
  server.SetLimits(settings);
  for (int it = 0; it < 2; ++it) {
    BOOST_TEST(
        Send("GET / HTTP/1.1\r\nHost: test\r\n"
             "X-Long: " +
             std::string(40'000, 'x') + "\r\n\r\n"));
    Run(kStep);
    BOOST_TEST(Receive().rfind("HTTP/1.1 200", 0) == 0U);
  }
  BOOST_TEST(reasons.empty());
}

BOOST_AUTO_TEST_CASE(lowered_header_limit_applies_to_open_connections) {
  BOOST_TEST(Exchange());
  CallerServerSettings settings = MakeSettings();
  settings.max_header_bytes = std::size_t{1} * 1024;
  server.SetLimits(settings);
  BOOST_TEST(Exchange());
  BOOST_TEST(
      Send("GET / HTTP/1.1\r\nHost: test\r\n"
           "X-Long: " +
           std::string(2000, 'x') + "\r\n\r\n"));
  Run(kStep);
  BOOST_TEST(Receive().rfind("HTTP/1.1 400", 0) == 0U);
  BOOST_TEST((reasons == std::vector{Reason::kHeaderTooLarge}));
}

BOOST_AUTO_TEST_CASE(body_that_arrived_before_the_timer_ran_is_read) {
  BOOST_TEST(
      Send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\nabc"));
  Run(kStep);
  BOOST_TEST(Send("de"));
  std::this_thread::sleep_for(milliseconds(350));
  Run(kStep);
  BOOST_TEST(Receive().rfind("HTTP/1.1 200", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(longer_idle_timeout_applies_to_waiting_connections) {
  BOOST_TEST(Exchange());
  CallerServerSettings settings = MakeSettings();
  settings.idle_timeout = milliseconds(600);
  server.SetLimits(settings);
  Run(milliseconds(300));
  BOOST_TEST(Exchange());
}

// Callers count on the old idle timeout until they know the new one.
BOOST_AUTO_TEST_CASE(
    shorter_idle_timeout_does_not_close_what_callers_still_use) {
  CallerServerSettings settings = MakeSettings();
  settings.idle_timeout = milliseconds(600);
  server.SetLimits(settings);
  BOOST_TEST(Exchange());
  server.SetLimits(MakeSettings());
  BOOST_TEST(Exchange());
  Run(milliseconds(300));
  BOOST_TEST(Exchange());
}

BOOST_AUTO_TEST_CASE(shorter_idle_timeout_applies_after_the_old_one) {
  CallerServerSettings settings = MakeSettings();
  settings.idle_timeout = milliseconds(200);
  server.SetLimits(settings);
  server.SetLimits(MakeSettings());
  Run(milliseconds(100));
  BOOST_TEST(Exchange());
  Run(milliseconds(150));
  BOOST_TEST(Exchange());
  Run(milliseconds(150));
  Receive();
  BOOST_TEST(end == asio::error::eof);
}

// Both wait in the socket until the event loop runs.
BOOST_AUTO_TEST_CASE(request_whose_caller_has_left_is_not_begun) {
  BOOST_TEST(Send("GET /later HTTP/1.1\r\nHost: test\r\n\r\n"));
  caller.close();
  Run(3 * kStep);
  BOOST_TEST(kept.empty());
  BOOST_TEST(cancelled.empty());
}

// The exception ended the event loop and with it all connections.
BOOST_AUTO_TEST_CASE(exception_of_a_request_ends_its_exchange_only) {
  tcp::socket other(loop);
  other.connect({asio::ip::address_v4::loopback(), port});
  asio::write(other, asio::buffer("GET /later HTTP/1.1\r\nHost: t\r\n\r\n"));
  Run(kStep);
  BOOST_TEST(Send("GET /throw HTTP/1.1\r\nHost: test\r\n\r\n"));
  Run(kStep);
  BOOST_TEST(Receive().rfind("HTTP/1.1 502", 0) == 0U);
  BOOST_TEST(end == asio::error::eof);
  BOOST_TEST((failures == std::vector<std::string>{"broken"}));
  BOOST_REQUIRE(kept.size() == 1U);
  BOOST_TEST(server.Answer(kept.front(), MakeResponse(200)));
  Run(kStep);
  std::string answer(4096, '\0');
  answer.resize(other.read_some(asio::buffer(answer)));
  BOOST_TEST(answer.rfind("HTTP/1.1 200", 0) == 0U);
}

// The library throws for a 204 with a body.
BOOST_AUTO_TEST_CASE(response_that_cannot_be_written_is_replaced) {
  BOOST_TEST(Send("GET /unwritable HTTP/1.1\r\nHost: test\r\n\r\n"));
  Run(kStep);
  BOOST_TEST(Receive().rfind("HTTP/1.1 502", 0) == 0U);
  BOOST_TEST(end == asio::error::eof);
  BOOST_TEST(failures.size() == 1U);
}

// What finds no memory is refused before it is read, and the rest of the bodies
// is served.
BOOST_AUTO_TEST_CASE(body_without_memory_is_refused_unrun) {
  constexpr std::size_t kLimit = 200'000;
  core::base::MemoryBudget memory(kLimit);
  server.SetMemoryBudget(&memory);
  for (const std::string length : {"Content-Length: 150000\r\n\r\n",
                                   "Transfer-Encoding: chunked\r\n\r\n"}) {
    caller = tcp::socket(loop);
    caller.connect({asio::ip::address_v4::loopback(), port});
    caller.non_blocking(true);
    Run(kStep);
    BOOST_TEST(Send("POST /later HTTP/1.1\r\nHost: test\r\n" + length));
    if (length.rfind("Transfer", 0) == 0) {
      BOOST_TEST(Send("249f0\r\n" + std::string(150'000, 'x')));
    }
    Run(kStep);
    BOOST_TEST(Receive().rfind("HTTP/1.1 400", 0) == 0U);
    BOOST_TEST((reasons.back() == Reason::kMemoryExhausted));
    BOOST_TEST(memory.used() == 0U);
  }
  BOOST_TEST(kept.empty());
  caller = tcp::socket(loop);
  caller.connect({asio::ip::address_v4::loopback(), port});
  caller.non_blocking(true);
  BOOST_TEST(
      Send("POST /later HTTP/1.1\r\nHost: test\r\n"
           "Content-Length: 50000\r\n\r\n" +
           std::string(50'000, 'x')));
  Run(kStep);
  BOOST_REQUIRE(kept.size() == 1U);
  BOOST_TEST(memory.used() == 100'000U);
  BOOST_TEST(server.Answer(kept.front(), MakeResponse(200)));
  Run(kStep);
  BOOST_TEST(Receive().rfind("HTTP/1.1 200", 0) == 0U);
  BOOST_TEST(memory.used() == 0U);
  server.Close();
}

// HTTP forbids it, and the library throws when it is passed on.
BOOST_AUTO_TEST_CASE(trace_with_a_body_is_refused) {
  BOOST_TEST(
      Send("TRACE /later HTTP/1.1\r\nHost: test\r\n"
           "Content-Length: 1\r\n\r\nx"));
  Run(kStep);
  BOOST_TEST(Receive().rfind("HTTP/1.1 400", 0) == 0U);
  BOOST_TEST((reasons == std::vector{Reason::kBadRequest}));
  BOOST_TEST(kept.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace dogwoodrail::http
