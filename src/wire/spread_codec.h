#ifndef DOGWOODRAIL_WIRE_SPREAD_CODEC_H_
#define DOGWOODRAIL_WIRE_SPREAD_CODEC_H_

#include <variant>

#include "core/base/error_type.h"
#include "core/spread/spread_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Message between nodes about the configuration in force.
using SpreadMessage =
    std::variant<core::spread::PeerQuery, core::spread::PeerAnswer>;

// Encode a query or an answer as a complete frame.
Bytes EncodeSpread(const core::spread::PeerQuery& query);
Bytes EncodeSpread(const core::spread::PeerAnswer& answer);

// Decodes and validates a frame payload.
core::base::Result<SpreadMessage> DecodeSpread(const Bytes& payload);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_SPREAD_CODEC_H_
