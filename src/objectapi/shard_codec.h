#ifndef DOGWOODRAIL_OBJECTAPI_SHARD_CODEC_H_
#define DOGWOODRAIL_OBJECTAPI_SHARD_CODEC_H_

#include <string>

#include "core/base/error_type.h"
#include "core/shard/shard_type.h"
#include "objectapi/object_type.h"

namespace dogwoodrail::objectapi {

// Returns the object key of a shard's record.
ObjectKey ShardKey(core::shard::ShardIndex shard);

// Encode and decode a shard record as the JSON text stored in the Object API.
std::string WriteShardRecord(const core::shard::ShardRecord& record);
core::base::Result<core::shard::ShardRecord> ReadShardRecord(
    core::shard::ShardIndex shard, const std::string& text);

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_SHARD_CODEC_H_
