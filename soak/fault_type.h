#ifndef DOGWOODRAIL_SOAK_FAULT_TYPE_H_
#define DOGWOODRAIL_SOAK_FAULT_TYPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dogwoodrail::soak {

// What a fault does to a VM from outside.
enum class FaultKind : std::uint8_t {
  kStop,           // SIGTERM, then a new start
  kStopTwice,      // SIGTERM, SIGTERM
  kStopReload,     // SIGTERM, SIGHUP
  kReload,         // SIGHUP
  kReloadTwice,    // SIGHUP, SIGHUP
  kReloadStop,     // SIGHUP, SIGTERM
  kSettings,       // changed settings file, SIGHUP
  kBadSettings,    // settings file that cannot be parsed, SIGHUP
  kSettingsOnly,   // changed settings file, no signal
  kTickets,        // configuration tickets in series
  kKill,           // SIGKILL, then a new start
  kBackendLeaves,  // SIGTERM of the backend server, then a new start
  kPause,          // SIGSTOP, SIGCONT
  kCrashRequest,   // a poison request: crashes each backend server, in series
  // With the platform's adapter only.
  kOddEntry,         // an entry of another writer that cannot be decoded
  kRepeatedRefusal,  // the backend server writes refusals once more
  kCutHead,          // the backend server stops within the head of its answer
  kSoundAnswers,     // the backend server answers as it should again
  kOlderStore,       // the store is away, then comes back from an older copy
  kCount,
};

// Steps of kOlderStore.
enum class StoreStep : std::uint8_t {
  kCopy,        // keeps a copy, then takes a change that is not in it
  kLeave,       // the store goes away
  kReturn,      // it comes back from the copy
  kWriteAgain,  // the operator writes what is lost, and a change
};

// One fault of a schedule.
struct Fault {
  FaultKind kind = FaultKind::kStop;
  std::size_t vm = 0;
  std::chrono::milliseconds at{0};   // since the start of the run
  std::chrono::milliseconds gap{0};  // between its two steps
};

// A span in which a node was killed or paused.
struct Disruption {
  std::size_t vm = 0;
  bool killed = false;  // false: paused
  std::chrono::milliseconds begin{0};
  std::chrono::milliseconds end{0};
};

// Name of a kind, as in the flag --without.
const char* FaultName(FaultKind kind);
// Returns the kinds that are listed before `end`.
std::vector<FaultKind> FaultsBefore(FaultKind end);
// Formats a fault for the output.
std::string FaultText(const Fault& fault);

}  // namespace dogwoodrail::soak

#endif  // DOGWOODRAIL_SOAK_FAULT_TYPE_H_
