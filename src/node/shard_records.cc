#include "node/shard_records.h"

#include <variant>

#include "node/node_base.h"
#include "objectapi/shard_codec.h"

namespace dogwoodrail::node {

using core::base::ErrorCode;
using core::shard::PlatformOutcome;
using core::shard::ReadShardRecord;
using core::shard::RecordVersion;
using core::shard::ShardIndex;
using core::shard::ShardPlatformAnswer;
using core::shard::WriteShardRecord;

namespace {

ShardPlatformAnswer Read(objectapi::ObjectStore& store, ShardIndex shard) {
  ShardPlatformAnswer answer;
  answer.shard = shard;
  const auto object = store.Get(objectapi::ShardKey(shard));
  if (!object) {
    if (object.error().code == ErrorCode::kNotFound) {
      answer.outcome = PlatformOutcome::kAbsent;
    }
    return answer;
  }
  const auto record = objectapi::ReadShardRecord(shard, object->value);
  if (!record) return answer;
  answer.outcome = PlatformOutcome::kFound;
  answer.version = RecordVersion(object->version.value());
  answer.record = *record;
  return answer;
}

ShardPlatformAnswer Write(objectapi::ObjectStore& store,
                          const WriteShardRecord& write) {
  ShardPlatformAnswer answer;
  answer.shard = write.record.shard;
  const auto version =
      store.PutIf(objectapi::ShardKey(write.record.shard),
                  objectapi::WriteShardRecord(write.record),
                  objectapi::ObjectVersion(write.if_version.value()));
  if (version) {
    answer.outcome = PlatformOutcome::kWritten;
    answer.version = RecordVersion(version->value());
    answer.record = write.record;
  } else if (version.error().code == ErrorCode::kConflict) {
    answer.outcome = PlatformOutcome::kConflict;
  }
  return answer;
}

}  // namespace

ShardRecords::ShardRecords(Node& node, PlatformWorker& worker)
    : node_(node), worker_(worker) {}

// If the table retries while the previous operation still waits for a worker
// thread, the retry fails at once: a second operation must not be queued.
void ShardRecords::Start(const core::shard::ShardAction& action) {
  const auto* write = std::get_if<WriteShardRecord>(&action);
  const auto* read = std::get_if<ReadShardRecord>(&action);
  if (write == nullptr && read == nullptr) return;
  const ShardIndex shard = write ? write->record.shard : read->shard;
  if (!shards_in_progress_.insert(shard).second) {
    node_.Post([this, shard] {
      ShardPlatformAnswer failed;
      failed.shard = shard;
      node_.shards().OnPlatformAnswer(failed, Node::Now());
    });
    return;
  }
  worker_.Submit(
      [this, &node = node_, action, shard](objectapi::ObjectStore& store) {
        const auto* w = std::get_if<WriteShardRecord>(&action);
        const auto answer = w ? Write(store, *w) : Read(store, shard);
        node.Post([this, answer] { OnAnswer(answer); });
      });
}

void ShardRecords::OnAnswer(const ShardPlatformAnswer& answer) {
  shards_in_progress_.erase(answer.shard);
  node_.shards().OnPlatformAnswer(answer, Node::Now());
}

}  // namespace dogwoodrail::node
