#ifndef DOGWOODRAIL_STANDINS_FAULTPROXY_DATAGRAM_RELAY_H_
#define DOGWOODRAIL_STANDINS_FAULTPROXY_DATAGRAM_RELAY_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "standins/faultproxy/fault_type.h"

namespace dogwoodrail::standin {

using Udp = boost::asio::ip::udp;

constexpr std::size_t kMaxDatagram = std::size_t{64} * 1024;

// Relays datagrams between senders and one target. Each sender has a separate
// socket to the target, so that replies can be relayed to the right sender.
class DatagramRelay {
 public:
  DatagramRelay(boost::asio::io_context& io, std::uint16_t listen,
                Udp::endpoint target, FaultState* faults, FaultCounts* counts);

  // Starts relaying.
  void Start();

 private:
  // Datagrams of one sender.
  struct Flow {
    explicit Flow(boost::asio::io_context& io)
        : socket(io, Udp::endpoint(Udp::v4(), 0)) {}

    Udp::socket socket;
    Udp::endpoint sender;
    std::array<char, kMaxDatagram> buf{};
  };

  void ReceiveFromSenders();
  void ReceiveFromTarget(const std::shared_ptr<Flow>& flow);
  Flow& FindOrCreateFlow(const Udp::endpoint& sender);
  void Forward(Udp::socket& socket, const Udp::endpoint& to, std::string data,
               Direction direction);

  boost::asio::io_context& io_;
  Udp::socket socket_;
  Udp::endpoint target_;
  FaultState* faults_;
  FaultCounts* counts_;
  Udp::endpoint sender_;
  std::array<char, kMaxDatagram> buf_{};
  std::map<Udp::endpoint, std::shared_ptr<Flow>> flows_;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_FAULTPROXY_DATAGRAM_RELAY_H_
