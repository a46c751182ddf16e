#ifndef DOGWOODRAIL_WIRE_MEMBER_CODEC_H_
#define DOGWOODRAIL_WIRE_MEMBER_CODEC_H_

#include "core/base/error_type.h"
#include "core/member/member_message_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Encodes a membership message as a datagram. Skips records without a valid
// "ip:port" address. Returns kInvalidArgument if the address of the sender is
// invalid.
core::base::Result<Bytes> EncodeMember(
    const core::member::MemberMessage& message);

// Decodes and validates the payload of a membership datagram.
core::base::Result<core::member::MemberMessage> DecodeMember(
    const Bytes& payload);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_MEMBER_CODEC_H_
