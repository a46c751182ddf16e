#include "wire/link.h"

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

#include "wire/address_func.h"

namespace dogwoodrail::wire {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using core::base::ErrorCode;
using core::base::MakeError;

namespace {

// Byte limit of one write to the kernel, exceeded by at most one frame. Kept
// small because all frames of a failed write may have been sent.
constexpr std::size_t kMaxWriteBytes = std::size_t{256} * 1024;

// Returns the kind of an encoded frame.
FrameKind KindOf(const Bytes& frame) {
  return static_cast<FrameKind>(frame.at(kFrameLengthBytes + 1));
}

}  // namespace

Links::Link::Link(asio::io_context& loop, LinkId id, LinkSettings settings,
                  Hooks hooks, ReadBuffer& read_buf,
                  core::base::MemoryBudget* memory)
    : socket_(loop),
      id_(id),
      settings_(settings),
      hooks_(std::move(hooks)),
      read_buf_(read_buf),
      queue_memory_(memory),
      received_memory_(memory) {
  decoder_.SetRoomCheck(
      [this](std::size_t bytes) { return received_memory_.TryResize(bytes); });
  if (!settings_.compress) return;
  deflater_ = std::make_unique<StreamDeflater>();
  inflater_ = std::make_unique<StreamInflater>();
}

void Links::Link::StartAccepted(tcp::socket socket, Bytes hello) {
  socket_ = std::move(socket);
  connected_ = true;
  queue_.push_front(std::move(hello));
  ++next_sequence_;
  StartTransfer();
}

void Links::Link::StartOutgoing(const core::base::NodeAddress& to,
                                Bytes hello) {
  outgoing_ = true;
  peer_.address = to;
  queue_.push_front(std::move(hello));
  ++next_sequence_;
  const auto target = ParseIpPort(to.value());
  if (!target) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->Close("invalid peer address");
    });
    return;
  }
  const tcp::endpoint endpoint(asio::ip::make_address(target->ip),
                               target->port);
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](const error_code& ec) {
                          if (self->closed_) return;
                          if (ec) {
                            self->Close("connect: " + ec.message());
                            return;
                          }
                          self->connected_ = true;
                          self->StartTransfer();
                        });
}

void Links::Link::StartTransfer() {
  error_code ec;
  socket_.set_option(tcp::no_delay(true), ec);
  socket_.non_blocking(true, ec);
  last_received_ = Clock::now();
  Read();
  Write();
}

core::base::Result<FrameSequence> Links::Link::Queue(Bytes frame) {
  if (closed_ || closing_) {
    return MakeError(ErrorCode::kUnavailable, "link closed");
  }
  if (frame.size() > kFrameLengthBytes + kMaxFrameBytes) {
    return MakeError(ErrorCode::kExhausted, "frame too large");
  }
  if (queued_bytes_ + frame.size() > settings_.max_queued_bytes) {
    return MakeError(ErrorCode::kUnavailable, "link queue full");
  }
  const bool is_small = frame.size() <= kSmallFrameBytes;
  if (!is_small && !queue_memory_.TryResize(queued_bytes_ + frame.size())) {
    return MakeError(ErrorCode::kExhausted, "no memory for the frame");
  }
  if (KindOf(frame) == FrameKind::kCall) ++open_calls_;
  SetQueuedBytes(queued_bytes_ + frame.size());
  queue_.push_back(std::move(frame));
  last_payload_ = Clock::now();
  const FrameSequence sequence(next_sequence_++);
  if (connected_) ScheduleWrite();
  return sequence;
}

bool Links::Link::ReplaceUnwritten(FrameSequence sequence, Bytes frame) {
  if (closed_ || sequence.value() < next_write_) return false;
  Bytes& queued = queue_.at(sequence.value() - next_write_);
  if (open_calls_ > 0) --open_calls_;
  SetQueuedBytes(queued_bytes_ + frame.size() -
                 std::min(queued.size(), queued_bytes_));
  queued = std::move(frame);
  return true;
}

void Links::Link::SetQueuedBytes(std::size_t bytes) {
  queued_bytes_ = bytes;
  if (!closed_) queue_memory_.Resize(bytes);  // Close() has returned all
}

// Defers the write until the event loop has run its ready handlers, so that
// under load one write and one compression flush cover many frames.
void Links::Link::ScheduleWrite() {
  if (write_scheduled_ || write_in_progress_) return;
  write_scheduled_ = true;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->write_scheduled_ = false;
    if (!self->closed_) self->Write();
  });
}

// A node has a link to most others, so that a buffer of its own for each would
// be most of the node's memory. A link takes the shared one once there is
// something to read.
void Links::Link::Read() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& ec) {
                       if (!self->closed_) self->ReadReady(ec);
                     });
}

void Links::Link::ReadReady(error_code ec) {
  std::size_t n = 0;
  if (!ec) n = socket_.read_some(asio::buffer(read_buf_), ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again) {
    return Read();
  }
  if (ec) return Close("read: " + ec.message());
  OnRead(n);
}

