#include "http/listen_backlog.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <memory>
#include <string_view>
#include <vector>

namespace dogwoodrail::http {
namespace {

// Returns the open file descriptors of this process.
std::vector<int> OpenDescriptors() {
  std::vector<int> descriptors;
  const std::unique_ptr<DIR, int (*)(DIR*)> dir(::opendir("/proc/self/fd"),
                                                &::closedir);
  if (!dir) return descriptors;
  // readdir is safe here: no other thread uses this directory stream.
  while (const dirent* it = ::readdir(dir.get())) {  // NOLINT(concurrency-*)
    const std::string_view name = it->d_name;
    int fd = -1;
    const auto [end, ec] =
        std::from_chars(name.data(), name.data() + name.size(), fd);
    if (ec == std::errc() && end == name.data() + name.size()) {
      descriptors.push_back(fd);
    }
  }
  return descriptors;
}

bool IsListening(int fd) {
  int listening = 0;
  socklen_t size = sizeof(listening);
  return ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) == 0 &&
         listening != 0;
}

// Returns the local address of a socket as "ip port", or an empty string if it
// cannot be determined.
std::string LocalAddress(int fd) {
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::getsockname(fd, generic, &size) != 0) return "";
  char ip[INET6_ADDRSTRLEN] = "";
  std::uint16_t port = 0;
  if (address.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address);
    ::inet_ntop(AF_INET, &v4->sin_addr, ip, sizeof(ip));
    port = ntohs(v4->sin_port);
  } else if (address.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address);
    ::inet_ntop(AF_INET6, &v6->sin6_addr, ip, sizeof(ip));
    port = ntohs(v6->sin6_port);
  }
  return std::string(ip) + " " + std::to_string(port);
}

}  // namespace

// Calling listen() again on a listening socket only changes its backlog.
core::base::Result<void> RaiseListenBacklog(const std::string& ip,
                                            std::uint16_t port, int backlog) {
  const std::string wanted = ip + " " + std::to_string(port);
  for (const int fd : OpenDescriptors()) {
    if (!IsListening(fd) || LocalAddress(fd) != wanted) continue;
    if (::listen(fd, backlog) == 0) return {};
    return core::base::MakeError(core::base::ErrorCode::kUnavailable,
                                 "listen failed for " + wanted);
  }
  return core::base::MakeError(core::base::ErrorCode::kNotFound,
                               "no listening socket at " + wanted);
}

}  // namespace dogwoodrail::http
