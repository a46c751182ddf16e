#ifndef DOGWOODRAIL_CORE_SHARD_SHARD_TABLE_H_
#define DOGWOODRAIL_CORE_SHARD_SHARD_TABLE_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "core/shard/shard_base.h"
#include "core/shard/shard_type.h"

namespace dogwoodrail::core::shard {

// Decides which node may act for each shard. At most one node has authority for
// a shard at any time, even if messages are lost or late or nodes are paused.
class ShardTable {
 public:
  ShardTable(ShardSettings settings, Member self, TimePoint now);
  virtual ~ShardTable() = default;

  // Returns the number of shards.
  std::uint32_t shard_count() const { return settings_.shard_count; }
  // Returns the shard that a key belongs to.
  ShardIndex ShardFor(std::string_view key) const;
  // Returns true if this node may act for the shard at `now`.
  bool HasAuthority(ShardIndex shard, TimePoint now) const;
  // Returns the epoch that this node acts in; 0 if it has no authority.
  Epoch AuthorityEpoch(ShardIndex shard, TimePoint now) const;
  // Returns the standby that the payload is copied to; nullopt if this node has
  // no authority or acts without a standby.
  std::optional<MemberId> CurrentStandby(ShardIndex shard, TimePoint now) const;
  // Returns the owner in the newest epoch that this node knows of.
  std::optional<MemberId> KnownPrimary(ShardIndex shard) const;
  // Returns the newest epoch that this node knows of; 0 if none.
  Epoch KnownEpoch(ShardIndex shard) const;
  // Returns the newest record that this node knows of.
  const std::optional<ShardRecord>& KnownRecord(ShardIndex shard) const;
  // Returns the number of shards that this node may act for.
  std::size_t AuthorityCount(TimePoint now) const;

  // Handles a message from another node.
  ShardActions OnMessage(const MemberId& from, const ShardMessage& message,
                         TimePoint now);
  // Handles the platform's answer to a read or write of this table.
  ShardActions OnPlatformAnswer(const ShardPlatformAnswer& answer,
                                TimePoint now);
  // Replaces the list of live nodes. This node may be missing from it.
  void OnMembers(const std::vector<Member>& members);
  // Makes Tick look up the owner, which is unknown or did not answer.
  void RequestOwner(ShardIndex shard, TimePoint now);
  // Sends due messages, reads and writes. To be called periodically.
  ShardActions Tick(TimePoint now);
  // Starts to hand all shards over to their standbys.
  ShardActions BeginStop(TimePoint now);

 protected:
  // How long a standby and a successor wait for another node's lease to expire.
  // Virtual so that tests can show that the waits are needed.
  virtual Duration PairWait() const;
  virtual Duration WitnessLeaseWait() const;

 private:
  enum class Mode : std::uint8_t { kNone, kPair, kSolo };

  // shard_table.cc
  Mode AuthorityMode(const ShardEntry& entry, TimePoint now) const;
  bool IsPrimary(const ShardEntry& entry) const;
  bool IsStandby(const ShardEntry& entry) const;
  bool IsPreviousIncarnation(const MemberId& member) const;
  std::optional<MemberId> Peer(const ShardEntry& entry) const;
  bool HasWitnessMajority(const ShardEntry& entry,
                          const std::vector<TimePoint>& from,
                          TimePoint now) const;
  void AdoptRecord(ShardEntry* entry, const ShardRecord& record,
                   RecordVersion version, TimePoint now);
  void ReportChanges(ShardEntry* entry, TimePoint now);
  void Send(const MemberId& to, ShardMessage message, TimePoint now);
  void Dispatch(ShardEntry* entry, const MemberId& from,
                const ShardMessage& message, TimePoint now);
  ShardMessage MakeMessage(ShardMessageKind kind,
                           const ShardEntry& entry) const;
  ShardActions TakeActions();

