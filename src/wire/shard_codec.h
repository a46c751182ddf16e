#ifndef DOGWOODRAIL_WIRE_SHARD_CODEC_H_
#define DOGWOODRAIL_WIRE_SHARD_CODEC_H_

#include "core/base/error_type.h"
#include "core/shard/shard_type.h"
#include "wire/frame_type.h"
#include "wire/shard_generated.h"

namespace dogwoodrail::wire {

// Encodes a message between shard tables as a complete frame.
Bytes EncodeShard(const core::shard::ShardMessage& message);
// Decodes and validates a frame payload.
core::base::Result<core::shard::ShardMessage> DecodeShard(const Bytes& payload);

// Encode and decode the address and incarnation of a node within a message.
flatbuffers::Offset<fbs::MemberName> AddMember(
    flatbuffers::FlatBufferBuilder& fbb, const core::shard::MemberId& member);
core::shard::MemberId ReadMember(const fbs::MemberName& member);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_SHARD_CODEC_H_
