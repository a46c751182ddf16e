#include "core/rate/grantor_assignment.h"

#include <algorithm>
#include <utility>

#include "core/shard/shard_func.h"

namespace dogwoodrail::core::rate {
namespace {

// Time for which a node that is no longer seen may still serve on the other
// side of a cut. It is longer than any lease on keys there.
constexpr Duration kRecentTime = std::chrono::seconds(15);

}  // namespace

GrantorAssignment::GrantorAssignment(std::uint32_t shard_count,
                                     shard::Member self)
    : self_(std::move(self)), homes_(shard_count, self_.id) {
  members_.push_back(self_);
}

std::vector<ShardIndex> GrantorAssignment::OnMembers(
    std::vector<shard::Member> others, TimePoint now) {
  now_ = now;
  others.push_back(self_);
  for (const shard::Member& it : others) last_seen_[it.id.address] = now;
  for (auto it = last_seen_.begin(); it != last_seen_.end();) {
    const bool old = now - it->second > kRecentTime;
    it = old ? last_seen_.erase(it) : std::next(it);
  }
  if (listed_ == 0 || (started_ && others == members_)) return {};
  members_ = std::move(others);
  std::vector<ShardIndex> gained;
  for (std::size_t it = 0; it < homes_.size(); ++it) {
    const ShardIndex shard(static_cast<std::uint32_t>(it));
    const MemberId home = shard::RankMembers(shard, members_).front().id;
    const bool gain = home == self_.id && (!started_ || homes_[it] != home);
    if (gain) gained.push_back(shard);
    homes_[it] = home;
  }
  started_ = true;
  return gained;
}

std::optional<MemberId> GrantorAssignment::GrantorOf(ShardIndex shard) const {
  if (!started_) return std::nullopt;
  return homes_.at(shard.value());
}

bool GrantorAssignment::IsGrantor(ShardIndex shard) const {
  return GrantorOf(shard) == self_.id;
}

void GrantorAssignment::OnDirectory(std::size_t nodes, TimePoint now) {
  listed_ = std::max<std::size_t>(nodes, 1);
  listed_until_ = now + kRecentTime;
}

std::size_t GrantorAssignment::recent_count() const {
  const std::size_t listed = now_ < listed_until_ ? listed_ : 0;
  return std::max({last_seen_.size(), listed, std::size_t{1}});
}

double GrantorAssignment::LiveShare() const {
  return static_cast<double>(members_.size()) /
         static_cast<double>(recent_count());
}

}  // namespace dogwoodrail::core::rate
