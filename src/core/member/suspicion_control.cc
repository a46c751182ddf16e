#include "core/member/suspicion_control.h"

#include <algorithm>
#include <cmath>

namespace dogwoodrail::core::member {

SuspicionControl::SuspicionControl(const MemberSettings& settings)
    : min_(settings.suspicion_min),
      max_(settings.suspicion_max),
      confirmations_(settings.suspicion_confirmations) {}

bool SuspicionControl::Confirm(const base::NodeAddress& address,
                               std::uint32_t accuser, base::TimePoint now) {
  const auto [it, is_new] = suspicions_.try_emplace(address);
  Suspicion& suspicion = it->second;
  if (is_new) suspicion.since = now;
  std::vector<std::uint32_t>& accusers = suspicion.accusers;
  if (accusers.size() > confirmations_) return false;
  if (std::find(accusers.begin(), accusers.end(), accuser) != accusers.end()) {
    return false;
  }
  accusers.push_back(accuser);
  return true;
}

void SuspicionControl::Cancel(const base::NodeAddress& address) {
  suspicions_.erase(address);
}

std::vector<base::NodeAddress> SuspicionControl::TakeExpired(
    base::TimePoint now, int scale) {
  std::vector<base::NodeAddress> expired;
  for (auto it = suspicions_.begin(); it != suspicions_.end();) {
    if (now - it->second.since < TimeoutOf(it->second) * scale) {
      ++it;
      continue;
    }
    expired.push_back(it->first);
    it = suspicions_.erase(it);
  }
  std::sort(expired.begin(), expired.end());
  return expired;
}

void SuspicionControl::Restart(base::TimePoint now) {
  for (auto& [address, suspicion] : suspicions_) suspicion.since = now;
}

// As in Lifeguard, the timeout falls from max to min with
// log(confirmations + 1) / log(wanted confirmations + 1).
base::Duration SuspicionControl::TimeoutOf(const Suspicion& suspicion) const {
  const double confirmations =
      static_cast<double>(suspicion.accusers.size()) - 1.0;
  const double share = std::log(std::max(confirmations, 0.0) + 1.0) /
                       std::log(static_cast<double>(confirmations_) + 1.0);
  const auto range = static_cast<double>((max_ - min_).count());
  return max_ - base::Duration(static_cast<base::Duration::rep>(range * share));
}

}  // namespace dogwoodrail::core::member
