#include "standins/faultproxy/datagram_relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace dogwoodrail::standin {

namespace asio = boost::asio;

DatagramRelay::DatagramRelay(asio::io_context& io, std::uint16_t listen,
                             Udp::endpoint target, FaultState* faults,
                             FaultCounts* counts)
    : io_(io),
      socket_(io, Udp::endpoint(asio::ip::address_v4::loopback(), listen)),
      target_(std::move(target)),
      faults_(faults),
      counts_(counts) {}

void DatagramRelay::Start() { ReceiveFromSenders(); }

void DatagramRelay::ReceiveFromSenders() {
  socket_.async_receive_from(
      asio::buffer(buf_), sender_,
      [this](const boost::system::error_code& ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) return;
        if (!ec) {
          Flow& flow = FindOrCreateFlow(sender_);
          Forward(flow.socket, target_, std::string(buf_.data(), n),
                  Direction::kToTarget);
        }
        ReceiveFromSenders();
      });
}

DatagramRelay::Flow& DatagramRelay::FindOrCreateFlow(
    const Udp::endpoint& sender) {
  std::shared_ptr<Flow>& flow = flows_[sender];
  if (!flow) {
    flow = std::make_shared<Flow>(io_);
    flow->sender = sender;
    ++counts_->accepted;
    ReceiveFromTarget(flow);
  }
  return *flow;
}

// A receive may fail with the error of an earlier send (port unreachable), so
// receiving continues after an error.
void DatagramRelay::ReceiveFromTarget(const std::shared_ptr<Flow>& flow) {
  flow->socket.async_receive(
      asio::buffer(flow->buf),
      [this, flow](const boost::system::error_code& ec, std::size_t n) {
        if (ec == asio::error::operation_aborted) return;
        if (!ec) {
          Forward(socket_, flow->sender, std::string(flow->buf.data(), n),
                  Direction::kToCaller);
        }
        ReceiveFromTarget(flow);
      });
}

void DatagramRelay::Forward(Udp::socket& socket, const Udp::endpoint& to,
                            std::string data, Direction direction) {
  const bool silent = direction == Direction::kToTarget
                          ? faults_->silence_to_target
                          : faults_->silence_to_caller;
  if (silent || core::base::RandomUnit(faults_->random) < faults_->loss) {
    ++counts_->faults;
    return;
  }
  if (faults_->corrupt > 0 && !data.empty()) {
    --faults_->corrupt;
    ++counts_->faults;
    data[core::base::RandomBelow(faults_->random, data.size())] ^= 1;
  }
  (direction == Direction::kToTarget ? counts_->bytes_to_target
                                     : counts_->bytes_to_caller) +=
      static_cast<std::int64_t>(data.size());
  auto timer = std::make_shared<asio::steady_timer>(io_, faults_->delay);
  timer->async_wait([timer, &socket, to,
                     data = std::move(data)](const boost::system::error_code&) {
    boost::system::error_code ec;
    socket.send_to(asio::buffer(data), to, 0, ec);
  });
}

}  // namespace dogwoodrail::standin
