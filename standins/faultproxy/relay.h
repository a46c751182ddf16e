#ifndef DOGWOODRAIL_STANDINS_FAULTPROXY_RELAY_H_
#define DOGWOODRAIL_STANDINS_FAULTPROXY_RELAY_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "standins/faultproxy/fault_type.h"

namespace dogwoodrail::standin {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kRelayChunk = std::size_t{16} * 1024;

// A relayed TCP connection with one socket to the caller and one to the target.
class Relay : public std::enable_shared_from_this<Relay> {
 public:
  Relay(asio::io_context& io, Tcp::socket caller, FaultState* faults,
        FaultCounts* counts);

  // Connects to the target and starts relaying.
  void Start(const Tcp::endpoint& target,
             std::function<void(std::shared_ptr<Relay>)> on_closed);
  // Closes both sockets.
  void Close();
  // Stops relaying in both directions but keeps the connection open.
  void Freeze();

 private:
  struct Chunk {
    std::chrono::steady_clock::time_point due;
    std::string data;
    bool last = false;  // close the connection after this chunk
  };
  // One direction of the connection with the queue of chunks that were read but
  // not yet written, oldest first.
  struct Pipe {
    Pipe(asio::io_context& io, Direction direction, Tcp::socket* source,
         Tcp::socket* sink)
        : direction(direction), source(source), sink(sink), timer(io) {}

    Direction direction;
    Tcp::socket* source;
    Tcp::socket* sink;
    asio::steady_timer timer;
    std::array<char, kRelayChunk> buf{};
    std::deque<Chunk> chunks;
    bool writing = false;
    bool reading = false;
    bool silenced = false;
  };

  void Read(Pipe& pipe);
  void OnRead(Pipe& pipe, const boost::system::error_code& ec, std::size_t n);
  void Enqueue(Pipe& pipe, std::string data, bool last);
  void Write(Pipe& pipe);
  void OnWritten(Pipe& pipe, const boost::system::error_code& ec);
  // Applies faults to data for the caller. Returns true if the connection must
  // be closed after `data`.
  bool InjectFault(std::string* data);
  bool IsSilenced(const Pipe& pipe) const;

  Tcp::socket caller_;
  Tcp::socket target_;
  FaultState* faults_;
  FaultCounts* counts_;
  Pipe to_target_;
  Pipe to_caller_;
  std::function<void(std::shared_ptr<Relay>)> on_closed_;
  bool closed_ = false;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_FAULTPROXY_RELAY_H_
