#ifndef DOGWOODRAIL_WIRE_FRAME_TYPE_H_
#define DOGWOODRAIL_WIRE_FRAME_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace dogwoodrail::wire {

using Bytes = std::vector<std::uint8_t>;

// Type of a frame or datagram. Each kind has its own FlatBuffers root type.
// Values must fit in one byte.
enum class FrameKind : std::uint8_t {
  kHello = 1,
  kPing = 2,
  kPong = 3,
  kClosing = 4,
  kCall = 10,
  kAnswer = 11,
  kCancel = 12,
  kMember = 20,
  kSpread = 30,
  kShard = 40,
  kRate = 50,
  kOnce = 60,
  kPoison = 70,
};

constexpr std::uint8_t kProtocolVersion = 1;
// Size of the version and kind bytes.
constexpr std::size_t kFramePrefixBytes = 2;
constexpr std::size_t kFrameLengthBytes = 4;
// Maximum frame size without the length field. Fits an 8 MiB body with its
// headers.
constexpr std::size_t kMaxFrameBytes = 9U * std::size_t{1024} * 1024;

// Frames of this size or less are received whatever memory there is.
constexpr std::size_t kSmallFrameBytes = std::size_t{64} * 1024;
// Size of the payload of a truncated frame.
constexpr std::size_t kTruncatedPayloadBytes = 1024;

// Decoded frame.
struct Frame {
  FrameKind kind;
  Bytes payload;
  // The payload is only the beginning: there was no memory for all of it.
  bool is_truncated = false;
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_FRAME_TYPE_H_
