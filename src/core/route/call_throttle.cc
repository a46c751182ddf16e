#include "core/route/call_throttle.h"

#include <algorithm>
#include <cmath>

namespace dogwoodrail::core::route {
namespace {

// Number of excess calls that are tolerated before throttling starts.
constexpr double kMinExcessCalls = 4;

// Maximum share that is refused, and minimum share for an importance below one
// that is throttled.
constexpr double kMaxRefusedShare = 0.95;

// An account is erased when its decayed number of calls falls below this.
constexpr double kMinRetainedCalls = 0.01;

// Returns the index of an importance.
std::size_t IndexOf(base::Importance importance) {
  return static_cast<std::size_t>(importance);
}

}  // namespace

bool CallThrottle::Allow(const base::AccountName& account,
                         base::Importance importance, base::Random* random,
                         base::TimePoint now) {
  if (settings_.calls_per_accepted <= 0) return true;
  AccountCounts& counts = DecayedCounts(account, now);
  const double share = ShareToRefuse(counts, importance);
  if (share <= 0 || base::RandomUnit(*random) >= share) return true;
  counts.classes[IndexOf(importance)].calls += 1;
  return false;
}

void CallThrottle::OnAnswered(const base::AccountName& account,
                              base::Importance importance, bool accepted,
                              base::TimePoint now) {
  if (settings_.calls_per_accepted <= 0) return;
  Counts& counts = DecayedCounts(account, now).classes[IndexOf(importance)];
  counts.calls += 1;
  if (accepted) counts.accepted += 1;
}

double CallThrottle::RefusedShare(const base::AccountName& account,
                                  base::Importance importance,
                                  base::TimePoint now) const {
  const auto it = accounts_.find(account);
  if (it == accounts_.end()) return 0;
  AccountCounts counts = it->second;
  const double factor = DecayFactor(counts, now);
  for (Counts& row : counts.classes) {
    row.calls *= factor;
    row.accepted *= factor;
  }
  return ShareToRefuse(counts, importance);
}

void CallThrottle::Tick(base::TimePoint now) {
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    const double factor = DecayFactor(it->second, now);
    double calls = 0;
    for (const Counts& row : it->second.classes) calls += row.calls * factor;
    it = calls < kMinRetainedCalls ? accounts_.erase(it) : std::next(it);
  }
}

double CallThrottle::DecayFactor(const AccountCounts& counts,
                                 base::TimePoint now) const {
  const double elapsed = static_cast<double>((now - counts.decayed_at).count());
  return std::exp2(-elapsed / static_cast<double>(settings_.half_life.count()));
}

CallThrottle::AccountCounts& CallThrottle::DecayedCounts(
    const base::AccountName& account, base::TimePoint now) {
  AccountCounts& counts = accounts_[account];
  const double factor = DecayFactor(counts, now);
  for (Counts& row : counts.classes) {
    row.calls *= factor;
    row.accepted *= factor;
  }
  counts.decayed_at = now;
  return counts;
}

// Adaptive throttling: refuses the calls in excess of k times the accepted
// ones. Calls count when they are answered or throttled, so that a slow service
// is not mistaken for one that refuses. The share is capped so that some calls
// are always sent and a recovery of the service is noticed.
double CallThrottle::ShareToRefuse(const AccountCounts& counts,
                                   base::Importance importance) const {
  const double k = settings_.calls_per_accepted;
  double share = 0;
  bool higher_throttled = false;
  for (std::size_t it = base::kImportanceCount; it-- > IndexOf(importance);) {
    const Counts& row = counts.classes[it];
    const double excess = row.calls - k * row.accepted - kMinExcessCalls;
    share = std::clamp(excess / (row.calls + k), 0.0, kMaxRefusedShare);
    if (higher_throttled) share = std::max(share, kMaxRefusedShare);
    higher_throttled = higher_throttled || share > 0;
  }
  return share;
}

}  // namespace dogwoodrail::core::route
