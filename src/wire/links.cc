#include "wire/links.h"

#include <algorithm>
#include <utility>

#include "wire/call_generated.h"
#include "wire/frame_func.h"
#include "wire/link.h"

namespace dogwoodrail::wire {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using core::base::ErrorCode;
using core::base::MakeError;
using core::base::NodeAddress;

namespace {

constexpr int kListenBacklog = 2048;
constexpr std::chrono::milliseconds kTickInterval(100);

// Encodes the Hello frame of this node.
Bytes EncodeHello(const LinkPeer& self) {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(fbs::CreateHelloDirect(
      fbb, self.address.value().c_str(), self.incarnation.value(),
      self.zone.value().c_str(), self.region.value().c_str()));
  return EncodeFrame(FrameKind::kHello, fbb);
}

// Encodes a ping or pong frame.
Bytes EncodePing(FrameKind kind, std::uint64_t number) {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(fbs::CreatePing(fbb, number));
  return EncodeFrame(kind, fbb);
}

// Encodes the last frame on a link.
Bytes EncodeClosing(std::uint64_t frames_handled) {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(fbs::CreateClosing(fbb, frames_handled));
  return EncodeFrame(FrameKind::kClosing, fbb);
}

}  // namespace

Links::Links(asio::io_context& loop, LinkPeer self, LinkSettings settings)
    : loop_(loop),
      self_(std::move(self)),
      settings_(settings),
      acceptor_(loop),
      tick_timer_(loop) {}

Links::~Links() { Close(); }

core::base::Result<void> Links::Listen(const std::string& ip,
                                       std::uint16_t port) {
  error_code ec;
  const tcp::endpoint endpoint(asio::ip::make_address(ip, ec), port);
  if (!ec) acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(kListenBacklog, ec);
  if (ec) return MakeError(ErrorCode::kUnavailable, ec.message());
  Accept();
  ScheduleTick();
  return {};
}

void Links::Close() {
  closing_ = true;
  error_code ec;
  acceptor_.close(ec);
  tick_timer_.cancel();
  const auto links = links_;
  for (const auto& [id, link] : links) link->Close("closing");
}

void Links::BeginClose() {
  draining_ = true;
  AcceptPending();
  error_code ec;
  acceptor_.close(ec);
  const auto links = links_;
  for (const auto& [id, link] : links) {
    link->BeginClose(EncodeClosing(link->frames_received()));
  }
}

std::size_t Links::UnwrittenCount() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(),
                    [](const auto& it) { return it.second->HasUnwritten(); }));
}

void Links::SetHandler(FrameKind kind, FrameHandler handler) {
  handlers_[static_cast<std::uint8_t>(kind)] = std::move(handler);
}

core::base::Result<SentFrame> Links::Send(const NodeAddress& to, Bytes frame) {
  if (closing_ || draining_) {
    return MakeError(ErrorCode::kUnavailable, "closing");
  }
  const auto known = outgoing_.find(to);
  const auto link = known != outgoing_.end() ? known->second : Open(to);
  auto sequence = link->Queue(std::move(frame));
  if (!sequence) return tl::make_unexpected(sequence.error());
  return SentFrame{link->id(), *sequence};
}

core::base::Result<SentFrame> Links::Reply(LinkId link, Bytes frame) {
  const auto it = links_.find(link);
  if (it == links_.end()) {
    return MakeError(ErrorCode::kUnavailable, "link ended");
  }
  auto sequence = it->second->Queue(std::move(frame));
  if (!sequence) return tl::make_unexpected(sequence.error());
  return SentFrame{link, *sequence};
}

// The other node counts the frames that it receives, so that an empty frame
// takes the place of the call.
bool Links::Withdraw(const SentFrame& sent) {
  const auto it = links_.find(sent.link);
  if (it == links_.end()) return false;
  return it->second->ReplaceUnwritten(sent.sequence,
                                      EncodePing(FrameKind::kPong, 0));
}

const LinkPeer* Links::PeerOf(LinkId link) const {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : &it->second->peer();
}

void Links::Refuse(LinkId link, const std::string& cause) {
  const auto it = links_.find(link);
  if (it == links_.end()) return;
  const std::shared_ptr<Link> keep_alive = it->second;
  if (on_refusal_) on_refusal_(keep_alive->peer(), cause);
  keep_alive->Close("refused frame: " + cause);
}

void Links::Accept() {
  acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted || closing_ || draining_) {
      return;
    }
    if (!ec) {
      auto link = MakeLink();
      link->StartAccepted(std::move(socket), EncodeHello(self_));
    }
    Accept();
  });
}

