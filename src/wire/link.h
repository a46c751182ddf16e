#ifndef DOGWOODRAIL_WIRE_LINK_H_
#define DOGWOODRAIL_WIRE_LINK_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "wire/frame_func.h"
#include "wire/links.h"
#include "wire/stream_codec.h"

namespace dogwoodrail::wire {

// One TCP connection between two nodes.
class Links::Link : public std::enable_shared_from_this<Links::Link> {
 public:
  // What the owner is told.
  struct Hooks {
    std::function<void(Link&, const Frame&)> on_frame;
    std::function<void(Link&, const std::string& cause)> on_refused;
    std::function<void(Link&, const std::string& cause)> on_lost;
  };

  Link(boost::asio::io_context& loop, LinkId id, LinkSettings settings,
       Hooks hooks);

  // Starts a link that was accepted.
  void StartAccepted(boost::asio::ip::tcp::socket socket, Bytes hello);
  // Connects, then starts. Frames may be queued at once.
  void StartOutgoing(const core::base::NodeAddress& to, Bytes hello);

  // Queues an encoded frame.
  core::base::Result<FrameSequence> Queue(Bytes frame);
  // Sends a ping or closes the link if it is silent or idle.
  void Tick(const Bytes& ping);
  // Ends the link and tells the owner, once.
  void Close(const std::string& cause);

  // Identity of this connection.
  LinkId id() const { return id_; }
  // The node at the other end; the address is empty before its Hello on an
  // accepted link.
  const LinkPeer& peer() const { return peer_; }
  // Records the other end's Hello. What goes to a peer that is near is not
  // compressed: bytes within a zone are cheaper than processor time.
  void SetPeer(LinkPeer peer, bool is_near) {
    peer_ = std::move(peer);
    is_near_ = is_near;
  }
  // True once the other end's Hello has come.
  bool greeted() const { return greeted_; }
  // Marks the Hello as received.
  void SetGreeted() { greeted_ = true; }
  // True if this process opened the connection.
  bool outgoing() const { return outgoing_; }
  // First frame of which no byte was handed to the kernel.
  FrameSequence first_unsent() const { return FrameSequence(next_write_); }

 private:
  using Clock = std::chrono::steady_clock;

  void Begin();
  void Read();
  void OnRead(std::size_t n);
  // Handles the whole frames that have come; false once the link has ended.
  bool TakeFrames();
  void WriteSoon();
  void Write();

  boost::asio::ip::tcp::socket socket_;
  LinkId id_;
  LinkSettings settings_;
  Hooks hooks_;
  LinkPeer peer_;
  FrameDecoder decoder_;
  std::array<std::uint8_t, 65536> read_buf_{};
  std::deque<Bytes> queue_;
  std::vector<Bytes> writing_;
  std::size_t writing_bytes_ = 0;             // as queued
  std::unique_ptr<StreamDeflater> deflater_;  // set if the link compresses
  std::unique_ptr<StreamInflater> inflater_;
  std::size_t queued_bytes_ = 0;
  std::uint64_t next_sequence_ = 0;
  std::uint64_t next_write_ = 0;
  Clock::time_point started_ = Clock::now();
  Clock::time_point last_received_ = Clock::now();
  Clock::time_point last_payload_ = Clock::now();
  bool outgoing_ = false;
  bool connected_ = false;
  bool write_due_ = false;
  bool write_in_progress_ = false;
  bool greeted_ = false;
  bool is_near_ = false;
  bool closed_ = false;
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_LINK_H_
