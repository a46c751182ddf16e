#ifndef DOGWOODRAIL_COMMAND_EXIT_CODE_H_
#define DOGWOODRAIL_COMMAND_EXIT_CODE_H_

#include "core/base/error_type.h"

namespace dogwoodrail::command {

// Exit codes of the program; docs/operating/change-tickets.md explains them.
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;  // refused, or a server is unreachable
constexpr int kExitBadInput = 2;
constexpr int kExitOutcomeUnknown = 3;
constexpr int kExitConflict = 4;

// Returns the exit code for an error.
inline int ExitCodeOf(const core::base::Error& error) {
  switch (error.code) {
    case core::base::ErrorCode::kInvalidArgument:
      return kExitBadInput;
    case core::base::ErrorCode::kOutcomeUnknown:
      return kExitOutcomeUnknown;
    case core::base::ErrorCode::kConflict:
      return kExitConflict;
    default:
      return kExitFailed;
  }
}

}  // namespace dogwoodrail::command

#endif  // DOGWOODRAIL_COMMAND_EXIT_CODE_H_
