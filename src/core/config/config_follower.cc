#include "core/config/config_follower.h"

#include <algorithm>

namespace dogwoodrail::core::config {
namespace {

constexpr std::uint32_t kMaxDoublings = 8;

}  // namespace

ConfigFollower::ConfigFollower(const FollowSettings& settings,
                               std::uint64_t seed)
    : settings_(settings), random_(seed) {}

std::optional<FollowCall> ConfigFollower::Next(base::TimePoint now) {
  if (call_ || now < next_at_) return std::nullopt;
  FollowCall call;
  if (revision_) {
    call.watch = true;
    call.after = *revision_;
    call.wait = settings_.watch_wait;
  }
  call_ = call;
  sent_at_ = now;
  return call;
}

// An answer proves what was in force when it was made. That was not before the
// call, and for a watch that waited to its end not before the wait was over.
void ConfigFollower::OnResult(FollowResult result, StoreRevision revision,
                              base::TimePoint now) {
  if (!call_) return;
  const FollowCall call = *call_;
  call_.reset();
  if (result == FollowResult::kFailed) return Fail(now);
  failures_ = 0;
  next_at_ = now;
  if (result == FollowResult::kHistoryGone) {
    revision_.reset();
    return;
  }
  const bool waited =
      result == FollowResult::kUnchanged && now - sent_at_ >= call.wait;
  const base::TimePoint made_at = waited ? sent_at_ + call.wait : sent_at_;
  confirmed_at_ = confirmed_ ? std::max(confirmed_at_, made_at) : made_at;
  confirmed_ = true;
  revision_ = revision;
}

// Half of the pause is random, so that the nodes that an outage has brought
// into step do not ask all at once when it ends.
void ConfigFollower::Fail(base::TimePoint now) {
  const std::uint32_t doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  const base::Duration pause =
      std::min(settings_.retry_min * (1U << doublings), settings_.retry_max);
  const auto half = static_cast<std::uint64_t>(pause.count() / 2);
  next_at_ =
      now + pause / 2 + base::Duration(base::RandomBelow(random_, half + 1));
}

void ConfigFollower::OnSuspended(base::Duration time) { confirmed_at_ -= time; }

bool ConfigFollower::IsFresh(base::TimePoint now) const {
  return confirmed_ && now - confirmed_at_ < settings_.key_lease;
}

}  // namespace dogwoodrail::core::config
