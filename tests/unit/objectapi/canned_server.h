#ifndef TESTS_UNIT_PLATFORM_CANNED_SERVER_H_
#define TESTS_UNIT_PLATFORM_CANNED_SERVER_H_

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

// What a canned server does with each connection.
struct CannedBehaviour {
  std::string answer;                 // sent after the request was read
  std::chrono::milliseconds hold{0};  // before the connection is closed
  std::chrono::milliseconds drip{0};  // pause after each byte of the answer
};

// Server on loopback that reads one request per connection and sends fixed
// bytes, whole HTTP or not.
class CannedServer {
 public:
  explicit CannedServer(CannedBehaviour behaviour)
      : behaviour_(std::move(behaviour)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* plain = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE(::bind(listener_, plain, size) == 0);
    BOOST_REQUIRE(::getsockname(listener_, plain, &size) == 0);
    BOOST_REQUIRE(::listen(listener_, 16) == 0);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Run(); });
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

  void Run() {
    while (!stop_) {
      pollfd waiting{listener_, POLLIN, 0};
      if (::poll(&waiting, 1, kPollInterval.count()) <= 0) continue;
      const int fd = ::accept(listener_, nullptr, nullptr);
      Serve(fd);
      ::close(fd);
    }
  }

  void Serve(int fd) {
    char buf[64 * 1024];
    if (::recv(fd, buf, sizeof(buf), 0) > 0) ++requests_;
    if (behaviour_.drip.count() == 0) {
      ::send(fd, behaviour_.answer.data(), behaviour_.answer.size(),
             MSG_NOSIGNAL);
    } else {
      for (const char c : behaviour_.answer) {
        if (stop_ || ::send(fd, &c, 1, MSG_NOSIGNAL) != 1) break;
        std::this_thread::sleep_for(behaviour_.drip);
      }
    }
    const auto end = std::chrono::steady_clock::now() + behaviour_.hold;
    while (!stop_ && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  const CannedBehaviour behaviour_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<int> requests_{0};
  std::atomic<bool> stop_{false};
  std::thread thread_;
};

}  // namespace dogwoodrail::objectapi

#endif  // TESTS_UNIT_PLATFORM_CANNED_SERVER_H_
