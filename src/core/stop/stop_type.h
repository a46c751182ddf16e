#ifndef DOGWOODRAIL_CORE_STOP_STOP_TYPE_H_
#define DOGWOODRAIL_CORE_STOP_STOP_TYPE_H_

#include <cstdint>
#include <string_view>

namespace dogwoodrail::core::stop {

// Why a graceful shutdown began.
enum class StopCause : std::uint8_t {
  kRequested,
  kSigTerm,
  kSigInt,
};

// Why a process ended.
enum class StopEnd : std::uint8_t {
  kLoopEnded,  // the event loop ended without a shutdown
  kFinished,   // nothing was owed anymore
  kDeadline,   // the deadline of the shutdown passed
};

// Returns the cause as it is logged.
std::string_view StopCauseText(StopCause cause);
std::string_view StopEndText(StopEnd end);

}  // namespace dogwoodrail::core::stop

#endif  // DOGWOODRAIL_CORE_STOP_STOP_TYPE_H_
