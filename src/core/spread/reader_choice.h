#ifndef DOGWOODRAIL_CORE_SPREAD_READER_CHOICE_H_
#define DOGWOODRAIL_CORE_SPREAD_READER_CHOICE_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "core/base/random_type.h"
#include "core/member/member_table.h"
#include "core/spread/spread_type.h"

namespace dogwoodrail::core::spread {

// Returns true if `self` reads the platform for its region: it is among the
// `count` live members of the region with the lowest rendezvous hash.
bool IsPlatformReader(const member::MemberStore& store,
                      const base::NodeAddress& self,
                      const base::RegionName& region, std::size_t count);

// Builds the membership view for SpreadControl. A node whose membership view is
// not confirmed is never a reader.
PeerView MakePeerView(const member::MemberTable& table,
                      const SpreadSettings& settings, base::Random* random);

// Returns true for nodes that are not to be relied on at the moment.
using ExclusionCheck = std::function<bool(const base::NodeAddress&)>;

// Builds the view for ProofRelay: the place of this node in the relay of its
// zone. All nodes with the same membership choose the same readers.
RelayView MakeRelayView(const member::MemberStore& store,
                        const member::MemberSelf& self,
                        const RelaySettings& settings,
                        const ExclusionCheck& is_excluded);

// Returns up to `count` random live members, of this zone and of others.
std::vector<base::NodeAddress> ChooseWitnesses(const member::MemberStore& store,
                                               const member::MemberSelf& self,
                                               std::size_t count,
                                               base::Random* random);

}  // namespace dogwoodrail::core::spread

#endif  // DOGWOODRAIL_CORE_SPREAD_READER_CHOICE_H_
