#include "core/config/config_follower.h"

#include <algorithm>

#include "core/base/backoff_func.h"

namespace dogwoodrail::core::config {
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

void ConfigFollower::Fail(base::TimePoint now) {
  next_at_ = now + base::BackoffDelay(failures_, settings_.retry_min,
                                      settings_.retry_max, random_);
  ++failures_;
}

void ConfigFollower::OnSuspended(base::Duration time) { confirmed_at_ -= time; }

bool ConfigFollower::IsFresh(base::TimePoint now) const {
  return confirmed_ && now - confirmed_at_ < settings_.key_lease;
}

}  // namespace dogwoodrail::core::config
