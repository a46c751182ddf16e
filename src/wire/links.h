#ifndef DOGWOODRAIL_WIRE_LINKS_H_
#define DOGWOODRAIL_WIRE_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/base/error_type.h"
#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// One life of one TCP connection between two nodes.
using LinkId = core::base::StrongNumber<struct LinkIdTag>;
// Place of a frame in the frames handed to one link.
using FrameSequence = core::base::StrongNumber<struct FrameSequenceTag>;

// Where a frame was queued.
struct SentFrame {
  LinkId link;
  FrameSequence sequence;
};

// Who is at the other end of a link, from its Hello.
struct LinkPeer {
  core::base::NodeAddress address;
  core::base::Incarnation incarnation;
  core::base::ZoneName zone;
  core::base::RegionName region;
};

// A link that ended. No byte of a frame with a sequence of first_unsent or
// above was handed to the kernel; the others may have arrived.
struct LinkLoss {
  LinkId link;
  core::base::NodeAddress address;
  FrameSequence first_unsent;
  std::string cause;
};

// Timing of links.
struct LinkSettings {
  core::base::Duration connect_timeout = std::chrono::milliseconds(1000);
  core::base::Duration ping_interval = std::chrono::milliseconds(500);
  // A link that has been silent for so long after a ping is closed.
  core::base::Duration silence_timeout = std::chrono::milliseconds(1500);
  // An outgoing link that carried nothing for so long is closed.
  core::base::Duration idle_timeout = std::chrono::seconds(60);
  // Compress what is sent across zones; the same on all nodes.
  bool compress = false;
  std::size_t max_queued_bytes = 32U * std::size_t{1024} * 1024;
};

// TCP connections to other nodes: framing, pings, reconnects. Runs on the
// loop's thread only.
class Links {
 public:
  using FrameHandler = std::function<void(LinkId from, const Bytes& payload)>;
  using LossHandler = std::function<void(const LinkLoss&)>;
  // Reports a frame that was refused, for the event log.
  using RefusalHandler =
      std::function<void(const LinkPeer&, const std::string& cause)>;

  Links(boost::asio::io_context& loop, LinkPeer self, LinkSettings settings);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // Listens for other nodes.
  core::base::Result<void> Listen(const std::string& ip, std::uint16_t port);
  // Stops accepting and closes all links.
  void Close();

  // Sets the handler of a kind. Frames of kinds without one close the link.
  void SetHandler(FrameKind kind, FrameHandler handler);
  // Sets what is called when a link ends.
  void SetLossHandler(LossHandler handler) { on_loss_ = std::move(handler); }
  // Sets what is called when a frame is refused.
  void SetRefusalHandler(RefusalHandler handler) {
    on_refusal_ = std::move(handler);
  }

  // Queues an encoded frame on the outgoing link to a node, which is opened
  // if need be. Fails if too much is queued already.
  core::base::Result<SentFrame> Send(const core::base::NodeAddress& to,
                                     Bytes frame);
  // Queues an encoded frame on an existing link; fails if it has ended.
  core::base::Result<SentFrame> Reply(LinkId link, Bytes frame);
  // Returns the peer of a link, or nullptr if it has ended.
  const LinkPeer* PeerOf(LinkId link) const;
  // Closes a link after a protocol error.
  void Refuse(LinkId link, const std::string& cause);
  // Number of open links.
  std::size_t size() const { return links_.size(); }

 private:
  class Link;

  void Accept();
  std::shared_ptr<Link> MakeLink();
  std::shared_ptr<Link> Open(const core::base::NodeAddress& to);
  void OnFrame(Link& link, const Frame& frame);
  void OnLost(Link& link, const std::string& cause);
  void ScheduleTick();
  void Tick();

  boost::asio::io_context& loop_;
  LinkPeer self_;
  LinkSettings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tick_timer_;
  std::uint64_t next_link_ = 1;
  std::unordered_map<LinkId, std::shared_ptr<Link>> links_;
  std::unordered_map<core::base::NodeAddress, std::shared_ptr<Link>> outgoing_;
  std::unordered_map<std::uint8_t, FrameHandler> handlers_;
  LossHandler on_loss_;
  RefusalHandler on_refusal_;
  bool closing_ = false;
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_LINKS_H_
