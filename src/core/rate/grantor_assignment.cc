#include "core/rate/grantor_assignment.h"

#include <algorithm>
#include <utility>

#include "core/shard/shard_func.h"

namespace dogwoodrail::core::rate {
namespace {

// A node that was last seen within this time may still be serving on the other
// side of a network partition. Longer than any lease on keys there.
constexpr Duration kRecentWindow = std::chrono::seconds(15);

}  // namespace

GrantorAssignment::GrantorAssignment(std::uint32_t shard_count,
                                     shard::Member self)
    : self_(std::move(self)), grantors_(shard_count, self_.id) {
  members_.push_back(self_);
}

std::vector<ShardIndex> GrantorAssignment::OnMembers(
    std::vector<shard::Member> others, TimePoint now) {
  now_ = now;
  others.push_back(self_);
  for (const shard::Member& it : others) last_seen_[it.id.address] = now;
  for (auto it = last_seen_.begin(); it != last_seen_.end();) {
    const bool old = now - it->second > kRecentWindow;
    it = old ? last_seen_.erase(it) : std::next(it);
  }
  if (directory_size_ == 0 || (assigned_ && others == members_)) return {};
  members_ = std::move(others);
  std::vector<ShardIndex> gained;
  for (std::size_t it = 0; it < grantors_.size(); ++it) {
    const ShardIndex shard(static_cast<std::uint32_t>(it));
    const MemberId grantor = shard::RankMembers(shard, members_).front().id;
    const bool gain =
        grantor == self_.id && (!assigned_ || grantors_[it] != grantor);
    if (gain) gained.push_back(shard);
    grantors_[it] = grantor;
  }
  assigned_ = true;
  return gained;
}

std::optional<MemberId> GrantorAssignment::GrantorOf(ShardIndex shard) const {
  if (!assigned_) return std::nullopt;
  return grantors_.at(shard.value());
}

bool GrantorAssignment::IsGrantor(ShardIndex shard) const {
  return GrantorOf(shard) == self_.id;
}

void GrantorAssignment::OnDirectory(std::size_t nodes, TimePoint now) {
  directory_size_ = std::max<std::size_t>(nodes, 1);
  directory_size_valid_until_ = now + kRecentWindow;
}

std::size_t GrantorAssignment::recent_count() const {
  const std::size_t listed =
      now_ < directory_size_valid_until_ ? directory_size_ : 0;
  return std::max({last_seen_.size(), listed, std::size_t{1}});
}

double GrantorAssignment::LiveShare() const {
  return static_cast<double>(members_.size()) /
         static_cast<double>(recent_count());
}

}  // namespace dogwoodrail::core::rate
