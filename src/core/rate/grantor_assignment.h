#ifndef DOGWOODRAIL_CORE_RATE_GRANTOR_ASSIGNMENT_H_
#define DOGWOODRAIL_CORE_RATE_GRANTOR_ASSIGNMENT_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/rate/rate_type.h"

namespace dogwoodrail::core::rate {

// Assigns each shard of accounts to the live node that grants its rates, by
// rendezvous hashing over the members known to this node. The assignment is
// neither stored nor replicated. A node that becomes the grantor of a shard
// starts with empty ledgers, so it never grants again what its predecessor has
// granted already.
//
// During a network partition each side has grantors of its own. A side grants
// only a part of each rate: its live nodes as a fraction of the recently seen
// nodes.
class GrantorAssignment {
 public:
  GrantorAssignment(std::uint32_t shard_count, shard::Member self);

  // Updates the other live members, and returns the shards that this node has
  // become the grantor of. Assigns nothing until the size of the directory is
  // known: a node that has just started cannot tell how many nodes share the
  // rates.
  std::vector<ShardIndex> OnMembers(std::vector<shard::Member> others,
                                    TimePoint now);
  // Updates the number of nodes in the directory. It stands in for the members
  // that a node which has just started has not seen yet.
  void OnDirectory(std::size_t nodes, TimePoint now);
  // Returns the grantor of a shard; nullopt while nothing is assigned.
  std::optional<MemberId> GrantorOf(ShardIndex shard) const;
  // True once grantors have been assigned.
  bool is_assigned() const { return assigned_; }
  // Returns true if this node is the grantor of the shard.
  bool IsGrantor(ShardIndex shard) const;
  // Returns the fraction of the recently seen nodes that are live.
  double LiveShare() const;
  // Number of recently seen nodes, including this one.
  std::size_t recent_count() const;

 private:
  shard::Member self_;
  std::vector<MemberId> grantors_;  // indexed by shard
  std::vector<shard::Member> members_;
  std::map<base::NodeAddress, TimePoint> last_seen_;
  std::size_t directory_size_ = 0;
  TimePoint directory_size_valid_until_;
  TimePoint now_;
  bool assigned_ = false;
};

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_GRANTOR_ASSIGNMENT_H_
