#include "core/stop/stop_type.h"

namespace dogwoodrail::core::stop {

std::string_view StopCauseText(StopCause cause) {
  switch (cause) {
    case StopCause::kRequested:
      return "requested";
    case StopCause::kSigTerm:
      return "SIGTERM";
    case StopCause::kSigInt:
      return "SIGINT";
  }
  return "";
}

std::string_view StopEndText(StopEnd end) {
  switch (end) {
    case StopEnd::kLoopEnded:
      return "loop_ended";
    case StopEnd::kFinished:
      return "finished";
    case StopEnd::kDeadline:
      return "deadline";
  }
  return "";
}

}  // namespace dogwoodrail::core::stop
