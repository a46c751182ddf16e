#ifndef DOGWOODRAIL_NODE_SHARD_SYSTEM_H_
#define DOGWOODRAIL_NODE_SHARD_SYSTEM_H_

#include <functional>
#include <vector>

#include "core/base/event_type.h"
#include "core/shard/shard_table.h"
#include "wire/links.h"

namespace dogwoodrail::node {

// Connects the shard table of this node to the links, the platform and the
// users of the shards.
class ShardSystem {
 public:
  using TimePoint = core::base::TimePoint;
  using Listener =
      std::function<void(const core::shard::ShardAction&, TimePoint)>;
  // Starts a platform operation; its result is passed to OnPlatformAnswer().
  using PlatformPort = std::function<void(const core::shard::ShardAction&)>;

  ShardSystem(const core::shard::ShardSettings& settings,
              core::shard::Member self, wire::Links& links,
              core::base::EventSink emit, TimePoint now);

  // Sets the port that reads and writes shard records.
  void SetPlatform(PlatformPort port) { platform_port_ = std::move(port); }
  // Adds a listener for gained and lost authority and for changes of standbys
  // and owners.
  void AddListener(Listener listener);

  // Handles a frame from another node.
  void OnFrame(wire::LinkId from, const wire::Bytes& payload, TimePoint now);
  // Handles the result of a platform operation.
  void OnPlatformAnswer(const core::shard::ShardPlatformAnswer& answer,
                        TimePoint now);
  // Updates the list of nodes that are believed to be up.
  void OnMembers(const std::vector<core::shard::Member>& members);
  // Runs the timers of the shard table, at most once in 20 ms.
  void Tick(TimePoint now);
  // Starts to hand over all shards to their standbys.
  void BeginStop(TimePoint now);
  // True if this node has authority over no shard any more.
  bool IsStopped(TimePoint now) const;

  core::shard::ShardTable& table() { return table_; }
  const core::shard::ShardTable& table() const { return table_; }
  const core::shard::MemberId& self() const { return self_; }

 private:
  void ExecuteActions(const core::shard::ShardActions& actions, TimePoint now);
  void EmitEvent(const core::shard::ShardAction& action);

  core::shard::MemberId self_;
  core::shard::ShardTable table_;
  wire::Links& links_;
  core::base::EventSink emit_;
  PlatformPort platform_port_;
  std::vector<Listener> listeners_;
  TimePoint last_tick_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SHARD_SYSTEM_H_
