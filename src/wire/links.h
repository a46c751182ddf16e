#ifndef DOGWOODRAIL_WIRE_LINKS_H_
#define DOGWOODRAIL_WIRE_LINKS_H_

#include <array>
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
#include "core/base/memory_budget.h"
#include "core/base/time_type.h"
#include "wire/frame_type.h"
#include "wire/traffic.h"

namespace dogwoodrail::wire {

// Id of a TCP connection between two nodes. Not reused after a reconnect.
using LinkId = core::base::StrongNumber<struct LinkIdTag>;
// Position of a frame among all frames queued on a link.
using FrameSequence = core::base::StrongNumber<struct FrameSequenceTag>;

// Link and position of a queued frame.
struct SentFrame {
  LinkId link;
  FrameSequence sequence;
};

// Node at the other end of a link, as announced in its Hello.
struct LinkPeer {
  core::base::NodeAddress address;
  core::base::Incarnation incarnation;
  core::base::ZoneName zone;
  core::base::RegionName region;
};

// Loss of a link. The other node has certainly not handled the frames from
// first_unhandled on. It may have handled earlier ones.
struct LinkLoss {
  LinkId link;
  core::base::NodeAddress address;
  FrameSequence first_unhandled;
  std::string cause;
};

// Settings of links.
struct LinkSettings {
  core::base::Duration connect_timeout = std::chrono::milliseconds(1000);
  // A link with calls under way is pinged after this long without data.
  core::base::Duration ping_interval = std::chrono::milliseconds(500);
  // Any other link is pinged after this long. Longer saves traffic in a large
  // fleet, but a silent link without calls is noticed later.
  core::base::Duration idle_ping_interval = std::chrono::milliseconds(500);
  // A link is closed if nothing is received for this long after a ping.
  core::base::Duration silence_timeout = std::chrono::milliseconds(1500);
  // An outgoing link is closed after this long without any frames but pings.
  core::base::Duration idle_timeout = std::chrono::seconds(60);
  // Compresses frames between zones. Must be set equally on all nodes.
  bool compress = false;
  std::size_t max_queued_bytes = 32U * std::size_t{1024} * 1024;
};

// Manages TCP connections to other nodes: framing, pings and reconnects. Not
// thread-safe: use it only on the thread of the event loop.
class Links {
 public:
  using FrameHandler = std::function<void(LinkId from, const Bytes& payload)>;
  using LossHandler = std::function<void(const LinkLoss&)>;
  using TruncatedHandler = std::function<void(LinkId from, const Frame&)>;
  // Receives protocol errors for the event log.
  using RefusalHandler =
      std::function<void(const LinkPeer&, const std::string& cause)>;

  Links(boost::asio::io_context& loop, LinkPeer self, LinkSettings settings);
  ~Links();
  Links(const Links&) = delete;
  Links& operator=(const Links&) = delete;

  // Listens for connections from other nodes.
  core::base::Result<void> Listen(const std::string& ip, std::uint16_t port);
  // Stops accepting and closes all links.
  void Close();
  // Begins an orderly close: tells the other nodes which frames were handled,
  // queues no further frames, ends the sending side of each link once its
  // frames are written, and closes the link once the other node has closed it.
  void BeginClose();

  // Sets the handler of a frame kind. A link is closed if it receives a frame
  // kind without a handler.
  void SetHandler(FrameKind kind, FrameHandler handler);
  // Sets the handler of lost links.
  void SetLossHandler(LossHandler handler) { on_loss_ = std::move(handler); }
  // Sets the handler of protocol errors.
  void SetRefusalHandler(RefusalHandler handler) {
    on_refusal_ = std::move(handler);
  }

  // Queues an encoded frame on the outgoing link to a node, and opens the link
  // if necessary. Fails if the queue of the link is full.
  core::base::Result<SentFrame> Send(const core::base::NodeAddress& to,
                                     Bytes frame);
  // Queues an encoded frame on an existing link. Fails if the link is closed or
  // its queue is full.
  core::base::Result<SentFrame> Reply(LinkId link, Bytes frame);
  // Takes back a queued call of which nothing is written yet, as while the link
  // is being opened. Returns false if it may have been sent.
  bool Withdraw(const SentFrame& sent);
  // Returns the peer of a link, or nullptr if the link is closed.
  const LinkPeer* PeerOf(LinkId link) const;
  // Reports a protocol error of a link and closes it.
  void Refuse(LinkId link, const std::string& cause);
  // Sets the budget for frames that are queued or being received; not owned,
  // may be null. To be set before the first link.
  void SetMemoryBudget(core::base::MemoryBudget* memory) { memory_ = memory; }
  // Sets the handler of calls and answers that were received truncated, for
  // want of memory. A link is closed if it receives one of another kind.
  void SetTruncatedHandler(TruncatedHandler handler) {
    on_truncated_ = std::move(handler);
  }
  // Counts what is sent on links; not owned, may be null.
  void SetTraffic(Traffic* traffic) { traffic_ = traffic; }
  // Number of open links.
  std::size_t size() const { return links_.size(); }
  // Number of established links with frames that are not written yet.
  std::size_t UnwrittenCount() const;

 private:
  class Link;
  using ReadBuffer = std::array<std::uint8_t, 65536>;

  void Accept();
  // Accepts the connections that the kernel has established already.
  void AcceptPending();
  std::shared_ptr<Link> MakeLink();
  std::shared_ptr<Link> Open(const core::base::NodeAddress& to);
  void OnFrame(Link& link, const Frame& frame);
  void OnTruncated(Link& link, const Frame& frame);
  void OnLost(Link& link, const std::string& cause);
  void ScheduleTick();
  void Tick();
  TrafficScope ScopeOf(const LinkPeer& peer) const;

  boost::asio::io_context& loop_;
  LinkPeer self_;
  LinkSettings settings_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer tick_timer_;
  ReadBuffer read_buf_{};
  std::uint64_t next_link_ = 1;
  std::unordered_map<LinkId, std::shared_ptr<Link>> links_;
  std::unordered_map<core::base::NodeAddress, std::shared_ptr<Link>> outgoing_;
  std::unordered_map<std::uint8_t, FrameHandler> handlers_;
  Traffic* traffic_ = nullptr;
  LossHandler on_loss_;
  RefusalHandler on_refusal_;
  TruncatedHandler on_truncated_;
  core::base::MemoryBudget* memory_ = nullptr;
  bool closing_ = false;
  bool draining_ = false;  // set by BeginClose()
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_LINKS_H_
