#include "core/member/peer_choice.h"

#include <array>

namespace dogwoodrail::core::member {
namespace {

constexpr int kTries = 4;  // to avoid picking this node itself

bool Matches(const ZoneGroup& zone, const MemberSelf& self,
             Proximity nearness) {
  if (zone.zone == self.zone) return nearness == Proximity::kZone;
  if (zone.region == self.region) return nearness == Proximity::kRegion;
  return nearness == Proximity::kRemote;
}

MemberIndex PickFrom(const MemberStore& store, const MemberSelf& self,
                     const ZoneGroup& zone, base::Random* random) {
  if (zone.live.empty()) return {};
  for (int it = 0; it < kTries; ++it) {
    const MemberIndex index =
        zone.live[base::RandomBelow(*random, zone.live.size())];
    if (store.Find(index)->record.address != self.address) return index;
  }
  return {};
}

}  // namespace

MemberIndex PickPeer(const MemberStore& store, const MemberSelf& self,
                     Proximity nearness, base::Random* random) {
  std::size_t total = 0;
  for (const ZoneGroup& zone : store.zones()) {
    if (Matches(zone, self, nearness)) total += zone.live.size();
  }
  if (total == 0) return {};
  std::size_t turn = base::RandomBelow(*random, total);
  for (const ZoneGroup& zone : store.zones()) {
    if (!Matches(zone, self, nearness)) continue;
    if (turn < zone.live.size()) return PickFrom(store, self, zone, random);
    turn -= zone.live.size();
  }
  return {};
}

MemberIndex PickInZone(const MemberStore& store, const MemberSelf& self,
                       const base::ZoneName& zone, base::Random* random) {
  const ZoneGroup* group = store.FindZone(zone);
  return group == nullptr ? MemberIndex{}
                          : PickFrom(store, self, *group, random);
}

MemberIndex PickPeerWithFallback(const MemberStore& store,
                                 const MemberSelf& self, Proximity nearness,
                                 base::Random* random) {
  MemberIndex index = PickPeer(store, self, nearness, random);
  constexpr std::array kOrder = {Proximity::kZone, Proximity::kRegion,
                                 Proximity::kRemote};
  for (const Proximity it : kOrder) {
    if (index.IsValid()) return index;
    index = PickPeer(store, self, it, random);
  }
  return index;
}

}  // namespace dogwoodrail::core::member
