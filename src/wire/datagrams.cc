#include "wire/datagrams.h"

#include <boost/asio/buffer.hpp>

#include "wire/address_func.h"
#include "wire/frame_func.h"

namespace dogwoodrail::wire {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Maximum datagrams read before the event loop runs other handlers.
constexpr int kMaxReadsPerWakeup = 64;

std::string FormatEndpoint(const udp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  const std::string port = std::to_string(endpoint.port());
  return endpoint.address().is_v6() ? "[" + ip + "]:" + port : ip + ":" + port;
}

}  // namespace

DatagramSocket::DatagramSocket(asio::io_context& loop) : socket_(loop) {}

core::base::Result<void> DatagramSocket::Listen(const std::string& ip,
                                                std::uint16_t port) {
  error_code ec;
  const udp::endpoint endpoint(asio::ip::make_address(ip, ec), port);
  if (!ec) socket_.open(endpoint.protocol(), ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (!ec) socket_.bind(endpoint, ec);
  if (ec) {
    return core::base::MakeError(core::base::ErrorCode::kUnavailable,
                                 ec.message());
  }
  Receive();
  return {};
}

void DatagramSocket::Close() {
  error_code ec;
  socket_.close(ec);
}

// Datagrams are dropped if the send buffer is full or the peer is unreachable,
// which callers have to handle like packet loss.
void DatagramSocket::Send(const core::base::NodeAddress& to,
                          const Bytes& datagram) {
  const auto parsed = ParseIpPort(to.value());
  if (!parsed) return;
  error_code ec;
  const udp::endpoint endpoint(asio::ip::make_address(parsed->ip, ec),
                               parsed->port);
  if (ec) return;
  socket_.send_to(asio::buffer(datagram), endpoint, 0, ec);
  if (!ec && traffic_ != nullptr && datagram.size() > 1) {
    const auto kind = static_cast<FrameKind>(datagram.at(1));
    traffic_->Count(kind, scope_of_(to), datagram.size());
  }
}

void DatagramSocket::Receive() {
  socket_.async_wait(udp::socket::wait_read, [this](const error_code& ec) {
    if (ec || !socket_.is_open()) return;
    for (int it = 0; it < kMaxReadsPerWakeup; ++it) {
      error_code read_error;
      const std::size_t n =
          socket_.receive_from(asio::buffer(buf_), from_, 0, read_error);
      if (read_error == asio::error::would_block) break;
      // The error may be an ICMP message caused by an earlier send. It doesn't
      // affect further reads.
      if (!read_error) OnReceived(n);
      if (!socket_.is_open()) return;
    }
    Receive();
  });
}

void DatagramSocket::OnReceived(std::size_t size) {
  const auto frame = DecodeDatagram(buf_.data(), size);
  if (!frame || !on_frame_) return;
  on_frame_(core::base::NodeAddress(FormatEndpoint(from_)), *frame);
}

}  // namespace dogwoodrail::wire
