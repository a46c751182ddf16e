#ifndef DOGWOODRAIL_CORE_SHARD_SHARD_FUNC_H_
#define DOGWOODRAIL_CORE_SHARD_SHARD_FUNC_H_

#include <string_view>
#include <vector>

#include "core/shard/shard_type.h"

namespace dogwoodrail::core::shard {

// Returns the shard that a key belongs to.
ShardIndex ShardOf(std::string_view key, std::uint32_t shard_count);

// Returns the members in rendezvous (highest random weight) order for a shard,
// best first.
std::vector<Member> RankMembers(ShardIndex shard,
                                const std::vector<Member>& members);

// Builds a record with `primary` as owner, a standby in another availability
// zone if possible, and witnesses spread over the availability zones. `keep`
// becomes the standby if it is among the members.
ShardRecord BuildRecord(ShardIndex shard, Epoch epoch, const Member& primary,
                        const std::vector<Member>& members,
                        const std::optional<MemberId>& keep);

// Returns the number of witnesses that form a majority; 0 without witnesses.
std::size_t WitnessMajority(const ShardRecord& record);

// Returns how long to wait on this clock until `lease` has certainly expired on
// another node's clock.
Duration WithMargin(const ShardSettings& settings, Duration lease);

// Returns the lowest recorded (even) epoch above `epoch`.
Epoch NextRecordedEpoch(Epoch epoch);
// Returns the (odd) epoch in which one member of the recorded pair acts without
// the other.
Epoch SoloEpoch(Epoch recorded);

}  // namespace dogwoodrail::core::shard

#endif  // DOGWOODRAIL_CORE_SHARD_SHARD_FUNC_H_
