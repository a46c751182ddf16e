#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <thread>

namespace dogwoodrail::review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point start_time = Clock::now();
constexpr std::size_t kReadBytes = 65536;
constexpr int kBacklog = 1024;

sockaddr_in MakeAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Appends what arrives to `rest`.
ReadEnd ReadMore(int fd, std::string* rest, std::int64_t deadline_ms) {
  const std::int64_t left = deadline_ms - NowMs();
  if (left <= 0) return ReadEnd::kTimeout;
  pollfd waiting{fd, POLLIN, 0};
  const int ready = ::poll(&waiting, 1, static_cast<int>(left));
  if (ready == 0) return ReadEnd::kTimeout;
  std::array<char, kReadBytes> buf{};
  const ssize_t n = ::recv(fd, buf.data(), buf.size(), 0);
  if (n <= 0) return ReadEnd::kClosed;
  rest->append(buf.data(), static_cast<std::size_t>(n));
  return ReadEnd::kWhole;
}

bool ParseHead(const std::string& head, Message* out) {
  const std::size_t first_end = head.find("\r\n");
  const std::string first = head.substr(0, first_end);
  const std::size_t a = first.find(' ');
  if (a == std::string::npos) return false;
  if (first.rfind("HTTP/", 0) == 0) {
    out->status = std::atoi(first.c_str() + a + 1);
  } else {
    const std::size_t b = first.find(' ', a + 1);
    if (b == std::string::npos) return false;
    out->method = first.substr(0, a);
    out->target = first.substr(a + 1, b - a - 1);
  }
  std::size_t at = first_end;
  while (at != std::string::npos && at + 2 < head.size()) {
    const std::size_t begin = at + 2;
    at = head.find("\r\n", begin);
    const std::string line = head.substr(begin, at - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    out->headers.emplace_back(line.substr(0, colon), value == std::string::npos
                                                         ? ""
                                                         : line.substr(value));
  }
  return true;
}

std::string FormatMessage(
    const std::string& first,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body, bool with_length) {
  std::string text = first + "\r\n";
  for (const auto& [name, value] : headers) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  if (with_length) {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               start_time)
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string Message::Get(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (::strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

bool Message::Has(const std::string& name) const {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& it) {
    return ::strcasecmp(it.first.c_str(), name.c_str()) == 0;
  });
}

ReadEnd ReadMessage(int fd, std::string* rest, Message* out,
                    std::int64_t deadline_ms) {
  std::size_t head_end = rest->find("\r\n\r\n");
  while (head_end == std::string::npos) {
    const ReadEnd end = ReadMore(fd, rest, deadline_ms);
    if (end != ReadEnd::kWhole) return end;
    head_end = rest->find("\r\n\r\n");
  }
  *out = Message();
  if (!ParseHead(rest->substr(0, head_end), out)) return ReadEnd::kInvalid;
  rest->erase(0, head_end + 4);
  const std::size_t length =
      std::strtoull(out->Get("Content-Length").c_str(), nullptr, /*base=*/10);
  while (rest->size() < length) {
    const ReadEnd end = ReadMore(fd, rest, deadline_ms);
    if (end != ReadEnd::kWhole) return end;
  }
  out->body = rest->substr(0, length);
  rest->erase(0, length);
  return ReadEnd::kWhole;
}

bool WriteAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::string FormatResponse(
    int status, const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  return FormatMessage("HTTP/1.1 " + std::to_string(status) + " X", headers,
                       body, true);
}

std::string FormatRequest(
    const std::string& method, const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  return FormatMessage(method + " " + target + " HTTP/1.1", headers, body,
                       method == "POST" || method == "PUT" || !body.empty());
}

int Listen(const std::string& ip, std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = MakeAddress(ip, port);
  const bool ok = ::bind(fd, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0 &&
                  ::listen(fd, kBacklog) == 0;
  if (ok) return fd;
  ::close(fd);
  return -1;
}

int Connect(const std::string& ip, std::uint16_t port,
            std::int64_t timeout_ms) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = MakeAddress(ip, port);
  const int begun = ::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                              sizeof(address));
  int error = begun == 0 ? 0 : errno;
  if (error == EINPROGRESS) {
    pollfd waiting{fd, POLLOUT, 0};
    error = ETIMEDOUT;
    if (::poll(&waiting, 1, static_cast<int>(timeout_ms)) == 1) {
      socklen_t size = sizeof(error);
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  SetNoDelay(fd);
  return fd;
}

bool IsClosedByPeer(int fd) {
  char byte = 0;
  const ssize_t n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void SetNoDelay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace dogwoodrail::review
