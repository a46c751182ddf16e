#ifndef DOGWOODRAIL_CORE_MEMBER_PEER_CHOICE_H_
#define DOGWOODRAIL_CORE_MEMBER_PEER_CHOICE_H_

#include "core/base/random_type.h"
#include "core/member/member_store.h"

namespace dogwoodrail::core::member {

// Where a peer lies as seen from this node.
enum class Proximity { kZone, kRegion, kRemote };

// Returns a random live member other than this node: in its zone, in another
// zone of its region, or in another region. Invalid if there is none.
MemberIndex PickPeer(const MemberStore& store, const MemberSelf& self,
                     Proximity nearness, base::Random* random);

// Returns a random live member of the named zone; invalid if there is none.
MemberIndex PickInZone(const MemberStore& store, const MemberSelf& self,
                       const base::ZoneName& zone, base::Random* random);

// As PickPeer, and falls back to the next nearer or farther place.
MemberIndex PickPeerWithFallback(const MemberStore& store,
                                 const MemberSelf& self, Proximity nearness,
                                 base::Random* random);

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_PEER_CHOICE_H_