void Links::Link::OnRead(std::size_t n) {
  last_received_ = Clock::now();
  pinged_.reset();
  if (!inflater_) {
    decoder_.Append(read_buf_.data(), n);
    if (HandleFrames()) Read();
    return;
  }
  const bool is_intact = inflater_->Inflate(
      read_buf_.data(), n, [this](const std::uint8_t* data, std::size_t size) {
        decoder_.Append(data, size);
        return HandleFrames();
      });
  if (closed_) return;
  if (!is_intact) {
    hooks_.on_protocol_error(*this, "corrupt compressed stream");
    return;
  }
  Read();
}

bool Links::Link::HandleFrames() {
  while (!closed_) {
    auto frame = decoder_.Next();
    if (!frame) {
      hooks_.on_protocol_error(*this, frame.error().detail);
      return false;
    }
    if (!*frame) break;
    if ((*frame)->kind != FrameKind::kPing &&
        (*frame)->kind != FrameKind::kPong) {
      last_payload_ = last_received_;
    }
    ++frames_received_;
    if (closing_ && (*frame)->kind == FrameKind::kCall) continue;
    if ((*frame)->kind == FrameKind::kAnswer && open_calls_ > 0) --open_calls_;
    received_memory_.Resize(0);  // the handler reserves what it keeps
    hooks_.on_frame(*this, **frame);
  }
  return !closed_;
}

void Links::Link::Write() {
  if (write_in_progress_) return;
  if (queue_.empty()) return FinishSending();
  std::vector<asio::const_buffer> buffers;
  std::size_t bytes = 0;
  while (!queue_.empty() && bytes < kMaxWriteBytes) {
    bytes += queue_.front().size();
    write_batch_.push_back(std::move(queue_.front()));
    queue_.pop_front();
    ++next_write_;
  }
  write_bytes_ = bytes;
  const bool is_same_zone = scope_ == TrafficScope::kSameZone;
  if (!deflater_) CountBatch(bytes);
  if (deflater_) {
    Bytes packed = is_same_zone ? StreamDeflater::Store(write_batch_)
                                : deflater_->Compress(write_batch_);
    CountBatch(packed.size());
    write_batch_.clear();
    write_batch_.push_back(std::move(packed));
  }
  for (const Bytes& it : write_batch_) buffers.push_back(asio::buffer(it));
  write_in_progress_ = true;
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const error_code& ec, std::size_t /*n*/) {
        self->write_in_progress_ = false;
        self->write_batch_.clear();
        self->SetQueuedBytes(self->queued_bytes_ -
                             std::min(self->write_bytes_, self->queued_bytes_));
        if (self->closed_) return;
        if (ec) {
          self->Close("write: " + ec.message());
          return;
        }
        self->Write();
      });
}

// The compressed size of a batch is shared out by the sizes of its frames.
void Links::Link::CountBatch(std::size_t bytes_written) {
  if (!hooks_.on_sent) return;
  for (const Bytes& it : write_batch_) {
    hooks_.on_sent(KindOf(it), scope_,
                   bytes_written * it.size() / write_bytes_);
  }
}

void Links::Link::Tick(const Bytes& ping) {
  const auto now = Clock::now();
  if (!connected_) {
    if (now - started_ > settings_.connect_timeout) Close("connect: timeout");
    return;
  }
  if (pinged_ && now - *pinged_ > settings_.silence_timeout) {
    Close("silent");
    return;
  }
  const bool is_idle = now - last_payload_ > settings_.idle_timeout;
  if (outgoing_ && open_calls_ == 0 && is_idle) {
    Close("idle");
    return;
  }
  const auto interval =
      open_calls_ > 0 ? settings_.ping_interval : settings_.idle_ping_interval;
  const bool is_ping_due = !pinged_ && now - last_received_ >= interval;
  if (!is_ping_due || closing_) return;
  pinged_ = now;
  queue_.push_back(ping);
  ++next_sequence_;
  SetQueuedBytes(queued_bytes_ + ping.size());
  Write();
}

// The link is still read: closing a socket with unread bytes resets the
// connection, and the kernel then discards what it has not delivered yet.
void Links::Link::BeginClose(Bytes last) {
  if (closed_ || closing_) return;
  if (!connected_) return Close("closing");
  SetQueuedBytes(queued_bytes_ + last.size());
  queue_.push_back(std::move(last));
  ++next_sequence_;
  closing_ = true;
  Write();
}

void Links::Link::FinishSending() {
  if (!closing_) return;
  error_code ec;
  socket_.shutdown(tcp::socket::shutdown_send, ec);
}

void Links::Link::Close(const std::string& cause) {
  if (closed_) return;
  closed_ = true;
  queue_memory_.Resize(0);
  received_memory_.Resize(0);
  error_code ec;
  socket_.close(ec);
  hooks_.on_lost(*this, cause);
}

}  // namespace dogwoodrail::wire
