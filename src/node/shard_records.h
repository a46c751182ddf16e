#ifndef DOGWOODRAIL_NODE_SHARD_RECORDS_H_
#define DOGWOODRAIL_NODE_SHARD_RECORDS_H_

#include <set>

#include "core/shard/shard_type.h"
#include "node/platform_worker.h"

namespace dogwoodrail::node {

class Node;

// Reads and writes shard records in the object store of the platform, with at
// most one operation at a time per shard.
class ShardRecords {
 public:
  ShardRecords(Node& node, PlatformWorker& worker);

  // Starts a read or write; other actions are ignored. Called on the thread of
  // the event loop.
  void Start(const core::shard::ShardAction& action);

 private:
  void OnAnswer(const core::shard::ShardPlatformAnswer& answer);

  Node& node_;
  PlatformWorker& worker_;
  std::set<core::shard::ShardIndex> shards_in_progress_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SHARD_RECORDS_H_
