#include "core/config/config_follower.h"

#include <algorithm>

#include "core/base/backoff_func.h"

namespace dogwoodrail::core::config {
namespace {

// The store answers such a watch at once; stores may not take a wait of zero.
constexpr base::Duration kShortWait = std::chrono::milliseconds(1);
// The store keeps its history for a limited time. An older revision is likely
// gone, so a watch from it would cost a second call.
constexpr base::Duration kMaxRevisionAge = std::chrono::seconds(10);

}  // namespace

ConfigFollower::ConfigFollower(const FollowSettings& settings,
                               std::uint64_t seed)
    : settings_(settings), random_(seed) {}

std::optional<FollowCall> ConfigFollower::Next(StoreUse use,
                                               base::TimePoint now) {
  if (use == StoreUse::kNone || call_ || now < next_at_) return std::nullopt;
  use_ = use;
  FollowCall call;
  if (revision_ && now - revision_at_ < kMaxRevisionAge) {
    call.watch = true;
    call.after = *revision_;
    call.wait = use == StoreUse::kWatch ? settings_.watch_wait : kShortWait;
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
  Confirm(timed_out ? sent_at_ + call.wait : sent_at_);
  revision_ = revision;
  revision_at_ = now;
}

void ConfigFollower::Confirm(base::TimePoint time) {
  confirmed_at_ = confirmed_ ? std::max(confirmed_at_, time) : time;
  confirmed_ = true;
}

void ConfigFollower::ScheduleRetry(base::TimePoint now) {
  const base::Duration longest = use_ == StoreUse::kWatch
                                     ? settings_.retry_max
                                     : settings_.confirm_retry_max;
  next_at_ = now + base::BackoffDelay(failures_, settings_.retry_min, longest,
                                      random_);
  ++failures_;
}

void ConfigFollower::OnSuspended(base::Duration time) { confirmed_at_ -= time; }

bool ConfigFollower::IsFresh(base::TimePoint now) const {
  return confirmed_ && now - confirmed_at_ < settings_.key_lease;
}

}  // namespace dogwoodrail::core::config
