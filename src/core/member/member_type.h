#ifndef DOGWOODRAIL_CORE_MEMBER_MEMBER_TYPE_H_
#define DOGWOODRAIL_CORE_MEMBER_MEMBER_TYPE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/pool_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::member {

// State of a node. Within one version of a record, a higher value overrides a
// lower one.
enum class MemberState : std::uint8_t {
  kAlive,
  kSuspect,  // did not answer probes; fails unless it refutes the suspicion
  kFailed,
  kLeft,  // stopped as planned
};

// Phase of the backend server beside a node.
enum class BackendPhase : std::uint8_t {
  kNone,  // never announced
  kStarting,
  kReady,
  kDraining,
  kGone,  // its announcement expired
};

// State of the backend server beside a node, as announced by that node.
struct BackendState {
  base::ServiceName service;
  BackendPhase phase = BackendPhase::kNone;
  std::uint16_t slots = 0;

  friend bool operator==(const BackendState& a, const BackendState& b) {
    return a.service == b.service && a.phase == b.phase && a.slots == b.slots;
  }
  friend bool operator!=(const BackendState& a, const BackendState& b) {
    return !(a == b);
  }
};

// Replicated record of a node. Only the node itself raises the version; other
// nodes may raise the state within a version.
struct MemberRecord {
  base::NodeAddress address;
  base::Incarnation incarnation;
  std::uint64_t version = 0;
  base::ZoneName zone;
  base::RegionName region;
  MemberState state = MemberState::kAlive;
  std::uint32_t accuser = 0;  // hash of the node that suspects it
  BackendState backend;

  // Returns true if the node is alive or suspected.
  bool IsLive() const { return state <= MemberState::kSuspect; }
};

// Identity of this node, fixed when it starts.
struct MemberSelf {
  base::NodeAddress address;
  base::Incarnation incarnation;
  // Wall time in ms, so that each restart begins with a higher version.
  std::uint64_t first_version = 1;
  base::ZoneName zone;
  base::RegionName region;
};

// Kind of a rumour; one for each module that sends rumours.
enum class RumourKind : std::uint8_t {
  kConfigurationNumber,
  kPoisonSuspect,
};

constexpr std::size_t kMaxRumourBytes = 128;

// Small versioned value of another module that is gossiped to every node. The
// highest version of a (kind, key) pair wins.
struct Rumour {
  RumourKind kind = RumourKind::kConfigurationNumber;
  std::uint64_t key = 0;
  std::uint64_t version = 0;
  std::string bytes;
};

// Kind of a change to a member.
enum class NoticeKind : std::uint8_t {
  kJoined,
  kRestarted,  // same address with a new incarnation
  kSuspected,
  kRefuted,
  kFailed,
  kLeft,
  kBackendChanged,
  kViewConfirmed,  // the record is this node's own
  kPaused,         // this node resumed after a pause; the record is its own
};

// Notice of a change to a member, with its record after the change.
struct MemberNotice {
  NoticeKind kind;
  MemberRecord record;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_MEMBER_TYPE_H_
