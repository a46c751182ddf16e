#ifndef DOGWOODRAIL_WIRE_DATAGRAMS_H_
#define DOGWOODRAIL_WIRE_DATAGRAMS_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "core/base/error_type.h"
#include "core/base/id_type.h"
#include "wire/frame_type.h"
#include "wire/traffic.h"

namespace dogwoodrail::wire {

// UDP socket for datagrams between nodes. Not thread-safe: use it only on the
// thread of the event loop.
class DatagramSocket {
 public:
  using Handler =
      std::function<void(const core::base::NodeAddress& from, const Frame&)>;

  explicit DatagramSocket(boost::asio::io_context& loop);

  // Opens the socket and starts receiving.
  core::base::Result<void> Listen(const std::string& ip, std::uint16_t port);
  // Closes the socket.
  void Close();
  // Sets the handler of received datagrams. Malformed datagrams are dropped.
  void SetHandler(Handler handler) { on_frame_ = std::move(handler); }
  // Counts what is sent; the traffic is not owned, may be null.
  void SetTraffic(Traffic* traffic, ScopeLookup scope_of) {
    traffic_ = traffic;
    scope_of_ = std::move(scope_of);
  }
  // Sends a datagram. Delivery is not guaranteed, and errors are ignored.
  void Send(const core::base::NodeAddress& to, const Bytes& datagram);

 private:
  // Exceeds the size of any datagram sent by nodes.
  static constexpr std::size_t kBufferBytes = 65536;

  void Receive();
  void OnReceived(std::size_t size);

  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint from_;
  std::array<std::uint8_t, kBufferBytes> buf_{};
  Handler on_frame_;
  Traffic* traffic_ = nullptr;
  ScopeLookup scope_of_;
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_DATAGRAMS_H_
