#include "http/operator_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "http/listen_backlog.h"

namespace dogwoodrail::http {
namespace {

constexpr int kResponseTimeoutMs = 500;

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

// Returns a port that was free when it was checked.
std::uint16_t FreePort() {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  BOOST_REQUIRE(::bind(fd, generic, size) == 0);
  BOOST_REQUIRE(::getsockname(fd, generic, &size) == 0);
  ::close(fd);
  return ntohs(address.sin_port);
}

int Connect(std::uint16_t port, int type = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | type, 0);
  const sockaddr_in address = Loopback(port);
  const int rc = ::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address));
  BOOST_REQUIRE((rc == 0 || type != 0));
  return fd;
}

// Sends bytes and returns what is received until the response is complete, the
// connection closes or nothing arrives for kResponseTimeoutMs.
std::string Exchange(std::uint16_t port, const std::string& bytes) {
  const int fd = Connect(port);
  ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string answer;
  pollfd waiting{fd, POLLIN, 0};
  while (::poll(&waiting, 1, kResponseTimeoutMs) > 0) {
    char buf[4096];
    const auto n = ::recv(fd, buf, sizeof(buf), 0);
    if (n <= 0) break;
    answer.append(buf, static_cast<std::size_t>(n));
    if (answer.find("whole") != std::string::npos) break;
  }
  ::close(fd);
  return answer;
}

Response Answer(const Request& request) {
  if (request.target == "/throw") throw std::runtime_error("handler failed");
  Response response;
  response.status = 200;
  response.body =
      "whole " + request.method + " " + request.target + " " + request.body;
  return response;
}

BOOST_AUTO_TEST_CASE(requests_reach_the_handler) {
  const std::uint16_t port = FreePort();
  OperatorServer server(&Answer);
  BOOST_REQUIRE(server.Listen("127.0.0.1", port).has_value());
  const std::string get =
      Exchange(port, "GET /v1/timeline?after=3 HTTP/1.1\r\nHost: x\r\n\r\n");
  BOOST_TEST(get.find("whole GET /v1/timeline?after=3") != std::string::npos,
             get);
  const std::string post = Exchange(port,
                                    "POST /v1/announce HTTP/1.1\r\nHost: x\r\n"
                                    "Content-Length: 3\r\n\r\nabc");
  BOOST_TEST(post.find("whole POST /v1/announce abc") != std::string::npos,
             post);
}

BOOST_AUTO_TEST_CASE(
    malformed_input_and_handler_exceptions_do_not_stop_the_server) {
  const std::uint16_t port = FreePort();
  OperatorServer server(&Answer);
  BOOST_REQUIRE(server.Listen("127.0.0.1", port).has_value());
  const std::vector<std::string> inputs = {
      "",
      "\r\n\r\n",
      std::string(5000, '\0'),
      "GET / HTTP/9.9\r\n\r\n",
      "GET " + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n",
      "GET / HTTP/1.1\r\nX: " + std::string(100'000, 'a') + "\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nshort",
      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\nabc",
      "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\nabc",
      "GET /throw HTTP/1.1\r\nHost: x\r\n\r\n",
  };
  for (const std::string& it : inputs) {
    Exchange(port, it);
    const std::string answer =
        Exchange(port, "GET /ok HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST_CONTEXT(it.substr(0, 40)) {
      BOOST_TEST(answer.find("whole GET /ok") != std::string::npos);
    }
  }
}

BOOST_AUTO_TEST_CASE(address_in_use_is_reported) {
  const std::uint16_t port = FreePort();
  OperatorServer first(&Answer);
  BOOST_REQUIRE(first.Listen("127.0.0.1", port).has_value());
  OperatorServer second(&Answer);
  BOOST_TEST(!second.Listen("127.0.0.1", port).has_value());
}

// Opens connections that are never accepted and returns how many are
// established; the kernel establishes as many as the backlog allows.
int CompletedConnections(std::uint16_t port, int count) {
  std::vector<int> descriptors;
  descriptors.reserve(static_cast<std::size_t>(count));
  for (int it = 0; it < count; ++it) {
    descriptors.push_back(Connect(port, SOCK_NONBLOCK));
  }
  int completed = 0;
  for (const int fd : descriptors) {
    pollfd waiting{fd, POLLOUT, 0};
    if (::poll(&waiting, 1, 10) == 1 && (waiting.revents & POLLERR) == 0) {
      ++completed;
    }
    ::close(fd);
  }
  return completed;
}

BOOST_AUTO_TEST_CASE(backlog_can_be_raised) {
  constexpr int kSmall = 4;
  constexpr int kLarge = 64;
  constexpr int kConnections = 40;
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  const std::uint16_t port = FreePort();
  const sockaddr_in address = Loopback(port);
  BOOST_REQUIRE(::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                       sizeof(address)) == 0);
  BOOST_TEST(!RaiseListenBacklog("127.0.0.1", port, kLarge).has_value());
  BOOST_REQUIRE(::listen(fd, kSmall) == 0);
  BOOST_TEST(CompletedConnections(port, kConnections) < kConnections);
  BOOST_TEST(RaiseListenBacklog("127.0.0.1", port, kLarge).has_value());
  for (int it = 0; it < kConnections; ++it) {
    pollfd waiting{fd, POLLIN, 0};
    if (::poll(&waiting, 1, 0) != 1) break;
    ::close(::accept(fd, nullptr, nullptr));
  }
  BOOST_TEST(CompletedConnections(port, kConnections) == kConnections);
  ::close(fd);
}

}  // namespace
}  // namespace dogwoodrail::http
