#ifndef DOGWOODRAIL_SOAK_FAULT_PLAYER_H_
#define DOGWOODRAIL_SOAK_FAULT_PLAYER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "soak/callers.h"
#include "soak/checker.h"
#include "soak/fault_type.h"
#include "soak/soak_fleet.h"

namespace dogwoodrail::soak {

// Plays a schedule on a fleet and starts ended processes again.
class FaultPlayer {
 public:
  FaultPlayer(const SoakFleet& fleet, const RunClock& clock,
              std::vector<Fault> faults);

  // Does what is due. Blocks while a process starts.
  void Advance();
  // Spans in which nodes were killed or paused.
  std::vector<Disruption> disruptions() const { return disruptions_; }
  // Promises that processes broke by how they ended.
  const std::vector<Broken>& broken() const { return broken_; }
  // Longest time by which a fault began late.
  std::chrono::milliseconds max_delay() const { return max_delay_; }
  // The faults that began last, one a line.
  std::string LastFaults() const;

 private:
  // Why a process is expected to end.
  enum class Ending : std::uint8_t { kNone, kPlanned, kKilled };
  struct Step {
    std::chrono::milliseconds at{0};
    std::function<void()> run;
  };
  struct VmState {
    Ending ending = Ending::kNone;
    std::chrono::milliseconds stop_began{0};
    bool restart_due = false;
    std::uintmax_t log_bytes = 0;  // size of the log at the last start
    std::string settings;          // text of the settings file at the start
  };

  void Begin(const Fault& fault);
  void BeginSignals(const Fault& fault);
  void Later(std::chrono::milliseconds delay, std::function<void()> run);
  void SendSignal(std::size_t vm, int signal);
  void SendCrashRequest(std::size_t vm);
  // Plays the steps of kOlderStore.
  void LoseWrites(const Fault& fault);
  void WriteSettings(std::size_t vm, const std::string& more);
  void Kill(const Fault& fault);
  void Pause(const Fault& fault);
  bool EndedBeforeHandlers(std::size_t vm, int status) const;
  void CheckNode(std::size_t vm);

  const SoakFleet& fleet_;
  const RunClock& clock_;
  std::vector<Fault> faults_;
  std::size_t next_ = 0;
  std::chrono::milliseconds max_delay_{0};
  bool loses_writes_ = false;  // a kOlderStore is being played
  std::vector<Step> steps_;
  std::vector<VmState> states_;
  // Connections of requests whose answers nobody waits for.
  std::vector<std::unique_ptr<integration::RawConnection>> crash_connections_;
  std::vector<Disruption> disruptions_;
  std::vector<Broken> broken_;
};

}  // namespace dogwoodrail::soak

#endif  // DOGWOODRAIL_SOAK_FAULT_PLAYER_H_