// The kernel resets connections that are still to be accepted when the listener
// closes; their nodes would not learn that their calls were not handled.
void Links::AcceptPending() {
  error_code ec;
  acceptor_.cancel(ec);
  acceptor_.non_blocking(true, ec);
  while (!ec) {
    tcp::socket socket(loop_);
    acceptor_.accept(socket, ec);
    if (ec) return;
    MakeLink()->StartAccepted(std::move(socket), EncodeHello(self_));
  }
}

std::shared_ptr<Links::Link> Links::MakeLink() {
  const LinkId id(next_link_++);
  Link::Hooks hooks;
  hooks.on_frame = [this](Link& l, const Frame& f) { OnFrame(l, f); };
  hooks.on_protocol_error = [this](Link& l, const std::string& cause) {
    Refuse(l.id(), cause);
  };
  hooks.on_lost = [this](Link& l, const std::string& cause) {
    OnLost(l, cause);
  };
  hooks.on_sent = [this](FrameKind kind, TrafficScope scope,
                         std::uint64_t bytes) {
    if (traffic_ != nullptr) traffic_->Count(kind, scope, bytes);
  };
  auto link = std::make_shared<Link>(loop_, id, settings_, std::move(hooks),
                                     read_buf_, memory_);
  links_[id] = link;
  return link;
}

std::shared_ptr<Links::Link> Links::Open(const NodeAddress& to) {
  auto link = MakeLink();
  outgoing_[to] = link;
  link->StartOutgoing(to, EncodeHello(self_));
  return link;
}

TrafficScope Links::ScopeOf(const LinkPeer& peer) const {
  if (peer.region != self_.region) return TrafficScope::kOtherRegion;
  return peer.zone == self_.zone ? TrafficScope::kSameZone
                                 : TrafficScope::kOtherZone;
}

void Links::OnFrame(Link& link, const Frame& frame) {
  const auto keep_alive = link.shared_from_this();
  if (frame.kind == FrameKind::kHello) {
    const auto* hello = VerifiedRoot<fbs::Hello>(frame.payload);
    if (hello == nullptr) return Refuse(link.id(), "malformed Hello");
    if (!link.outgoing() ||
        link.peer().address.value() == hello->address()->str()) {
      const core::base::ZoneName zone(hello->zone()->str());
      LinkPeer peer{NodeAddress(hello->address()->str()),
                    core::base::Incarnation(hello->incarnation()), zone,
                    core::base::RegionName(hello->region()->str())};
      const TrafficScope scope = ScopeOf(peer);
      link.SetPeer(std::move(peer), scope);
      link.SetHelloReceived();
      return;
    }
    return Refuse(link.id(), "Hello from an unexpected node address");
  }
  if (!link.hello_received()) return Refuse(link.id(), "frame before Hello");
  if (frame.kind == FrameKind::kPong) return;
  if (frame.kind == FrameKind::kPing) {
    (void)link.Queue(EncodePing(FrameKind::kPong, 0));
    return;
  }
  if (frame.kind == FrameKind::kClosing) {
    const auto* closing = VerifiedRoot<fbs::Closing>(frame.payload);
    if (closing == nullptr) return Refuse(link.id(), "malformed Closing");
    return link.SetFramesHandled(closing->frames_handled());
  }
  if (frame.is_truncated) return OnTruncated(link, frame);
  const auto it = handlers_.find(static_cast<std::uint8_t>(frame.kind));
  if (it == handlers_.end()) return Refuse(link.id(), "unknown frame kind");
  it->second(link.id(), frame.payload);
}

void Links::OnTruncated(Link& link, const Frame& frame) {
  const bool is_known =
      frame.kind == FrameKind::kCall || frame.kind == FrameKind::kAnswer;
  if (!is_known || !on_truncated_) {
    return Refuse(link.id(), "no memory for the frame");
  }
  on_truncated_(link.id(), frame);
}

void Links::OnLost(Link& link, const std::string& cause) {
  const auto keep_alive = link.shared_from_this();
  links_.erase(link.id());
  const auto out = outgoing_.find(link.peer().address);
  if (out != outgoing_.end() && out->second == keep_alive) outgoing_.erase(out);
  if (on_loss_ && !closing_) {
    on_loss_(LinkLoss{link.id(), link.peer().address, link.first_unhandled(),
                      cause});
  }
}

void Links::ScheduleTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const error_code& ec) {
    if (ec || closing_) return;
    Tick();
    ScheduleTick();
  });
}

void Links::Tick() {
  const Bytes ping = EncodePing(FrameKind::kPing, 0);
  const auto links = links_;
  for (const auto& [id, link] : links) link->Tick(ping);
}

}  // namespace dogwoodrail::wire
