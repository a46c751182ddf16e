#ifndef DOGWOODRAIL_CORE_RELOAD_RELOAD_CONTROL_H_
#define DOGWOODRAIL_CORE_RELOAD_RELOAD_CONTROL_H_

#include <optional>
#include <string>
#include <vector>

#include "core/base/time_type.h"
#include "core/reload/reload_type.h"

namespace dogwoodrail::core::reload {

// Decides when the settings file of a running process is loaded and what
// becomes of its content.
//
// The file may be half written, and cut at the end of a line it may be valid.
// It is therefore loaded only if its status was the same in two successive
// looks: after a signal whether it has changed or not, else if it has changed.
// After a signal the wait for that is bounded.
// A file that is refused leaves the settings in use as they are.
class ReloadControl {
 public:
  // Handles a signal. Returns whether it leads to a load.
  bool OnSignal(base::TimePoint now);
  // Returns whether to look at the file.
  bool IsLookDue(base::TimePoint now) const;
  // Handles a look at the file. Returns why to load it now, if it is due.
  std::optional<ReloadCause> OnLook(const FileVersion& version,
                                    base::TimePoint now);
  // Decides on a loaded file.
  ReloadDecision OnLoaded(ReloadCause cause, const LoadedFile& file);
  // Ends the reloads: the process is about to stop.
  void BeginStop() { is_stopping_ = true; }

 private:
  ReloadDecision Refuse(ReloadCause cause, const LoadedFile& file);

  bool is_stopping_ = false;
  bool is_signalled_ = false;  // since the last load
  base::TimePoint signalled_at_;
  base::TimePoint next_look_;
  std::optional<FileVersion> loaded_version_;
  std::optional<FileVersion> new_version_;  // seen in the last look only
  std::optional<std::string> text_;         // last text that was accepted
  std::vector<std::string> problems_;       // of the last text, if refused
};

}  // namespace dogwoodrail::core::reload

#endif  // DOGWOODRAIL_CORE_RELOAD_RELOAD_CONTROL_H_
