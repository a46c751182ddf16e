#ifndef DOGWOODRAIL_CORE_MEMBER_MEMBER_MESSAGE_TYPE_H_
#define DOGWOODRAIL_CORE_MEMBER_MEMBER_MESSAGE_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "core/member/member_type.h"

namespace dogwoodrail::core::member {

// Kind of a membership datagram.
enum class MessageKind : std::uint8_t {
  kPing,
  kAck,
  kPingRequest,  // asks the receiver to probe `target`
  kNack,         // the target of a ping request did not answer
  kGossip,       // records and rumours only
  kSyncZones,    // digests of all zones known to the sender
  kSyncBuckets,  // bucket digests of one zone
  kSyncRecords,  // records of differing buckets
  kSyncAnswer,   // number of differing zones
};

// Digest of the live members of one zone.
struct ZoneDigest {
  base::ZoneName zone;
  std::uint64_t digest = 0;
};

// Membership datagram. Each carries the sender's own record and, within the
// size limit, queued records and rumours. A comment on a field lists the kinds
// of messages that use it.
struct MemberMessage {
  MessageKind kind = MessageKind::kGossip;
  MemberRecord sender;
  std::uint64_t sequence = 0;          // of a request; echoed by the answer
  base::NodeAddress target;            // kPingRequest, kNack
  std::vector<MemberRecord> records;   // any kind
  std::vector<Rumour> rumours;         // any kind
  std::vector<ZoneDigest> zones;       // kSyncZones
  base::ZoneName bucket_zone;          // kSyncBuckets
  std::vector<std::uint64_t> buckets;  // kSyncBuckets
  bool reply_wanted = false;           // kSyncBuckets
  std::uint32_t differing_zones = 0;   // kSyncAnswer
  bool confirmed = false;  // kSyncAnswer: sender's view is confirmed
};

// Datagram to send.
struct SendMemberMessage {
  base::NodeAddress to;
  MemberMessage message;
};

// Action that the node has to carry out.
using MemberAction = std::variant<SendMemberMessage, MemberNotice>;

// Returns an upper bound on the bytes of a record or rumour in a datagram.
std::size_t EstimateBytes(const MemberRecord& record);
std::size_t EstimateBytes(const Rumour& rumour);

// Returns an upper bound on the bytes of a datagram, including the IP and UDP
// headers.
std::size_t EstimateBytes(const MemberMessage& message);

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_MEMBER_MESSAGE_TYPE_H_
