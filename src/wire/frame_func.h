#ifndef DOGWOODRAIL_WIRE_FRAME_FUNC_H_
#define DOGWOODRAIL_WIRE_FRAME_FUNC_H_

#include <flatbuffers/flatbuffers.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "core/base/error_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Encodes a frame for TCP: length, version, kind and payload.
Bytes EncodeFrame(FrameKind kind, const std::uint8_t* payload,
                  std::size_t payload_bytes);

// Encodes the buffer of a finished builder as a frame for TCP.
Bytes EncodeFrame(FrameKind kind, const flatbuffers::FlatBufferBuilder& fbb);

// Encodes a UDP datagram: version, kind and payload, without a length.
Bytes EncodeDatagram(FrameKind kind, const flatbuffers::FlatBufferBuilder& fbb);

// Decodes a UDP datagram.
core::base::Result<Frame> DecodeDatagram(const std::uint8_t* data,
                                         std::size_t size);

// Returns the FlatBuffers root of a payload, or nullptr if verification fails.
template <typename Table>
const Table* VerifiedRoot(const Bytes& payload) {
  flatbuffers::Verifier verifier(payload.data(), payload.size());
  if (!verifier.VerifyBuffer<Table>(nullptr)) return nullptr;
  return flatbuffers::GetRoot<Table>(payload.data());
}

// Splits a byte stream into frames.
class FrameDecoder {
 public:
  // Returns true if there is memory for a frame of a size.
  using RoomCheck = std::function<bool(std::size_t bytes)>;

  // Sets the check that is made once for each frame above kSmallFrameBytes. A
  // frame for which there is no memory is received truncated.
  void SetRoomCheck(RoomCheck check) { has_room_ = std::move(check); }
  // Appends received bytes.
  void Append(const std::uint8_t* data, std::size_t size);

  // Returns the next complete frame, or nullopt if more bytes are needed. The
  // connection must be closed after an error.
  core::base::Result<std::optional<Frame>> Next();

 private:
  void BeginFrame(std::size_t length);
  void ReleaseBuffer();

  RoomCheck has_room_;
  Bytes buffer_;
  std::size_t consumed_ = 0;
  // Of the frame that is being received; empty until its length is known.
  std::optional<std::size_t> kept_bytes_;
  std::size_t bytes_to_drop_ = 0;  // still to be received
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_FRAME_FUNC_H_
