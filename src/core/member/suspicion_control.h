#ifndef DOGWOODRAIL_CORE_MEMBER_SUSPICION_CONTROL_H_
#define DOGWOODRAIL_CORE_MEMBER_SUSPICION_CONTROL_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/member/member_settings_type.h"

namespace dogwoodrail::core::member {

// Timers of suspected members. The timeout shrinks as more nodes confirm a
// suspicion, so it is longest for a single accuser, which may itself be slow.
class SuspicionControl {
 public:
  explicit SuspicionControl(const MemberSettings& settings);

  // Records that `accuser` suspects the member. Returns true if this is new and
  // has to be spread.
  bool Confirm(const base::NodeAddress& address, std::uint32_t accuser,
               base::TimePoint now);
  // Ends the suspicion of a member.
  void Cancel(const base::NodeAddress& address);
  // Removes and returns the members whose timeout, multiplied by `scale`, has
  // expired.
  std::vector<base::NodeAddress> TakeExpired(base::TimePoint now, int scale);
  // Restarts all timers after a pause of this process.
  void Restart(base::TimePoint now);

 private:
  struct Suspicion {
    base::TimePoint since;
    std::vector<std::uint32_t> accusers;
  };

  base::Duration TimeoutOf(const Suspicion& suspicion) const;

  base::Duration min_;
  base::Duration max_;
  std::size_t confirmations_;
  std::unordered_map<base::NodeAddress, Suspicion> suspicions_;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_SUSPICION_CONTROL_H_
