#ifndef DOGWOODRAIL_WIRE_RATE_CODEC_H_
#define DOGWOODRAIL_WIRE_RATE_CODEC_H_

#include <variant>

#include "core/base/error_type.h"
#include "core/rate/rate_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Message between nodes about rate limits.
using RateMessage = std::variant<core::rate::RateRequest, core::rate::RateReply,
                                 core::rate::RateCopy, core::rate::RateCopyAck>;

// Message with the process that it is addressed to. Incarnation 0 addresses any
// process.
struct AddressedRateMessage {
  core::base::Incarnation to;
  RateMessage message;
};

// Encodes a message as a complete frame.
Bytes EncodeRate(const AddressedRateMessage& message);
// Decodes and validates a frame payload.
core::base::Result<AddressedRateMessage> DecodeRate(const Bytes& payload);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_RATE_CODEC_H_
