#include "core/member/seed_list.h"

#include <utility>

namespace dogwoodrail::core::member {
namespace {

constexpr std::size_t kMostAsked = 8;
// Seeds looked at in one call, which bounds its time in a large fleet.
constexpr std::size_t kMostChecks = 256;

bool IsLive(const MemberStore& store, const base::NodeAddress& address) {
  const Member* member = store.Find(address);
  return member != nullptr && member->record.IsLive();
}

}  // namespace

void SeedList::Reset(const std::vector<base::NodeAddress>& seeds,
                     const base::NodeAddress& self) {
  unmet_.clear();
  for (const base::NodeAddress& it : seeds) {
    if (it != self) unmet_.push_back({it, 0});
  }
}

std::optional<base::NodeAddress> SeedList::NextUnmet(const MemberStore& store,
                                                     base::Random* random) {
  for (std::size_t it = 0; it < kMostChecks && !unmet_.empty(); ++it) {
    const std::size_t index = base::RandomBelow(*random, unmet_.size());
    if (IsLive(store, unmet_[index].address)) {
      RemoveAt(index);
      continue;
    }
    const base::NodeAddress address = unmet_[index].address;
    if (++unmet_[index].asked == kMostAsked) RemoveAt(index);
    return address;
  }
  return std::nullopt;
}

void SeedList::RemoveAt(std::size_t index) {
  std::swap(unmet_[index], unmet_.back());
  unmet_.pop_back();
}

}  // namespace dogwoodrail::core::member
