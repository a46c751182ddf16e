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

}  // namespace dogwoodrail::core::spread
