#include "partition.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <thread>
#include <utility>

#include "http.h"

namespace dogwoodrail::review {
namespace {

namespace zlib = boost::beast::zlib;

constexpr std::size_t kBufferBytes = 65536;
constexpr int kWindowBits = 13;
constexpr std::int64_t kPollMs = 5;
constexpr std::int64_t kHelloTimeoutMs = 5000;

sockaddr_in MakeAddress(const std::string& ip) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(kPeerPort);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Returns what the beginning of a compressed stream holds.
std::string Inflate(const std::string& bytes) {
  zlib::inflate_stream stream;
  stream.reset(kWindowBits);
  std::array<char, kBufferBytes> out{};
  zlib::z_params params;
  params.next_in = bytes.data();
  params.avail_in = bytes.size();
  params.next_out = out.data();
  params.avail_out = out.size();
  boost::system::error_code ec;
  stream.write(params, zlib::Flush::sync, ec);
  return std::string(out.data(), out.size() - params.avail_out);
}

}  // namespace

bool Partition::Start(std::vector<std::string> nodes,
                      std::vector<std::string> relays) {
  nodes_ = std::move(nodes);
  relays_ = std::move(relays);
  std::vector<int> listeners;
  for (const std::string& it : relays_) {
    const sockaddr_in address = MakeAddress(it);
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address)) != 0) {
      return false;
    }
    sockets_.push_back(fd);
    listeners.push_back(Listen(it, kPeerPort));
    if (listeners.back() < 0) return false;
  }
  for (std::size_t it = 0; it < relays_.size(); ++it) {
    const int to = static_cast<int>(it);
    std::thread([this, to] { RelayDatagrams(to); }).detach();
    std::thread([this, to, listener = listeners[it]] {
      while (true) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        SetNoDelay(fd);
        std::thread([this, to, fd] { ServeConnection(to, fd); }).detach();
      }
    }).detach();
  }
  return true;
}

bool Partition::IsCut(int a, int b) const {
  const int cut = cut_;
  return a != b && (a == cut || b == cut);
}

// A datagram goes on from the relay of its sender, so that the receiver sees
// the address at which the sender is reached.
void Partition::RelayDatagrams(int to) {
  std::array<char, kBufferBytes> buf{};
  while (true) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const ssize_t n = ::recvfrom(sockets_.at(to), buf.data(), buf.size(), 0,
                                 reinterpret_cast<sockaddr*>(&from), &size);
    if (n <= 0) continue;
    std::array<char, INET_ADDRSTRLEN> ip{};
    ::inet_ntop(AF_INET, &from.sin_addr, ip.data(), ip.size());
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      const int sender = static_cast<int>(it);
      if (nodes_[it] != ip.data() || IsCut(sender, to)) continue;
      const sockaddr_in target = MakeAddress(nodes_.at(to));
      ::sendto(sockets_[it], buf.data(), static_cast<std::size_t>(n), 0,
               reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    }
  }
}

int Partition::ReadSender(int fd, std::string* bytes) const {
  const std::int64_t end = NowMs() + kHelloTimeoutMs;
  while (NowMs() < end) {
    pollfd waiting{fd, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(kHelloTimeoutMs)) != 1) return -1;
    std::array<char, kBufferBytes> buf{};
    const ssize_t n = ::recv(fd, buf.data(), buf.size(), 0);
    if (n <= 0) return -1;
    bytes->append(buf.data(), static_cast<std::size_t>(n));
    const std::string hello = Inflate(*bytes);
    for (std::size_t it = 0; it < relays_.size(); ++it) {
      const std::string name = relays_[it] + ":" + std::to_string(kPeerPort);
      if (hello.find(name) != std::string::npos) return static_cast<int>(it);
    }
  }
  return -1;
}

void Partition::ServeConnection(int to, int fd) {
  std::string first;
  const int sender = ReadSender(fd, &first);
  const int target =
      sender < 0 ? -1 : Connect(nodes_.at(to), kPeerPort, kHelloTimeoutMs);
  if (target < 0) {
    ::close(fd);
    return;
  }
  while (IsCut(sender, to)) SleepMs(kPollMs);
  bool open = WriteAll(target, first);
  std::array<char, kBufferBytes> buf{};
  while (open) {
    if (IsCut(sender, to)) {
      SleepMs(kPollMs);
      continue;
    }
    std::array<pollfd, 2> waiting = {pollfd{fd, POLLIN, 0},
                                     pollfd{target, POLLIN, 0}};
    ::poll(waiting.data(), waiting.size(), static_cast<int>(kPollMs));
    for (std::size_t it = 0; open && it < waiting.size(); ++it) {
      if ((waiting[it].revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
      if (IsCut(sender, to)) break;
      const ssize_t n = ::recv(waiting[it].fd, buf.data(), buf.size(), 0);
      open = n > 0 &&
             WriteAll(waiting[1 - it].fd,
                      std::string(buf.data(), static_cast<std::size_t>(n)));
    }
  }
  ::close(fd);
  ::close(target);
}

}  // namespace dogwoodrail::review
