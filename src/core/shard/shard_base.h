#ifndef DOGWOODRAIL_CORE_SHARD_SHARD_BASE_H_
#define DOGWOODRAIL_CORE_SHARD_SHARD_BASE_H_

#include <optional>
#include <vector>

#include "core/shard/shard_type.h"

namespace dogwoodrail::core::shard {

// Sentinel that is earlier than any time a clock shows.
constexpr TimePoint kNever{Duration{-1'000'000'000'000'000}};

// Lease that this node has granted as a witness of a shard.
struct WitnessState {
  Epoch epoch;
  MemberId holder;
  Epoch sealed;  // no lease is granted for this epoch or a lower one
};

// Takeover through the platform by a node outside the recorded pair, or by a
// member of the pair that holds no lease.
struct SuccessorState {
  bool active = false;
  Epoch sealed_epoch;
  RecordVersion version;
  TimePoint started = kNever;
  TimePoint next_send = kNever;
  std::vector<TimePoint> sealed_at;  // one entry per witness of the record
};

// Reads and writes of a shard's record at the platform; at most one is in
// flight.
struct PlatformState {
  enum class Operation : std::uint8_t { kNone, kRead, kWrite };
  Operation operation = Operation::kNone;
  TimePoint sent = kNever;
  TimePoint next = kNever;
  TimePoint last_answer = kNever;  // newest sign that the platform works
  // Record of a write whose outcome is unknown, and when a write of that epoch
  // was first sent.
  std::optional<ShardRecord> unresolved;
  TimePoint unresolved_since = kNever;
  int retry_factor = 1;
  History history_on_success = History::kKept;
};

// State of one shard at this node.
struct ShardEntry {
  ShardIndex shard;
  std::optional<ShardRecord> record;
  RecordVersion version;
  TimePoint record_learned = kNever;  // when this node learned of the record
  bool absent = false;                // the platform has no record

  // Newest solo epoch that this node knows of, and its owner.
  Epoch solo_epoch;
  MemberId solo_owner;

  // Another process now listens on the address of the recorded one.
  bool primary_replaced = false;
  bool standby_replaced = false;

  // State of a member of the recorded pair.
  bool solo_requested = false;  // requests the solo epoch from witnesses
  bool solo_granted = false;    // a majority has granted the solo epoch
  bool relinquished = false;    // neither acts nor acknowledges in this epoch
  bool peer_relinquished = false;
  bool renewal_received = false;  // standby: got a renewal in this epoch
  TimePoint pair_lease_from = kNever;
  TimePoint peer_last_heard = kNever;
  TimePoint peer_clock;  // newest timestamp received from the peer
  TimePoint record_lease_from = kNever;
  // Start of each witness's lease, for the recorded and for the solo epoch.
  std::vector<TimePoint> witness_leases_from;
  std::vector<TimePoint> solo_leases_from;
  TimePoint next_renew = kNever;
  TimePoint next_lease_request = kNever;
  History history = History::kGap;

  // Values last reported through AuthorityGained, AuthorityLost and
  // StandbyChanged.
  bool had_authority = false;
  Epoch reported_epoch;
  std::optional<MemberId> reported_standby;

  // First nodes of the rendezvous order, computed from the member list of this
  // version.
  std::vector<Member> ranked;
  std::uint64_t ranked_list_version = 0;

  WitnessState witness;
  SuccessorState successor;
  PlatformState platform;

  TimePoint owner_last_heard = kNever;
  TimePoint next_owner_poll = kNever;
  TimePoint lookup_until = kNever;
  TimePoint next_lookup = kNever;
  std::uint32_t lookups = 0;
};

}  // namespace dogwoodrail::core::shard

#endif  // DOGWOODRAIL_CORE_SHARD_SHARD_BASE_H_
