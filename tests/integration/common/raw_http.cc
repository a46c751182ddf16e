#include "tests/integration/common/raw_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>

#include "standins/common/json_func.h"

namespace dogwoodrail::integration {
namespace {

namespace http = boost::beast::http;
using Parser = http::response_parser<http::string_body>;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kReadSize = 65536;
constexpr std::uint64_t kBodyLimit = 64ULL * 1024 * 1024;

enum class ReadResult { kData, kClosed, kTimeout };

// Waits until `end` for bytes from the socket and appends them to `data`.
ReadResult ReadSome(int fd, Clock::time_point end, std::string* data) {
  const auto remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
  pollfd entry{fd, POLLIN, 0};
  const int wait =
      remaining.count() > 0 ? static_cast<int>(remaining.count()) : 0;
  if (::poll(&entry, 1, wait) <= 0) return ReadResult::kTimeout;
  std::array<char, kReadSize> buf;
  const ssize_t n = ::recv(fd, buf.data(), buf.size(), 0);
  if (n <= 0) return ReadResult::kClosed;
  data->append(buf.data(), static_cast<std::size_t>(n));
  return ReadResult::kData;
}

// Feeds the parser; false if the bytes are not valid HTTP.
bool Feed(Parser& parser, std::string& data) {
  while (!data.empty() && !parser.is_done()) {
    boost::beast::error_code ec;
    const std::size_t n = parser.put(boost::asio::buffer(data), ec);
    data.erase(0, n);
    if (ec == http::error::need_more) return true;
    if (ec) return false;
  }
  return true;
}

RawResponse ToResponse(const Parser& parser, bool closed) {
  RawResponse response;
  response.closed = closed;
  if (!parser.is_header_done()) return response;
  response.complete = parser.is_done();
  response.status = static_cast<int>(parser.get().result_int());
  response.body = parser.get().body();
  for (const auto& it : parser.get()) {
    response.headers.push_back(
        {std::string(it.name_string().data(), it.name_string().size()),
         std::string(it.value().data(), it.value().size())});
  }
  return response;
}

}  // namespace

std::string RawResponse::Header(const std::string& name) const {
  for (const RawHeader& it : headers) {
    if (boost::iequals(it.name, name)) return it.value;
  }
  return "";
}

std::string RawResponse::JsonMember(const std::string& name) const {
  const auto tree = standin::ParseJson(body);
  return tree ? tree->get<std::string>(name, "") : "";
}

RawConnection::RawConnection(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  fd_ = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    Close();
  }
}

RawConnection::~RawConnection() { Close(); }

void RawConnection::Close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

bool RawConnection::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void RawConnection::FinishSending() const { ::shutdown(fd_, SHUT_WR); }

RawResponse RawConnection::ReadResponse(std::chrono::milliseconds timeout) {
  const auto end = Clock::now() + timeout;
  Parser parser;
  parser.eager(true);
  parser.body_limit(kBodyLimit);
  bool closed = !IsOpen();
  while (!closed && Feed(parser, pending_) && !parser.is_done()) {
    const ReadResult result = ReadSome(fd_, end, &pending_);
    if (result == ReadResult::kTimeout) break;
    closed = result == ReadResult::kClosed;
  }
  if (closed && parser.need_eof()) {
    boost::beast::error_code ec;
    parser.put_eof(ec);
  }
  return ToResponse(parser, closed);
}

bool RawConnection::WaitClosed(std::chrono::milliseconds timeout) const {
  const auto end = Clock::now() + timeout;
  std::string dropped;
  while (true) {
    const ReadResult result = ReadSome(fd_, end, &dropped);
    if (result != ReadResult::kData) return result == ReadResult::kClosed;
  }
}

RawRequest& RawRequest::AddHeader(const std::string& name,
                                  const std::string& value) {
  headers.push_back({name, value});
  return *this;
}

std::string RawRequest::Serialize() const {
  std::string bytes =
      method + " " + target + " HTTP/1.1\r\nHost: localhost\r\n";
  for (const RawHeader& it : headers) {
    bytes += it.name + ": " + it.value + "\r\n";
  }
  if (!body.empty()) {
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return bytes + "\r\n" + body;
}

RawResponse SendRequest(std::uint16_t port, const RawRequest& request,
                        std::chrono::milliseconds timeout) {
  RawConnection connection(port);
  if (!connection.IsOpen() || !connection.Send(request.Serialize())) {
    RawResponse response;
    response.closed = true;
    return response;
  }
  return connection.ReadResponse(timeout);
}

}  // namespace dogwoodrail::integration
