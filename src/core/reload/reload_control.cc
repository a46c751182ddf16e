#include "core/reload/reload_control.h"

#include <chrono>

namespace dogwoodrail::core::reload {
namespace {

constexpr base::Duration kLookInterval = std::chrono::seconds(1);
// After a signal, whose sender has usually written the file whole.
constexpr base::Duration kSignalLookInterval = std::chrono::milliseconds(500);
// After this time a load that a signal has asked for waits no longer for a file
// that keeps changing.
constexpr base::Duration kMaxSignalWait = std::chrono::seconds(3);

}  // namespace

// What was seen before the signal is no look at what was written for it. A
// repeated signal does not begin anew, or the load could be put off forever.
bool ReloadControl::OnSignal(base::TimePoint now) {
  if (is_stopping_) return false;
  if (is_signalled_) return true;
  is_signalled_ = true;
  signalled_at_ = now;
  new_version_.reset();
  next_look_ = now;
  return true;
}

bool ReloadControl::IsLookDue(base::TimePoint now) const {
  return !is_stopping_ && now >= next_look_;
}

std::optional<ReloadCause> ReloadControl::OnLook(const FileVersion& version,
                                                 base::TimePoint now) {
  if (!IsLookDue(now)) return std::nullopt;
  next_look_ = now + (is_signalled_ ? kSignalLookInterval : kLookInterval);
  if (!is_signalled_ && loaded_version_ == version) {
    new_version_.reset();
    return std::nullopt;
  }
  const bool is_overdue =
      is_signalled_ && now - signalled_at_ >= kMaxSignalWait;
  if (!(new_version_ == version) && !is_overdue) {
    new_version_ = version;
    return std::nullopt;
  }
  const ReloadCause cause =
      is_signalled_ ? ReloadCause::kSignal : ReloadCause::kFileChanged;
  is_signalled_ = false;
  loaded_version_ = version;
  new_version_.reset();
  return cause;
}

ReloadDecision ReloadControl::OnLoaded(ReloadCause cause,
                                       const LoadedFile& file) {
  if (!file.problems.empty()) return Refuse(cause, file);
  problems_.clear();
  ReloadDecision decision;
  if (text_ == file.text || file.changes.empty()) {
    text_ = file.text;
    decision.is_logged = cause == ReloadCause::kSignal;
    return decision;
  }
  text_ = file.text;
  decision.outcome = ReloadOutcome::kReloaded;
  for (const SettingChange& it : file.changes) {
    auto& names = it.effect == SettingEffect::kWhileRunning
                      ? decision.applied
                      : decision.needs_restart;
    names.push_back(it.name);
  }
  return decision;
}

// A file that stays invalid is logged once, and at each signal.
ReloadDecision ReloadControl::Refuse(ReloadCause cause,
                                     const LoadedFile& file) {
  ReloadDecision decision;
  decision.outcome = ReloadOutcome::kRefused;
  decision.is_logged =
      cause == ReloadCause::kSignal || problems_ != file.problems;
  problems_ = file.problems;
  return decision;
}

}  // namespace dogwoodrail::core::reload
