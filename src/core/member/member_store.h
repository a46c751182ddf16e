#ifndef DOGWOODRAIL_CORE_MEMBER_MEMBER_STORE_H_
#define DOGWOODRAIL_CORE_MEMBER_MEMBER_STORE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "core/base/pool_type.h"
#include "core/base/random_type.h"
#include "core/member/member_type.h"

namespace dogwoodrail::core::member {

constexpr std::size_t kBucketCount = 64;

// Member with its position in the indexes of MemberStore.
struct Member {
  MemberRecord record;
  std::uint64_t address_hash = 0;
  std::uint32_t zone_slot = 0;      // index in MemberStore::zones()
  std::uint32_t zone_position = 0;  // index in the zone's live or dead list
  base::TimePoint dead_since{};     // only for failed and left members
  bool unreachable = false;         // the last probe across regions failed
};

using MemberIndex = base::PoolIndex<Member>;

// Members of one availability zone, with digests over the live ones.
struct ZoneGroup {
  base::ZoneName zone;
  base::RegionName region;
  std::vector<MemberIndex> live;
  std::vector<MemberIndex> dead;
  std::array<std::uint64_t, kBucketCount> buckets{};

  // Returns the digest of the whole zone.
  std::uint64_t Digest() const;
};

// Result of MemberStore::Apply.
struct RecordChange {
  bool accepted = false;
  bool was_known = false;
  MemberRecord before;  // previous record; only if accepted and was_known
  MemberIndex index;
};

// Table of all members, indexed by address, zone and ready service.
class MemberStore {
 public:
  // Stores the record if it overrides the current one of its address.
  RecordChange Apply(const MemberRecord& record, base::TimePoint now);
  // Removes the failed and left members with a dead_since before `limit`.
  void RemoveDeadBefore(base::TimePoint limit);
  // Removes every member.
  void Clear();

  // Returns the member, or nullptr if it is unknown.
  const Member* Find(const base::NodeAddress& address) const;
  const Member* Find(MemberIndex index) const { return members_.Find(index); }
  // Sets the node that last confirmed the suspicion of a member.
  void SetAccuser(MemberIndex index, std::uint32_t accuser);
  // Sets whether the last probe across regions failed.
  void SetUnreachable(MemberIndex index, bool unreachable);

  // Calls fn for each live member with a ready backend server of the service.
  void ForEachReady(const base::ServiceName& service,
                    const std::function<void(const MemberRecord&)>& fn) const;
  // Calls fn for each member, including dead ones.
  void ForEach(const std::function<void(const MemberRecord&)>& fn) const;

  // Returns all zones seen so far.
  const std::vector<ZoneGroup>& zones() const { return zones_; }
  // Returns the zone, or nullptr if it is unknown.
  const ZoneGroup* FindZone(const base::ZoneName& zone) const;
  // Number of live members.
  std::size_t live_count() const { return live_count_; }

 private:
  ZoneGroup& FindOrAddZone(const MemberRecord& record, std::uint32_t* slot);
  void AddToIndexes(MemberIndex index);
  void RemoveFromIndexes(MemberIndex index);
  std::vector<MemberIndex>& ListOf(const Member& member);

  base::Pool<Member> members_;
  std::unordered_map<base::NodeAddress, MemberIndex> by_address_;
  std::unordered_map<base::ServiceName, std::vector<MemberIndex>> ready_;
  std::vector<ZoneGroup> zones_;
  std::size_t live_count_ = 0;
};

// Returns true if `a` overrides `b`. Both are records of the same address.
bool Overrides(const MemberRecord& a, const MemberRecord& b);

// Returns the bucket of a member within its zone.
std::size_t BucketOf(std::uint64_t address_hash);

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_MEMBER_STORE_H_
