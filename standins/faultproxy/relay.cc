#include "standins/faultproxy/relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace dogwoodrail::standin {
namespace {

constexpr std::size_t kMaxQueuedChunks = 64;
constexpr int kCorruptionMask = 0x55;

}  // namespace

Relay::Relay(asio::io_context& io, Tcp::socket caller, FaultState* faults,
             FaultCounts* counts)
    : caller_(std::move(caller)),
      target_(io),
      faults_(faults),
      counts_(counts),
      to_target_(io, Direction::kToTarget, &caller_, &target_),
      to_caller_(io, Direction::kToCaller, &target_, &caller_) {}

void Relay::Start(const Tcp::endpoint& target,
                  std::function<void(std::shared_ptr<Relay>)> on_closed) {
  on_closed_ = std::move(on_closed);
  target_.async_connect(
      target, [self = shared_from_this()](const boost::system::error_code& ec) {
        if (ec) {
          self->Close();
          return;
        }
        boost::system::error_code ignored;
        self->target_.set_option(Tcp::no_delay(true), ignored);
        self->caller_.set_option(Tcp::no_delay(true), ignored);
        self->Read(self->to_target_);
        self->Read(self->to_caller_);
      });
}

void Relay::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ec;
  caller_.close(ec);
  target_.close(ec);
  to_target_.timer.cancel();
  to_caller_.timer.cancel();
  if (on_closed_) on_closed_(shared_from_this());
}

void Relay::Freeze() {
  to_target_.silenced = true;
  to_caller_.silenced = true;
}

// Once silenced, a direction stays silenced: relaying later bytes would leave a
// gap in the byte stream, which cannot happen in a TCP connection.
bool Relay::IsSilenced(const Pipe& pipe) const {
  if (pipe.silenced) return true;
  return pipe.direction == Direction::kToTarget ? faults_->silence_to_target
                                                : faults_->silence_to_caller;
}

void Relay::Read(Pipe& pipe) {
  if (closed_ || pipe.reading || pipe.chunks.size() >= kMaxQueuedChunks) return;
  pipe.reading = true;
  pipe.source->async_read_some(
      asio::buffer(pipe.buf),
      [self = shared_from_this(), &pipe](const boost::system::error_code& ec,
                                         std::size_t n) {
        pipe.reading = false;
        self->OnRead(pipe, ec, n);
      });
}

void Relay::OnRead(Pipe& pipe, const boost::system::error_code& ec,
                   std::size_t n) {
  if (closed_) return;
  if (IsSilenced(pipe)) {
    if (!pipe.silenced) ++counts_->faults;
    pipe.silenced = true;
    if (!ec) Read(pipe);
    return;
  }
  if (ec) {
    Enqueue(pipe, "", true);
    return;
  }
  std::string data(pipe.buf.data(), n);
  const bool to_caller = pipe.direction == Direction::kToCaller;
  const bool last = to_caller && InjectFault(&data);
  (to_caller ? counts_->bytes_to_caller : counts_->bytes_to_target) +=
      static_cast<std::int64_t>(data.size());
  Enqueue(pipe, std::move(data), last);
  if (!last) Read(pipe);
}

bool Relay::InjectFault(std::string* data) {
  if (faults_->drop_answers > 0) {
    --faults_->drop_answers;
    ++counts_->faults;
    data->clear();
    return true;
  }
  if (faults_->truncate > 0) {
    --faults_->truncate;
    ++counts_->faults;
    data->resize(data->size() / 2);
    return true;
  }
  if (faults_->corrupt > 0) {
    --faults_->corrupt;
    ++counts_->faults;
    const auto index = core::base::RandomBelow(faults_->random, data->size());
    (*data)[index] = static_cast<char>((*data)[index] ^ kCorruptionMask);
  }
  return false;
}

void Relay::Enqueue(Pipe& pipe, std::string data, bool last) {
  const auto due = std::chrono::steady_clock::now() + faults_->delay;
  pipe.chunks.push_back({due, std::move(data), last});
  if (!pipe.writing) Write(pipe);
}

void Relay::Write(Pipe& pipe) {
  if (closed_ || pipe.chunks.empty()) return;
  pipe.writing = true;
  pipe.timer.expires_at(pipe.chunks.front().due);
  const auto send = [self = shared_from_this(),
                     &pipe](const boost::system::error_code& ec) {
    if (ec || self->closed_) return;
    if (self->IsSilenced(pipe)) {
      pipe.silenced = true;
      pipe.chunks.clear();
      pipe.writing = false;
      return;
    }
    asio::async_write(
        *pipe.sink, asio::buffer(pipe.chunks.front().data),
        [self, &pipe](const boost::system::error_code& ec, std::size_t) {
          self->OnWritten(pipe, ec);
        });
  };
  if (pipe.chunks.front().due <= std::chrono::steady_clock::now()) {
    send({});
  } else {
    pipe.timer.async_wait(send);
  }
}

void Relay::OnWritten(Pipe& pipe, const boost::system::error_code& ec) {
  if (closed_) return;
  const bool last = pipe.chunks.front().last;
  pipe.chunks.pop_front();
  pipe.writing = false;
  if (ec || last) {
    Close();
    return;
  }
  Write(pipe);
  Read(pipe);
}

}  // namespace dogwoodrail::standin
