#ifndef DOGWOODRAIL_WIRE_SPREAD_CODEC_H_
#define DOGWOODRAIL_WIRE_SPREAD_CODEC_H_

#include <variant>

#include "core/base/error_type.h"
#include "core/spread/spread_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

using SpreadMessage =
    std::variant<core::spread::PeerQuery, core::spread::PeerAnswer>;

// Returns a question or an answer as a frame.
Bytes EncodeSpread(const core::spread::PeerQuery& ask);
Bytes EncodeSpread(const core::spread::PeerAnswer& answer);

// Parses the payload of such a frame.
core::base::Result<SpreadMessage> DecodeSpread(const Bytes& payload);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_SPREAD_CODEC_H_
