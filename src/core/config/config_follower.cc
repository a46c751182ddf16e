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
// A call whose response is overdue, and the one that replaces it.
constexpr std::size_t kMaxOpenCalls = 2;

}  // namespace

ConfigFollower::ConfigFollower(const FollowSettings& settings,
                               std::uint64_t seed)
    : settings_(settings),
      random_(seed),
      response_time_(settings.min_response_time) {}

std::optional<FollowCall> ConfigFollower::Next(StoreUse use,
                                               base::TimePoint now) {
  if (use == StoreUse::kNone || now < next_at_) return std::nullopt;
  if (open_calls_.size() >= kMaxOpenCalls) return std::nullopt;
  const bool replaces =
      !open_calls_.empty() && open_calls_.back().call.id > answered_id_;
  const bool awaited = replaces && !IsOverdue(open_calls_.back(), now) &&
                       !IsOfOtherEra(open_calls_.back().call);
  if (awaited) return std::nullopt;
  use_ = use;
  FollowCall call;
  call.id = ++last_id_;
  if (position_ && now - position_at_ < kMaxRevisionAge) {
    // The store may have come back from an older copy after a failure, which
    // only an answer tells.
    const bool is_short =
        replaces || use == StoreUse::kConfirm || failures_ > 0;
    call.watch = true;
    call.after = *position_;
    call.wait = is_short ? kShortWait : settings_.watch_wait;
  }
  open_calls_.push_back({call, now});
  return call;
}

bool ConfigFollower::IsOverdue(const OpenCall& open,
                               base::TimePoint now) const {
  return now - open.sent_at > open.call.wait + response_time_;
}

bool ConfigFollower::IsOfOtherEra(const FollowCall& call) const {
  return call.watch && call.after.era != era_;
}

// Such an answer was on its way while the era changed. A store that states no
// era is none of an older one.
bool ConfigFollower::IsOfOlderEra(const StorePosition& position) const {
  return StoreEra() < position.era && position.era < era_;
}

bool ConfigFollower::IsWatching(base::TimePoint now) const {
  const base::Duration longest = settings_.watch_wait + response_time_;
  return position_ && failures_ == 0 && now - answered_at_ <= longest;
}

std::optional<ConfigFollower::OpenCall> ConfigFollower::TakeCall(
    std::uint64_t id) {
  const auto it = std::find_if(open_calls_.begin(), open_calls_.end(),
                               [id](const auto& o) { return o.call.id == id; });
  if (it == open_calls_.end()) return std::nullopt;
  const OpenCall open = *it;
  open_calls_.erase(it);
  return open;
}

// A response confirms the configuration as of the time when the store created
// it: not before the call was sent, and for a watch that timed out, not before
// its wait was over. A call that a later one has overtaken says nothing of the
// store's present state. Nor does a watch from a position of another era: in
// the present one, changes may lie before that revision.
void ConfigFollower::OnResult(std::uint64_t id, FollowResult result,
                              StorePosition position, base::TimePoint now,
                              bool confirms) {
  const auto open = TakeCall(id);
  if (!open || id < answered_id_) return;
  if (result == FollowResult::kFailed) return ScheduleRetry(now);
  answered_id_ = id;
  answered_at_ = now;
  failures_ = 0;
  next_at_ = now;
  const bool is_late = IsOfOlderEra(position);
  if (!is_late) era_ = position.era;
  // A store that states no era shows its return by a lower revision.
  const bool went_back =
      open->call.watch && position.revision < open->call.after.revision;
  const bool is_useless = result == FollowResult::kHistoryGone || went_back ||
                          IsOfOtherEra(open->call);
  if (is_useless) {
    position_.reset();
    return;
  }
  const base::Duration wait = open->call.wait;
  const base::Duration taken = now - open->sent_at;
  const bool timed_out = result == FollowResult::kUnchanged && taken >= wait;
  const base::Duration response_time = timed_out ? taken - wait : taken;
  if (timed_out || !open->call.watch) {
    response_time_ = std::clamp(2 * response_time, settings_.min_response_time,
                                settings_.max_response_time);
  }
  if (confirms) {
    Confirm(timed_out ? open->sent_at + wait : open->sent_at,
            open->call.watch ? ConfirmSource::kWatch : ConfirmSource::kRead);
  }
  if (is_late) {
    next_at_ = now + settings_.retry_min;
    return;
  }
  position_ = position;
  position_at_ = now;
}

// A node that watches reads at once. Others are told by those that do; all of
// them at once would be more calls than the store can take.
void ConfigFollower::OnEra(StoreEra era, base::TimePoint now) {
  era_ = era;
  if (!position_ || position_->era == era) return;
  position_.reset();
  if (use_ == StoreUse::kWatch) next_at_ = std::min(next_at_, now);
}

void ConfigFollower::Confirm(base::TimePoint time, ConfirmSource source) {
  if (confirmed_ && time <= confirmed_at_) return;
  confirmed_at_ = time;
  confirmed_by_ = source;
  confirmed_ = true;
}

void ConfigFollower::ScheduleRetry(base::TimePoint now) {
  const base::Duration longest = use_ == StoreUse::kWatch
                                     ? settings_.retry_max
                                     : settings_.stand_in_retry_max;
  next_at_ = now + base::BackoffDelay(failures_, settings_.retry_min, longest,
                                      random_);
  ++failures_;
}

void ConfigFollower::OnSuspended(base::Duration time) { confirmed_at_ -= time; }

bool ConfigFollower::IsFresh(base::TimePoint now) const {
  return confirmed_ && now - confirmed_at_ < settings_.key_lease;
}

}  // namespace dogwoodrail::core::config
