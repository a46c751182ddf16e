#ifndef DOGWOODRAIL_TESTS_UNIT_COMMON_FAKE_PLATFORM_H_
#define DOGWOODRAIL_TESTS_UNIT_COMMON_FAKE_PLATFORM_H_

#include <cstdint>
#include <map>

#include "core/shard/shard_type.h"

namespace dogwoodrail::test {

// In-memory store of shard records with versions and conditional writes.
class FakePlatform {
 public:
  // Returns the answer to a read. A stale read returns the value before the
  // last write.
  core::shard::ShardPlatformAnswer Read(core::shard::ShardIndex shard,
                                        bool stale) {
    ++reads;
    core::shard::ShardPlatformAnswer answer;
    answer.shard = shard;
    const auto it = objects_.find(shard.value());
    const bool absent =
        it == objects_.end() || (stale && it->second.old_version == 0);
    if (absent) {
      answer.outcome = core::shard::PlatformOutcome::kAbsent;
      return answer;
    }
    answer.outcome = core::shard::PlatformOutcome::kFound;
    const Object& object = it->second;
    answer.version =
        core::shard::RecordVersion(stale ? object.old_version : object.version);
    answer.record = stale ? object.old_record : object.record;
    return answer;
  }

  // Applies a conditional write and returns its answer.
  core::shard::ShardPlatformAnswer Write(
      const core::shard::WriteShardRecord& write) {
    ++writes;
    core::shard::ShardPlatformAnswer answer;
    answer.shard = write.record.shard;
    Object& object = objects_[write.record.shard.value()];
    if (object.version != write.if_version.value()) {
      answer.outcome = core::shard::PlatformOutcome::kConflict;
      answer.version = core::shard::RecordVersion(object.version);
      return answer;
    }
    object.old_version = object.version;
    object.old_record = object.record;
    object.version += 3;
    object.record = write.record;
    answer.outcome = core::shard::PlatformOutcome::kWritten;
    answer.version = core::shard::RecordVersion(object.version);
    answer.record = write.record;
    return answer;
  }

  std::uint64_t reads = 0;
  std::uint64_t writes = 0;

 private:
  struct Object {
    std::uint64_t version = 0;
    core::shard::ShardRecord record;
    std::uint64_t old_version = 0;
    core::shard::ShardRecord old_record;
  };
  std::map<std::uint32_t, Object> objects_;
};

}  // namespace dogwoodrail::test

#endif  // DOGWOODRAIL_TESTS_UNIT_COMMON_FAKE_PLATFORM_H_
