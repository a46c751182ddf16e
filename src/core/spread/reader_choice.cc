#include "core/spread/reader_choice.h"

#include <algorithm>
#include <array>

#include "core/base/hash_func.h"
#include "core/member/peer_choice.h"

namespace dogwoodrail::core::spread {
namespace {

constexpr std::uint64_t kReaderSalt = 0x636f6e666967;  // "config"

std::uint64_t ReaderRank(std::uint64_t address_hash) {
  return base::MixHash(address_hash, kReaderSalt);
}

}  // namespace

bool IsPlatformReader(const member::MemberStore& store,
                      const base::NodeAddress& self,
                      const base::RegionName& region, std::size_t count) {
  const std::uint64_t own = ReaderRank(base::StableHash(self.value()));
  std::size_t lower = 0;
  for (const member::ZoneGroup& zone : store.zones()) {
    if (zone.region != region) continue;
    for (const member::MemberIndex it : zone.live) {
      const member::Member* member = store.Find(it);
      // Suspected members don't count, so that a replacement reader starts
      // before the failure is confirmed.
      if (member->record.state != member::MemberState::kAlive) continue;
      if (ReaderRank(member->address_hash) < own) ++lower;
      if (lower >= count) return false;
    }
  }
  return true;
}

PeerView MakePeerView(const member::MemberTable& table,
                      const SpreadSettings& settings, base::Random* random) {
  using member::Proximity;
  constexpr std::array kWanted = {Proximity::kZone, Proximity::kZone,
                                  Proximity::kRegion, Proximity::kRegion,
                                  Proximity::kRemote};
  PeerView view;
  const member::MemberSelf& self = table.self();
  const member::MemberStore& store = table.store();
  view.is_reader =
      table.IsConfirmed() && IsPlatformReader(store, self.address, self.region,
                                              settings.readers_per_region);
  for (const Proximity it : kWanted) {
    const member::MemberIndex index =
        member::PickPeerWithFallback(store, self, it, random);
    if (!index.IsValid()) continue;
    const base::NodeAddress& address = store.Find(index)->record.address;
    const auto found = std::find(view.peers.begin(), view.peers.end(), address);
    if (found == view.peers.end()) view.peers.push_back(address);
  }
  return view;
}

namespace {

// Nodes of the zone that relay to the others, at least a reader and a second.
constexpr std::size_t kMinRelays = 2;

// Place of a node among the relays of its zone.
struct RankedZone {
  std::vector<const member::Member*> relays;  // the first is the reader
  std::size_t own_position = 0;               // of this node
};

// Ranks the nodes of a zone that may relay.
RankedZone RankZone(const member::MemberStore& store,
                    const member::ZoneGroup& zone, std::uint64_t own_hash,
                    const RelaySettings& settings,
                    const ExclusionCheck& is_excluded) {
  std::vector<const member::Member*> members;
  for (const member::MemberIndex it : zone.live) {
    const member::Member* member = store.Find(it);
    if (member->record.state != member::MemberState::kAlive) continue;
    if (!is_excluded(member->record.address)) members.push_back(member);
  }
  const auto has_lower_rank = [](const member::Member* a,
                                 const member::Member* b) {
    return ReaderRank(a->address_hash) < ReaderRank(b->address_hash);
  };
  RankedZone result;
  result.own_position = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const auto* it) {
        return ReaderRank(it->address_hash) < ReaderRank(own_hash);
      }));
  const std::size_t relays = std::min(
      members.size(), std::max(kMinRelays, members.size() / settings.fanout));
  std::partial_sort(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(relays),
                    members.end(), has_lower_rank);
  members.resize(relays);
  result.relays = std::move(members);
  return result;
}

// Returns the zones of the region after `own` in the cyclic order of names.
std::vector<const member::ZoneGroup*> ZonesAfter(
    const member::MemberStore& store, const member::MemberSelf& self) {
  std::vector<const member::ZoneGroup*> zones;
  for (const member::ZoneGroup& it : store.zones()) {
    const bool other = it.region == self.region && it.zone != self.zone;
    if (other && !it.live.empty()) zones.push_back(&it);
  }
  std::sort(zones.begin(), zones.end(), [&](const auto* a, const auto* b) {
    const bool a_wraps = a->zone < self.zone;
    const bool b_wraps = b->zone < self.zone;
    return a_wraps != b_wraps ? b_wraps : a->zone < b->zone;
  });
  return zones;
}

// Adds the reader of the n-th zone after this node's own.
void AddReaderOfZoneAfter(const member::MemberStore& store,
                          const member::MemberSelf& self, std::size_t n,
                          const RelaySettings& settings,
                          const ExclusionCheck& is_excluded, RelayView* view) {
  const auto zones = ZonesAfter(store, self);
  if (zones.empty()) return;
  const member::ZoneGroup& zone = *zones[std::min(n, zones.size() - 1)];
  const RankedZone ranked = RankZone(store, zone, 0, settings, is_excluded);
  if (ranked.relays.empty()) return;
  const base::NodeAddress& reader = ranked.relays.front()->record.address;
  const auto known =
      std::find(view->sources.begin(), view->sources.end(), reader);
  if (known == view->sources.end()) view->sources.push_back(reader);
}

}  // namespace

// The reader of a zone has sources in two other zones and the second relay in
// one, so that the loss of one reader leaves every node with a source.
RelayView MakeRelayView(const member::MemberStore& store,
                        const member::MemberSelf& self,
                        const RelaySettings& settings,
                        const ExclusionCheck& is_excluded) {
  RelayView view;
  const member::ZoneGroup* zone = store.FindZone(self.zone);
  if (!settings.enabled || zone == nullptr) return view;
  const RankedZone ranked =
      RankZone(store, *zone, base::StableHash(self.address.value()), settings,
               is_excluded);
  const std::size_t position = ranked.own_position;
  view.is_reader = position == 0;
  if (position == 0) {
    AddReaderOfZoneAfter(store, self, 0, settings, is_excluded, &view);
    AddReaderOfZoneAfter(store, self, 1, settings, is_excluded, &view);
    return view;
  }
  const auto add_relay = [&](std::size_t n) {
    view.sources.push_back(ranked.relays[n]->record.address);
  };
  const std::size_t relays = ranked.relays.size();
  if (position == 1) {
    add_relay(0);
    AddReaderOfZoneAfter(store, self, 1, settings, is_excluded, &view);
  } else if (position < relays) {
    add_relay(0);
    add_relay(1);
  } else {
    add_relay(position % relays);
    add_relay((position + 1) % relays);
  }
  return view;
}

std::vector<base::NodeAddress> ChooseWitnesses(const member::MemberStore& store,
                                               const member::MemberSelf& self,
                                               std::size_t count,
                                               base::Random* random) {
  std::vector<base::NodeAddress> witnesses;
  for (std::size_t it = 0; it < count; ++it) {
    const auto proximity =
        it % 2 == 0 ? member::Proximity::kZone : member::Proximity::kRegion;
    const member::MemberIndex index =
        member::PickPeerWithFallback(store, self, proximity, random);
    if (!index.IsValid()) continue;
    const base::NodeAddress& address = store.Find(index)->record.address;
    const auto found = std::find(witnesses.begin(), witnesses.end(), address);
    if (found == witnesses.end()) witnesses.push_back(address);
  }
  return witnesses;
}

}  // namespace dogwoodrail::core::spread
