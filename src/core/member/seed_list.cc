#include "core/member/seed_list.h"

#include <utility>

namespace dogwoodrail::core::member {
namespace {

constexpr std::size_t kMaxRequestsPerSeed = 8;
// Maximum number of seeds checked in one call, to bound its run time in a large
// fleet.
constexpr std::size_t kMaxChecksPerCall = 256;

bool IsLive(const MemberStore& store, const base::NodeAddress& address) {
  const Member* member = store.Find(address);
  return member != nullptr && member->record.IsLive();
}

}  // namespace

void SeedList::Reset(const std::vector<base::NodeAddress>& seeds,
                     const base::NodeAddress& self) {
  candidates_.clear();
  for (const base::NodeAddress& it : seeds) {
    if (it != self) candidates_.push_back({it, 0});
  }
}

std::optional<base::NodeAddress> SeedList::NextUndiscovered(
    const MemberStore& store, base::Random* random) {
  for (std::size_t it = 0; it < kMaxChecksPerCall && !candidates_.empty();
       ++it) {
    const std::size_t index = base::RandomBelow(*random, candidates_.size());
    if (IsLive(store, candidates_[index].address)) {
      RemoveAt(index);
      continue;
    }
    const base::NodeAddress address = candidates_[index].address;
    if (++candidates_[index].requests == kMaxRequestsPerSeed) RemoveAt(index);
    return address;
  }
  return std::nullopt;
}

void SeedList::RemoveAt(std::size_t index) {
  std::swap(candidates_[index], candidates_.back());
  candidates_.pop_back();
}

}  // namespace dogwoodrail::core::member
