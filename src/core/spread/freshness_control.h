#ifndef DOGWOODRAIL_CORE_SPREAD_FRESHNESS_CONTROL_H_
#define DOGWOODRAIL_CORE_SPREAD_FRESHNESS_CONTROL_H_

#include "core/spread/spread_type.h"

namespace dogwoodrail::core::spread {

// Decides whether the configuration number of this node is recent enough to act
// on. It is if it has been confirmed since the start or the last process pause,
// and the node has recently had contact with the platform or a peer.
class FreshnessControl {
 public:
  explicit FreshnessControl(const SpreadSettings& settings);

  // Called regularly. A gap since the last call that exceeds the pause limit
  // means that the process was suspended, and revokes the confirmation. Returns
  // true if there was such a gap.
  bool DetectPause(base::TimePoint now);
  // Records a message from the platform or a peer.
  void NoteContact(base::TimePoint now);
  // Records that the number is at least as high as that of the sources queried
  // since the confirmation was lost.
  void Confirm(base::TimePoint now);
  // Returns true if requests with an API key may run.
  bool IsFresh(base::TimePoint now) const;
  // Returns true if the number has been confirmed.
  bool IsConfirmed() const { return confirmed_; }
  // Time when the confirmation was last lost.
  base::TimePoint unconfirmed_since() const { return unconfirmed_since_; }

 private:
  const SpreadSettings& settings_;
  bool started_ = false;
  bool confirmed_ = false;
  base::TimePoint last_time_{};
  base::TimePoint last_contact_{};
  base::TimePoint unconfirmed_since_{};
};

}  // namespace dogwoodrail::core::spread

#endif  // DOGWOODRAIL_CORE_SPREAD_FRESHNESS_CONTROL_H_
