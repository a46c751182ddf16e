#ifndef DOGWOODRAIL_CORE_RATE_GRANTOR_ASSIGNMENT_H_
#define DOGWOODRAIL_CORE_RATE_GRANTOR_ASSIGNMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/rate/rate_type.h"

namespace dogwoodrail::core::rate {

// Chooses for each shard of accounts the one live node that grants its rates,
// by rendezvous hashing over the members that this node knows. Nothing is
// recorded or replicated: a node that becomes the home of a shard starts with
// empty ledgers, so that what its predecessor granted is never granted twice.
//
// Where the network is parted, each side has homes of its own. A side grants
// only the share of each rate that its part of the recently seen nodes makes.
class GrantorAssignment {
 public:
  GrantorAssignment(std::uint32_t shard_count, shard::Member self);

  // Takes the other live members; returns the shards that this node has become
  // the home of. Before the directory is known there are no homes: a node that
  // has just started cannot tell how many share the rates with it.
  std::vector<ShardIndex> OnMembers(std::vector<shard::Member> others,
                                    TimePoint now);
  // Takes the number of nodes in the directory: a node that has just started
  // has not seen the others yet.
  void OnDirectory(std::size_t nodes, TimePoint now);
  // Returns the home of a shard, if there is one.
  std::optional<MemberId> GrantorOf(ShardIndex shard) const;
  // True once homes are known.
  bool is_assigned() const { return started_; }
  // True if this node is the home of the shard.
  bool IsGrantor(ShardIndex shard) const;
  // Share of the recently seen nodes that are live in this node's view.
  double LiveShare() const;
  // Number of nodes that were seen of late, this one included.
  std::size_t recent_count() const;

 private:
  shard::Member self_;
  std::vector<MemberId> homes_;  // by shard
  std::vector<shard::Member> members_;
  std::map<base::NodeAddress, TimePoint> last_seen_;
  std::size_t listed_ = 0;
  TimePoint listed_until_;
  TimePoint now_;
  bool started_ = false;
};

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_GRANTOR_ASSIGNMENT_H_
