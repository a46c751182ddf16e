#include "core/member/peer_choice.h"

#include <array>

namespace dogwoodrail::core::member {
namespace {

constexpr int kMaxAttempts = 4;  // to pick a member other than this node

bool Matches(const ZoneGroup& zone, const MemberSelf& self,
             Proximity proximity) {
  if (zone.zone == self.zone) return proximity == Proximity::kZone;
  if (zone.region == self.region) return proximity == Proximity::kRegion;
  return proximity == Proximity::kRemote;
}

MemberIndex PickLive(const MemberStore& store, const MemberSelf& self,
                     const ZoneGroup& zone, base::Random* random) {
  if (zone.live.empty()) return {};
  for (int it = 0; it < kMaxAttempts; ++it) {
    const MemberIndex index =
        zone.live[base::RandomBelow(*random, zone.live.size())];
    if (store.Find(index)->record.address != self.address) return index;
  }
  return {};
}

// Picks a live member of the zones for which `matches` is true, all alike.
template <typename Matcher>
MemberIndex PickFromZones(const MemberStore& store, const MemberSelf& self,
                          const Matcher& matches, base::Random* random) {
  std::size_t total = 0;
  for (const ZoneGroup& zone : store.zones()) {
    if (matches(zone)) total += zone.live.size();
  }
  if (total == 0) return {};
  std::size_t offset = base::RandomBelow(*random, total);
  for (const ZoneGroup& zone : store.zones()) {
    if (!matches(zone)) continue;
    if (offset < zone.live.size()) return PickLive(store, self, zone, random);
    offset -= zone.live.size();
  }
  return {};
}

}  // namespace

MemberIndex PickPeer(const MemberStore& store, const MemberSelf& self,
                     Proximity proximity, base::Random* random) {
  const auto matches = [&](const ZoneGroup& zone) {
    return Matches(zone, self, proximity);
  };
  return PickFromZones(store, self, matches, random);
}

MemberIndex PickAnyPeer(const MemberStore& store, const MemberSelf& self,
                        base::Random* random) {
  const auto matches = [](const ZoneGroup&) { return true; };
  return PickFromZones(store, self, matches, random);
}

MemberIndex PickInZone(const MemberStore& store, const MemberSelf& self,
                       const base::ZoneName& zone, base::Random* random) {
  const ZoneGroup* group = store.FindZone(zone);
  return group == nullptr ? MemberIndex{}
                          : PickLive(store, self, *group, random);
}

MemberIndex PickPeerWithFallback(const MemberStore& store,
                                 const MemberSelf& self, Proximity proximity,
                                 base::Random* random) {
  MemberIndex index = PickPeer(store, self, proximity, random);
  constexpr std::array kOrder = {Proximity::kZone, Proximity::kRegion,
                                 Proximity::kRemote};
  for (const Proximity it : kOrder) {
    if (index.IsValid()) return index;
    index = PickPeer(store, self, it, random);
  }
  return index;
}

}  // namespace dogwoodrail::core::member
