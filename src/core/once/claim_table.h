#ifndef DOGWOODRAIL_CORE_ONCE_CLAIM_TABLE_H_
#define DOGWOODRAIL_CORE_ONCE_CLAIM_TABLE_H_

#include <deque>
#include <functional>
#include <unordered_map>

#include "core/once/claim_base.h"
#include "core/once/once_type.h"

namespace dogwoodrail::core::once {

// Returns true if this node may act as owner of the shard in the epoch at the
// given time.
using AuthorityCheck = std::function<bool(ShardIndex, Epoch, TimePoint)>;

// Owner's and standby's side of at-most-once execution. Decides which call may
// run the request of an idempotency key. A key is granted to a second call only
// after the first one released it as not run.
class ClaimTable {
 public:
  ClaimTable(OnceSettings settings, AuthorityCheck has_authority);
  virtual ~ClaimTable() = default;

  // Handles a claim. The grant is sent once the standby holds a copy.
  ClaimMessages OnClaim(const MemberId& from, const ClaimRequest& request,
                        TimePoint now, WallTime wall);
  // Records the outcome of a granted call.
  ClaimMessages OnOutcome(const MemberId& from, const ClaimOutcome& outcome,
                          TimePoint now);
  // As standby: stores a copy and acknowledges it.
  ClaimMessages OnCopy(const MemberId& from, const ClaimCopy& copy,
                       TimePoint now);
  // As owner: sends the grant that waits for this acknowledgement.
  ClaimMessages OnCopyAck(const MemberId& from, const ClaimCopyAck& ack,
                          TimePoint now);

  // Handles this node's becoming the owner of the shard.
  ClaimMessages OnAuthorityGained(ShardIndex shard, Epoch epoch,
                                  shard::History history, TimePoint now,
                                  WallTime wall);
  // Handles this node's loss of the shard.
  void OnAuthorityLost(ShardIndex shard);
  // Starts copying to another standby, or stops copying if there is none.
  ClaimMessages OnStandbyChanged(ShardIndex shard, Epoch epoch,
                                 const std::optional<MemberId>& standby,
                                 TimePoint now);

  // Resends unacknowledged copies and removes expired claims.
  ClaimMessages Tick(TimePoint now, WallTime wall);

  // Returns the number of claims held, over all shards.
  std::size_t claim_count() const { return claim_count_; }
  // Returns the total size of the stored answers in bytes.
  std::size_t answer_bytes() const { return answer_bytes_; }

 protected:
  // Safety rules. Virtual so that tests can show that each is needed.
  virtual bool MayAct(ShardIndex index, const ClaimShard& shard,
                      TimePoint now) const;
  virtual bool WaitsForCopyAck() const;
  virtual bool AcceptsCopy(const ClaimShard& shard,
                           const ClaimCopy& copy) const;
  virtual bool IsCopyComplete(const ClaimShard& shard, Epoch epoch) const;
  virtual void MergeGap(ClaimShard& shard, const ClaimCopy& copy) const;

 private:
  struct StoredAnswer {
    ShardIndex shard;
    ClaimId id;
  };

  // claim_table.cc
  std::optional<ClaimVerdict> CheckCreationTime(const ClaimId& id,
                                                WallTime wall) const;
  ClaimVerdict CheckKnownClaim(ClaimShard& shard, Claim& claim,
                               const ClaimRequest& request,
                               TimePoint now) const;
  ClaimVerdict CheckRequest(ClaimShard& shard, const ClaimRequest& request,
                            TimePoint now, WallTime wall) const;
  void StoreClaim(ClaimShard& shard, const ClaimRequest& request,
                  TimePoint now);
  void ApplyOutcome(ShardIndex index, Claim& claim,
                    const ClaimOutcome& outcome);
  void AddExpiry(ClaimShard& shard, const ClaimId& id);
  void StoreAnswer(ShardIndex index, const ClaimId& id, Claim& claim,
                   const std::string& answer);
  void DropOldestAnswer();
  void RemoveExpiredClaims(ClaimShard& shard, WallTime wall);

  // claim_copy.cc
  ClaimRecord MakeRecord(const ClaimId& id, const Claim& claim,
                         TimePoint now) const;
  void SendCopy(ShardIndex index, ClaimShard& shard, std::uint64_t sequence,
                TimePoint now, ClaimMessages* out) const;
  void CopyClaim(ShardIndex index, ClaimShard& shard, const ClaimId& id,
                 const std::optional<MemberId>& grant_to, TimePoint now,
                 ClaimMessages* out);
  void Grant(ShardIndex index, ClaimShard& shard, const PendingCopy& pending,
             TimePoint now, ClaimMessages* out) const;
  void SendSnapshotBatch(ShardIndex index, ClaimShard& shard, TimePoint now,
                         ClaimMessages* out) const;
  void StartNextSnapshotBatch(ShardIndex index, ClaimShard& shard,
                              TimePoint now, ClaimMessages* out) const;
  void ApplyRecord(ShardIndex index, ClaimShard& shard,
                   const ClaimRecord& record, TimePoint now);
  void ResendCopies(ShardIndex index, ClaimShard& shard, TimePoint now,
                    ClaimMessages* out) const;

  OnceSettings settings_;
  AuthorityCheck has_authority_;
  std::unordered_map<ShardIndex, ClaimShard> shards_;
  std::size_t claim_count_ = 0;
  std::size_t answer_bytes_ = 0;
  std::deque<StoredAnswer> answers_;  // oldest first
  WallTime latest_wall_time_{};
};

}  // namespace dogwoodrail::core::once

#endif  // DOGWOODRAIL_CORE_ONCE_CLAIM_TABLE_H_
