#ifndef DOGWOODRAIL_CORE_MEMBER_PEER_CHOICE_H_
#define DOGWOODRAIL_CORE_MEMBER_PEER_CHOICE_H_

#include "core/base/random_type.h"
#include "core/member/member_store.h"

namespace dogwoodrail::core::member {

// Location of a peer relative to this node: same zone, another zone of the same
// region, or another region.
enum class Proximity { kZone, kRegion, kRemote };

// Returns a random live member with the given proximity, other than this node.
// May return an invalid index even if there is one, as the number of attempts
// to avoid this node is limited.
MemberIndex PickPeer(const MemberStore& store, const MemberSelf& self,
                     Proximity proximity, base::Random* random);

// Like PickPeer, for the members of the given zone.
MemberIndex PickInZone(const MemberStore& store, const MemberSelf& self,
                       const base::ZoneName& zone, base::Random* random);

// Like PickPeer, but falls back to this node's zone, then its region, then
// other regions.
MemberIndex PickPeerWithFallback(const MemberStore& store,
                                 const MemberSelf& self, Proximity proximity,
                                 base::Random* random);

// Like PickPeer, for all live members alike.
MemberIndex PickAnyPeer(const MemberStore& store, const MemberSelf& self,
                        base::Random* random);

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_PEER_CHOICE_H_
