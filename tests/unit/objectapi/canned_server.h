#ifndef TESTS_UNIT_OBJECTAPI_CANNED_SERVER_H_
#define TESTS_UNIT_OBJECTAPI_CANNED_SERVER_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace dogwoodrail::objectapi {

// How the server responds on each connection.
struct CannedResponse {
  std::string bytes;  // sent after the request was read
  std::chrono::milliseconds close_delay{0};
  // Pause after each byte; 0 sends all bytes at once.
  std::chrono::milliseconds byte_interval{0};
};

// Loopback server that reads one request per connection and sends fixed bytes,
// which need not be a complete or valid HTTP response.
class CannedServer {
 public:
  explicit CannedServer(CannedResponse canned) : canned_(std::move(canned)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(::bind(listener_, generic, size) == 0);
    BOOST_REQUIRE(::getsockname(listener_, generic, &size) == 0);
    BOOST_REQUIRE(::listen(listener_, 16) == 0);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { AcceptLoop(); });
  }

  ~CannedServer() {
    stop_ = true;
    thread_.join();
    ::close(listener_);
  }

  CannedServer(const CannedServer&) = delete;
  CannedServer& operator=(const CannedServer&) = delete;

  std::uint16_t port() const { return port_; }
  int requests() const { return requests_; }

 private:
  static constexpr std::chrono::milliseconds kPollInterval{10};

  void AcceptLoop() {
    while (!stop_) {
      pollfd poll_entry{listener_, POLLIN, 0};
      if (::poll(&poll_entry, 1, kPollInterval.count()) <= 0) continue;
      const int fd = ::accept(listener_, nullptr, nullptr);
      Serve(fd);
      ::close(fd);
    }
  }

  void Serve(int fd) {
    char buf[64 * 1024];
    if (::recv(fd, buf, sizeof(buf), 0) > 0) ++requests_;
    if (canned_.byte_interval.count() == 0) {
      ::send(fd, canned_.bytes.data(), canned_.bytes.size(), MSG_NOSIGNAL);
    } else {
      for (const char c : canned_.bytes) {
        if (stop_ || ::send(fd, &c, 1, MSG_NOSIGNAL) != 1) break;
        std::this_thread::sleep_for(canned_.byte_interval);
      }
    }
    const auto end = std::chrono::steady_clock::now() + canned_.close_delay;
    while (!stop_ && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  const CannedResponse canned_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<int> requests_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace dogwoodrail::objectapi

#endif  // TESTS_UNIT_OBJECTAPI_CANNED_SERVER_H_
