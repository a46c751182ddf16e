#include "wire/frame_func.h"

#include <algorithm>
#include <string>

namespace dogwoodrail::wire {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;

// Decodes version, kind and payload, i.e. a frame without its length field.
core::base::Result<Frame> DecodeBody(const std::uint8_t* data,
                                     std::size_t size) {
  if (size < kFramePrefixBytes) {
    return MakeError(ErrorCode::kCorrupt,
                     "frame too short for version and kind");
  }
  if (data[0] != kProtocolVersion) {
    return MakeError(ErrorCode::kCorrupt,
                     "unknown protocol version " + std::to_string(data[0]));
  }
  Frame frame;
  frame.kind = static_cast<FrameKind>(data[1]);
  frame.payload.assign(data + kFramePrefixBytes, data + size);
  return frame;
}

// Appends version, kind and payload.
void AppendBody(Bytes& out, FrameKind kind, const std::uint8_t* payload,
                std::size_t payload_bytes) {
  out.push_back(kProtocolVersion);
  out.push_back(static_cast<std::uint8_t>(kind));
  out.insert(out.end(), payload, payload + payload_bytes);
}

}  // namespace

Bytes EncodeFrame(FrameKind kind, const std::uint8_t* payload,
                  std::size_t payload_bytes) {
  const std::size_t length = kFramePrefixBytes + payload_bytes;
  Bytes out;
  out.reserve(kFrameLengthBytes + length);
  for (std::size_t it = 0; it < kFrameLengthBytes; ++it) {
    out.push_back(static_cast<std::uint8_t>(length >> (8U * it)));
  }
  AppendBody(out, kind, payload, payload_bytes);
  return out;
}

Bytes EncodeFrame(FrameKind kind, const flatbuffers::FlatBufferBuilder& fbb) {
  return EncodeFrame(kind, fbb.GetBufferPointer(), fbb.GetSize());
}

Bytes EncodeDatagram(FrameKind kind,
                     const flatbuffers::FlatBufferBuilder& fbb) {
  Bytes out;
  out.reserve(kFramePrefixBytes + fbb.GetSize());
  AppendBody(out, kind, fbb.GetBufferPointer(), fbb.GetSize());
  return out;
}

core::base::Result<Frame> DecodeDatagram(const std::uint8_t* data,
                                         std::size_t size) {
  return DecodeBody(data, size);
}

void FrameDecoder::Append(const std::uint8_t* data, std::size_t size) {
  // Consumed bytes are removed here instead of in Next(), so that a read with
  // many small frames moves the remaining bytes only once.
  buffer_.erase(buffer_.begin(),
                buffer_.begin() + static_cast<std::ptrdiff_t>(consumed_));
  consumed_ = 0;
  if (bytes_to_drop_ > 0) {
    const std::size_t wanted = kFrameLengthBytes + *kept_bytes_;
    const std::size_t kept = std::min(size, wanted - buffer_.size());
    buffer_.insert(buffer_.end(), data, data + kept);
    const std::size_t dropped = std::min(size - kept, bytes_to_drop_);
    bytes_to_drop_ -= dropped;
    data += kept + dropped;
    size -= kept + dropped;
  }
  buffer_.insert(buffer_.end(), data, data + size);
}

core::base::Result<std::optional<Frame>> FrameDecoder::Next() {
  const std::size_t available = buffer_.size() - consumed_;
  if (available < kFrameLengthBytes) return std::nullopt;
  const std::uint8_t* start = buffer_.data() + consumed_;
  std::size_t length = 0;
  for (std::size_t it = 0; it < kFrameLengthBytes; ++it) {
    length |= static_cast<std::size_t>(start[it]) << (8U * it);
  }
  if (length < kFramePrefixBytes || length > kMaxFrameBytes) {
    return MakeError(ErrorCode::kCorrupt,
                     "invalid frame length " + std::to_string(length));
  }
  if (!kept_bytes_) BeginFrame(length);
  if (buffer_.size() - consumed_ < kFrameLengthBytes + *kept_bytes_ ||
      bytes_to_drop_ > 0) {
    return std::nullopt;
  }
  auto frame =
      DecodeBody(buffer_.data() + consumed_ + kFrameLengthBytes, *kept_bytes_);
  if (!frame) return tl::make_unexpected(frame.error());
  frame->is_truncated = *kept_bytes_ < length;
  consumed_ += kFrameLengthBytes + *kept_bytes_;
  kept_bytes_.reset();
  if (consumed_ == buffer_.size()) ReleaseBuffer();
  return std::optional<Frame>(std::move(*frame));
}

// Decides how much of a frame is kept, and drops what has come beyond that.
void FrameDecoder::BeginFrame(std::size_t length) {
  const bool has_room =
      length <= kSmallFrameBytes || !has_room_ || has_room_(length);
  kept_bytes_ = has_room ? length : kFramePrefixBytes + kTruncatedPayloadBytes;
  const std::size_t dropped = length - *kept_bytes_;
  const std::size_t begin = consumed_ + kFrameLengthBytes + *kept_bytes_;
  const std::size_t received =
      begin < buffer_.size() ? std::min(dropped, buffer_.size() - begin) : 0;
  const auto first = buffer_.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(begin, buffer_.size()));
  buffer_.erase(first, first + static_cast<std::ptrdiff_t>(received));
  bytes_to_drop_ = dropped - received;
}

// A node has a link to most others; what a large frame took must not stay with
// each of them.
void FrameDecoder::ReleaseBuffer() {
  consumed_ = 0;
  buffer_.clear();
  if (buffer_.capacity() > 2 * kSmallFrameBytes) Bytes().swap(buffer_);
}

}  // namespace dogwoodrail::wire
