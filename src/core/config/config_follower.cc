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

// A response confirms the configuration as of the time when the store created
// it: not before the call was sent, and for a watch that timed out, not before
// its wait was over.
void ConfigFollower::OnResult(FollowResult result, StoreRevision revision,
                              base::TimePoint now) {
  if (!call_) return;
  const FollowCall call = *call_;
  call_.reset();
  if (result == FollowResult::kFailed) return ScheduleRetry(now);
  failures_ = 0;
  next_at_ = now;
  if (result == FollowResult::kHistoryGone) {
    revision_.reset();
    return;
  }
  const bool timed_out =
      result == FollowResult::kUnchanged && now - sent_at_ >= call.wait;
  const base::TimePoint created_at =
      timed_out ? sent_at_ + call.wait : sent_at_;
  confirmed_at_ = confirmed_ ? std::max(confirmed_at_, created_at) : created_at;
  confirmed_ = true;
  revision_ = revision;
}

void ConfigFollower::ScheduleRetry(base::TimePoint now) {
  next_at_ = now + base::BackoffDelay(failures_, settings_.retry_min,
                                      settings_.retry_max, random_);
  ++failures_;
}

void ConfigFollower::OnSuspended(base::Duration time) { confirmed_at_ -= time; }

bool ConfigFollower::IsFresh(base::TimePoint now) const {
  return confirmed_ && now - confirmed_at_ < settings_.key_lease;
}

}  // namespace dogwoodrail::core::config
