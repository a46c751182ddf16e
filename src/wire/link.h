#ifndef DOGWOODRAIL_WIRE_LINK_H_
#define DOGWOODRAIL_WIRE_LINK_H_

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "wire/frame_func.h"
#include "wire/links.h"
#include "wire/stream_codec.h"

namespace dogwoodrail::wire {

// TCP connection between two nodes.
class Links::Link : public std::enable_shared_from_this<Links::Link> {
 public:
  // Callbacks to the owner.
  struct Hooks {
    std::function<void(Link&, const Frame&)> on_frame;
    std::function<void(Link&, const std::string& cause)> on_protocol_error;
    std::function<void(Link&, const std::string& cause)> on_lost;
    std::function<void(FrameKind, TrafficScope, std::uint64_t bytes)> on_sent;
  };

  // `read_buf` is shared by all links, which use it in turn.
  // `memory` is the budget for large frames; not owned, may be null.
  Link(boost::asio::io_context& loop, LinkId id, LinkSettings settings,
       Hooks hooks, ReadBuffer& read_buf, core::base::MemoryBudget* memory);

  // Starts a link on an accepted connection.
  void StartAccepted(boost::asio::ip::tcp::socket socket, Bytes hello);
  // Connects to a node and starts the link. Frames may be queued before the
  // connection is established.
  void StartOutgoing(const core::base::NodeAddress& to, Bytes hello);

  // Queues an encoded frame.
  core::base::Result<FrameSequence> Queue(Bytes frame);
  // Replaces a queued call. Returns false if it may have been written.
  bool ReplaceUnwritten(FrameSequence sequence, Bytes frame);
  // Sends a ping if one is due. Closes the link if it timed out or is idle.
  void Tick(const Bytes& ping);
  // Queues a last frame, ends the sending side once the queued frames are
  // written, and closes the link at the end of the received stream. Calls that
  // are received later are ignored.
  void BeginClose(Bytes last);
  // Closes the link and notifies the owner. Further calls have no effect.
  void Close(const std::string& cause);

  LinkId id() const { return id_; }
  // The remote node. On an accepted link the address is empty until its Hello
  // is received.
  const LinkPeer& peer() const { return peer_; }
  // Sets the peer from its Hello. Frames to a peer in the same zone are not
  // compressed, since traffic within a zone is cheaper than CPU time.
  void SetPeer(LinkPeer peer, TrafficScope scope) {
    peer_ = std::move(peer);
    scope_ = scope;
  }
  // Returns true if the peer has sent its Hello.
  bool hello_received() const { return hello_received_; }
  void SetHelloReceived() { hello_received_ = true; }
  // Returns true if this process opened the connection.
  bool outgoing() const { return outgoing_; }
  // Returns true if the link is established and has frames to write.
  bool HasUnwritten() const {
    return connected_ && !closed_ && (write_in_progress_ || !queue_.empty());
  }
  // Number of frames received.
  std::uint64_t frames_received() const { return frames_received_; }
  // Sets how many frames the peer has handled before it closed the link.
  void SetFramesHandled(std::uint64_t n) { frames_handled_ = n; }
  // First frame that the peer has certainly not handled: no bytes of it were
  // passed to the kernel, or the peer said so.
  FrameSequence first_unhandled() const {
    return FrameSequence(std::min(next_write_, frames_handled_));
  }

 private:
  using Clock = std::chrono::steady_clock;

  void StartTransfer();
  // Waits for data.
  void Read();
  void ReadReady(boost::system::error_code ec);
  void OnRead(std::size_t n);
  // Handles all complete frames received so far. Returns false if the link has
  // been closed.
  bool HandleFrames();
  // Sets the number of queued bytes, which are held in any case.
  void SetQueuedBytes(std::size_t bytes);
  void ScheduleWrite();
  void Write();
  // Reports the frames of the batch with their part of the bytes to be written.
  void CountBatch(std::size_t bytes_written);
  // Ends the sending side if the link is being closed and has nothing to write.
  void FinishSending();

  boost::asio::ip::tcp::socket socket_;
  LinkId id_;
  LinkSettings settings_;
  Hooks hooks_;
  LinkPeer peer_;
  FrameDecoder decoder_;
  ReadBuffer& read_buf_;
  std::deque<Bytes> queue_;
  std::vector<Bytes> write_batch_;
  std::size_t write_bytes_ = 0;               // before compression
  std::unique_ptr<StreamDeflater> deflater_;  // set if compression is enabled
  std::unique_ptr<StreamInflater> inflater_;
  std::size_t queued_bytes_ = 0;
  core::base::MemoryReservation queue_memory_;     // for queued_bytes_
  core::base::MemoryReservation received_memory_;  // for a frame being received
  std::size_t open_calls_ = 0;  // calls queued and not answered yet
  std::uint64_t next_sequence_ = 0;
  std::uint64_t next_write_ = 0;
  std::uint64_t frames_received_ = 0;
  std::uint64_t frames_handled_ = std::numeric_limits<std::uint64_t>::max();
  Clock::time_point started_ = Clock::now();
  Clock::time_point last_received_ = Clock::now();
  Clock::time_point last_payload_ = Clock::now();
  std::optional<Clock::time_point> pinged_;  // unanswered ping
  bool outgoing_ = false;
  bool connected_ = false;
  bool write_scheduled_ = false;
  bool write_in_progress_ = false;
  bool hello_received_ = false;
  TrafficScope scope_ = TrafficScope::kUnknown;
  bool closing_ = false;  // set by BeginClose()
  bool closed_ = false;
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_LINK_H_
