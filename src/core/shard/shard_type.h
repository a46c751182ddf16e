#ifndef DOGWOODRAIL_CORE_SHARD_SHARD_TYPE_H_
#define DOGWOODRAIL_CORE_SHARD_SHARD_TYPE_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::shard {

using base::Duration;
using base::TimePoint;

// Index of one partition of the key space.
using ShardIndex = base::StrongNumber<struct ShardIndexTag, std::uint32_t>;
// Fencing token of shard ownership. Even: recorded at the platform. Odd (solo
// epoch): one member of the recorded pair acts without the other.
using Epoch = base::StrongNumber<struct EpochTag>;
// Version of an object at the platform; 0 if it does not exist.
using RecordVersion = base::StrongNumber<struct RecordVersionTag>;

// Identifies one process of a node.
struct MemberId {
  base::NodeAddress address;
  base::Incarnation incarnation;

  friend bool operator==(const MemberId& a, const MemberId& b) {
    return a.address == b.address && a.incarnation == b.incarnation;
  }
  friend bool operator!=(const MemberId& a, const MemberId& b) {
    return !(a == b);
  }
  friend bool operator<(const MemberId& a, const MemberId& b) {
    if (a.address != b.address) return a.address < b.address;
    return a.incarnation < b.incarnation;
  }
};

// A node that may own shards.
struct Member {
  MemberId id;
  base::ZoneName zone;

  friend bool operator==(const Member& a, const Member& b) {
    return a.id == b.id && a.zone == b.zone;
  }
};

// Ownership of one shard as stored at the platform.
struct ShardRecord {
  ShardIndex shard;
  Epoch epoch;
  MemberId primary;
  std::optional<MemberId> standby;  // nullopt with a single node
  std::vector<MemberId> witnesses;  // an odd number, or none with few nodes

  friend bool operator==(const ShardRecord& a, const ShardRecord& b) {
    return a.shard == b.shard && a.epoch == b.epoch && a.primary == b.primary &&
           a.standby == b.standby && a.witnesses == b.witnesses;
  }
  friend bool operator!=(const ShardRecord& a, const ShardRecord& b) {
    return !(a == b);
  }
};

// Settings of shard ownership.
struct ShardSettings {
  std::uint32_t shard_count = 64;
  Duration renew_interval = std::chrono::milliseconds(200);
  Duration pair_lease = std::chrono::milliseconds(1000);
  Duration witness_lease_interval = std::chrono::seconds(1);
  Duration witness_lease = std::chrono::seconds(4);
  // Longest time for which an owner acts without a write at the platform.
  Duration record_lease = std::chrono::minutes(90);
  Duration record_refresh = std::chrono::minutes(10);
  // Clock rates of two nodes differ by at most 1/drift_divisor.
  std::int64_t drift_divisor = 100;
  Duration min_margin = std::chrono::milliseconds(50);
  Duration platform_retry = std::chrono::milliseconds(500);
  Duration platform_timeout = std::chrono::seconds(2);
  Duration owner_poll_interval = std::chrono::seconds(1);
  Duration owner_silence = std::chrono::seconds(3);
  Duration start_delay = std::chrono::seconds(1);
  // Extra delay per position in rendezvous order before a takeover.
  Duration candidate_step = std::chrono::milliseconds(700);
  // Time for which an unresponsive node is not chosen for a record.
  Duration avoid_time = std::chrono::seconds(15);
  Duration lookup_interval = std::chrono::milliseconds(300);
};

enum class ShardMessageKind : std::uint8_t {
  kRenew = 1,                // primary to standby
  kRenewAck = 2,             // standby to primary
  kWitnessLeaseRequest = 3,  // owner to witness
  kWitnessLeaseReply = 4,    // witness to owner
  kSealRequest = 5,          // successor to witness
  kSeal = 6,                 // witness to successor
  kHandOver = 7,             // stopping primary to standby
  kReleaseRequest = 8,       // primary to standby
  kRelease = 9,              // standby will not take over in this epoch
  kOwnerQuery = 10,          // any node to any node
  kOwner = 11,               // answer with the sender's newest record
};

// Message between the shard tables of two nodes.
struct ShardMessage {
  ShardMessageKind kind = ShardMessageKind::kOwnerQuery;
  ShardIndex shard;
  Epoch epoch;
  // Process that the message is addressed to. Another process at the same
  // address does not act on it.
  base::Incarnation to_incarnation;
  // Timestamp of the sender's clock, and the receiver's own timestamp returned
  // unchanged.
  TimePoint sent;
  TimePoint echo;
  // kRenew: time since the owner's last write at the platform.
  Duration record_age{0};
  // kOwner: the sender acts as owner in `epoch`. kWitnessLeaseReply: granted.
  bool affirmed = false;
  std::optional<ShardRecord> record;
  RecordVersion version;
};

// How complete a new owner's copy of the previous payload is.
enum class History : std::uint8_t {
  kNone,         // new shard without payload
  kKept,         // complete: this node was the owner before
  kStandbyCopy,  // complete up to what this node acknowledged as standby
  kGap,          // lost or incomplete
};

struct SendShardMessage {
  MemberId to;
  ShardMessage message;
};
struct ReadShardRecord {
  ShardIndex shard;
};
// Conditional write; with version 0 the record must not exist yet.
struct WriteShardRecord {
  ShardRecord record;
  RecordVersion if_version;
};
// This node may act for the shard from now on.
struct AuthorityGained {
  ShardIndex shard;
  Epoch epoch;
  History history;
};
// This node may no longer act for the shard.
struct AuthorityLost {
  ShardIndex shard;
  Epoch epoch;
};
// The owner copies its payload to this standby from now on, or to none.
struct StandbyChanged {
  ShardIndex shard;
  Epoch epoch;
  std::optional<MemberId> standby;
};
// This node learned of a record with a higher epoch.
struct OwnerChanged {
  ShardRecord record;
};

using ShardAction =
    std::variant<SendShardMessage, ReadShardRecord, WriteShardRecord,
                 AuthorityGained, AuthorityLost, StandbyChanged, OwnerChanged>;
using ShardActions = std::vector<ShardAction>;

enum class PlatformOutcome : std::uint8_t {
  kFound,     // read: the record is in the answer
  kAbsent,    // read: no such object
  kWritten,   // write took effect at the version in the answer
  kConflict,  // write rejected: the version differs
  kFailed,    // no answer; a write may have taken effect
};

// The platform's answer to ReadShardRecord or WriteShardRecord.
struct ShardPlatformAnswer {
  ShardIndex shard;
  PlatformOutcome outcome = PlatformOutcome::kFailed;
  RecordVersion version;
  std::optional<ShardRecord> record;
};

}  // namespace dogwoodrail::core::shard

#endif  // DOGWOODRAIL_CORE_SHARD_SHARD_TYPE_H_
