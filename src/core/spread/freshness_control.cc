#include "core/spread/freshness_control.h"

namespace dogwoodrail::core::spread {

FreshnessControl::FreshnessControl(const SpreadSettings& settings)
    : settings_(settings) {}

bool FreshnessControl::DetectPause(base::TimePoint now) {
  const bool first = !started_;
  const bool paused = started_ && now - last_time_ > settings_.pause_limit;
  started_ = true;
  last_time_ = now;
  if (!first && !paused) return false;
  confirmed_ = false;
  unconfirmed_since_ = now;
  return paused;
}

void FreshnessControl::NoteContact(base::TimePoint now) { last_contact_ = now; }

void FreshnessControl::Confirm(base::TimePoint now) {
  confirmed_ = true;
  last_contact_ = now;
}

// Checks for a pause as well, because a request may be the first thing that
// runs after the process resumes.
bool FreshnessControl::IsFresh(base::TimePoint now) const {
  if (!confirmed_ || now - last_time_ > settings_.pause_limit) return false;
  if (!settings_.has_peers) return true;
  return now - last_contact_ <= settings_.stale_after;
}

}  // namespace dogwoodrail::core::spread