  // shard_pair.cc
  void OnRenew(ShardEntry* entry, const MemberId& from,
               const ShardMessage& message, TimePoint now);
  void OnRenewAck(ShardEntry* entry, const MemberId& from,
                  const ShardMessage& message);
  void OnHandOver(ShardEntry* entry, const MemberId& from,
                  const ShardMessage& message, TimePoint now);
  void OnReleaseRequest(ShardEntry* entry, const MemberId& from,
                        const ShardMessage& message, TimePoint now);
  void OnRelease(ShardEntry* entry, const MemberId& from,
                 const ShardMessage& message);
  void TickPrimary(ShardEntry* entry, TimePoint now);
  void TickStandby(ShardEntry* entry, TimePoint now);
  void SendHandOver(ShardEntry* entry, TimePoint now);
  void RelinquishShard(ShardEntry* entry, TimePoint now);

  // shard_witness.cc
  void OnWitnessLeaseRequest(ShardEntry* entry, const MemberId& from,
                             const ShardMessage& message, TimePoint now);
  void OnWitnessLeaseReply(ShardEntry* entry, const MemberId& from,
                           const ShardMessage& message, TimePoint now);
  void OnSealRequest(ShardEntry* entry, const MemberId& from,
                     const ShardMessage& message, TimePoint now);
  void OnSeal(ShardEntry* entry, const MemberId& from,
              const ShardMessage& message, TimePoint now);
  void TickWitnessLeases(ShardEntry* entry, TimePoint now);

  // shard_platform.cc
  bool MayWriteNextRecord(const ShardEntry& entry) const;
  std::vector<Member> EligibleMembers(TimePoint now) const;
  ShardRecord NextRecord(const ShardEntry& entry, TimePoint now) const;
  bool WantsNewRecord(const ShardEntry& entry, TimePoint now) const;
  Duration WitnessSilenceLimit(const ShardEntry& entry, TimePoint now) const;
  bool IsDegraded(const ShardEntry& entry, TimePoint now);
  void ReadRecord(ShardEntry* entry, TimePoint now);
  void WriteRecord(ShardEntry* entry, ShardRecord record,
                   RecordVersion if_version, History history, TimePoint now);
  void WriteNextRecord(ShardEntry* entry, TimePoint now);
  void ResolveWrite(ShardEntry* entry, const ShardRecord& record,
                    RecordVersion version, TimePoint now);
  void OnRecordFound(ShardEntry* entry, const ShardPlatformAnswer& answer,
                     TimePoint now);
  void TickPlatform(ShardEntry* entry, TimePoint now);
  bool MayRefresh(const ShardEntry& entry, TimePoint now) const;

  // shard_successor.cc
  bool IsPairReplaced(const ShardEntry& entry) const;
  bool IsPeerReplaced(const ShardEntry& entry) const;
  void RefreshRankings();
  std::optional<std::size_t> CandidateRank(const ShardEntry& entry) const;
  void TickCandidate(ShardEntry* entry, TimePoint now);
  void CreateRecord(ShardEntry* entry, TimePoint now);
  void QueryOwner(const ShardEntry& entry, TimePoint now);
  void TickSuccessor(ShardEntry* entry, TimePoint now);
  void SealPreviousIncarnation(ShardEntry* entry, TimePoint now);
  bool SuccessorMayWrite(const ShardEntry& entry, TimePoint now) const;
  void OnOwnerQuery(ShardEntry* entry, const MemberId& from,
                    const ShardMessage& message, TimePoint now);
  void OnOwner(ShardEntry* entry, const MemberId& from,
               const ShardMessage& message, TimePoint now);
  void DetectReplacedProcess(ShardEntry* entry, const MemberId& from,
                             const ShardMessage& message, TimePoint now);
  void TickLookup(ShardEntry* entry, TimePoint now);

  ShardSettings settings_;
  Member self_;
  TimePoint started_;
  bool stopping_ = false;
  std::vector<Member> members_;
  std::uint64_t member_list_version_ = 1;  // incremented on each change
  std::size_t next_to_rank_ = 0;
  std::map<base::NodeAddress, TimePoint> avoid_until_;
  std::vector<ShardEntry> entries_;
  ShardActions actions_;
};

}  // namespace dogwoodrail::core::shard

#endif  // DOGWOODRAIL_CORE_SHARD_SHARD_TABLE_H_
