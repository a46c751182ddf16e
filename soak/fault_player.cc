#include "soak/fault_player.h"

#include <spdlog/spdlog.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <utility>

namespace dogwoodrail::soak {
namespace {

using std::chrono::milliseconds;

// Far beyond the deadline of a planned stop.
constexpr milliseconds kStopTimeout{40000};
constexpr milliseconds kMinPause{300};
constexpr milliseconds kAfterPause{500};  // to read what came meanwhile
constexpr std::size_t kLastFaults = 6;

std::string SettingsFile(const SoakFleet& fleet, std::size_t vm) {
  return fleet.directory + "/node-" + std::to_string(vm) + ".ini";
}

constexpr milliseconds kStoreAway{1000};
constexpr int kCrashSends = 4;
constexpr milliseconds kCrashInterval{700};
constexpr std::size_t kMaxCrashConnections = 16;

std::string ReadText(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::uintmax_t FileSize(const std::string& path) {
  std::error_code ec;
  const std::uintmax_t size = std::filesystem::file_size(path, ec);
  return ec ? 0 : size;
}

std::string StatusText(int status) {
  if (WIFSIGNALED(status)) {
    return "ended by signal " + std::to_string(WTERMSIG(status));
  }
  return "ended with status " + std::to_string(WEXITSTATUS(status));
}

}  // namespace

FaultPlayer::FaultPlayer(const SoakFleet& fleet, const RunClock& clock,
                         std::vector<Fault> faults)
    : fleet_(fleet),
      clock_(clock),
      faults_(std::move(faults)),
      states_(fleet.size) {
  for (std::size_t it = 0; it < fleet.size; ++it) {
    states_[it].settings = ReadText(SettingsFile(fleet, it));
  }
}

void FaultPlayer::Advance() {
  while (next_ < faults_.size() && faults_[next_].at <= clock_.Now()) {
    max_delay_ = std::max(max_delay_, clock_.Now() - faults_[next_].at);
    Begin(faults_[next_++]);
  }
  std::vector<Step> due;
  const auto first_due = std::stable_partition(
      steps_.begin(), steps_.end(),
      [this](const Step& it) { return it.at > clock_.Now(); });
  std::move(first_due, steps_.end(), std::back_inserter(due));
  steps_.erase(first_due, steps_.end());
  for (const Step& it : due) it.run();
  for (std::size_t it = 0; it < fleet_.size; ++it) {
    CheckNode(it);
    fleet_.ensure_backend(it);
  }
}

std::string FaultPlayer::LastFaults() const {
  std::string text;
  const std::size_t first = next_ > kLastFaults ? next_ - kLastFaults : 0;
  for (std::size_t it = first; it < next_; ++it) {
    text += "  " + FaultText(faults_[it]) + "\n";
  }
  return text;
}

void FaultPlayer::Begin(const Fault& fault) {
  spdlog::debug("{}", FaultText(fault));
  switch (fault.kind) {
    case FaultKind::kSettings:
      WriteSettings(fault.vm, "[log]\nlines_per_s = 50\n");
      return SendSignal(fault.vm, SIGHUP);
    case FaultKind::kBadSettings:
      WriteSettings(fault.vm, "[no_such_section\nno value\n");
      return SendSignal(fault.vm, SIGHUP);
    case FaultKind::kSettingsOnly:
      return WriteSettings(fault.vm, "[log]\nlines_per_s = 40\n");
    case FaultKind::kTickets:
      return fleet_.change_config(fault);
    case FaultKind::kKill:
      return Kill(fault);
    case FaultKind::kPause:
      return Pause(fault);
    case FaultKind::kCrashRequest:
      for (int it = 0; it < kCrashSends; ++it) {
        Later(it * kCrashInterval, [this, vm = fault.vm + it] {
          SendCrashRequest(vm % fleet_.size);
        });
      }
      return;
    case FaultKind::kBackendLeaves:
      return fleet_.end_backend(fault.vm);
    case FaultKind::kOddEntry:
    case FaultKind::kRepeatedRefusal:
    case FaultKind::kCutHead:
    case FaultKind::kSoundAnswers:
      return fleet_.play_own(fault);
    case FaultKind::kOlderStore:
      return LoseWrites(fault);
    default:
      return BeginSignals(fault);
  }
}

void FaultPlayer::BeginSignals(const Fault& fault) {
  const FaultKind kind = fault.kind;
  const bool stop_first = kind == FaultKind::kStop ||
                          kind == FaultKind::kStopTwice ||
                          kind == FaultKind::kStopReload;
  SendSignal(fault.vm, stop_first ? SIGTERM : SIGHUP);
  if (kind == FaultKind::kStop || kind == FaultKind::kReload) return;
  const bool stop_second =
      kind == FaultKind::kStopTwice || kind == FaultKind::kReloadStop;
  const int second = stop_second ? SIGTERM : SIGHUP;
  Later(fault.gap, [this, vm = fault.vm, second] { SendSignal(vm, second); });
}

void FaultPlayer::Later(milliseconds delay, std::function<void()> run) {
  steps_.push_back({clock_.Now() + delay, std::move(run)});
}

void FaultPlayer::SendSignal(std::size_t vm, int signal) {
  VmState& state = states_[vm];
  if (state.ending == Ending::kKilled) return;
  if (signal == SIGTERM && state.ending == Ending::kNone) {
    state.ending = Ending::kPlanned;
    state.stop_began = clock_.Now();
  }
  fleet_.node(vm).SendSignal(signal);
}

// The player must not wait for the answer, so that the connection stays open
// until as many others have followed.
void FaultPlayer::SendCrashRequest(std::size_t vm) {
  auto connection =
      std::make_unique<integration::RawConnection>(fleet_.caller_port(vm));
  if (!connection->IsOpen()) return;
  (void)connection->Send(fleet_.make_crash_request().Serialize());
  crash_connections_.push_back(std::move(connection));
  if (crash_connections_.size() > kMaxCrashConnections) {
    crash_connections_.erase(crash_connections_.begin());
  }
}

void FaultPlayer::WriteSettings(std::size_t vm, const std::string& more) {
  std::ofstream(SettingsFile(fleet_, vm)) << states_[vm].settings << more;
}

void FaultPlayer::Kill(const Fault& fault) {
  VmState& state = states_[fault.vm];
  if (state.ending == Ending::kKilled) return;
  const milliseconds begin = clock_.Now();
  state.ending = Ending::kKilled;
  fleet_.node(fault.vm).Kill();
  disruptions_.push_back({fault.vm, true, begin, clock_.Now()});
  Later(fault.gap, [this, vm = fault.vm] { states_[vm].restart_due = true; });
}

// The signal that ends a pause can be late on a busy machine, so that its end
// is noted then.
void FaultPlayer::Pause(const Fault& fault) {
  const std::size_t index = disruptions_.size();
  disruptions_.push_back({fault.vm, false, clock_.Now(), milliseconds::max()});
  fleet_.node(fault.vm).SendSignal(SIGSTOP);
  Later(kMinPause + 2 * fault.gap, [this, index] {
    Disruption& pause = disruptions_[index];
    fleet_.node(pause.vm).SendSignal(SIGCONT);
    pause.end = clock_.Now() + kAfterPause;
  });
}

// One at a time, as there is one store.
void FaultPlayer::LoseWrites(const Fault& fault) {
  if (loses_writes_) return;
  loses_writes_ = true;
  fleet_.play_store(StoreStep::kCopy);
  Later(fault.gap, [this] { fleet_.play_store(StoreStep::kLeave); });
  Later(fault.gap + kStoreAway,
        [this] { fleet_.play_store(StoreStep::kReturn); });
  Later(2 * fault.gap + kStoreAway, [this] {
    fleet_.play_store(StoreStep::kWriteAgain);
    loses_writes_ = false;
  });
}

// A process that has just been started ends by a signal's default action until
// it has handlers, which are in place before it listens or writes a line.
bool FaultPlayer::EndedBeforeHandlers(std::size_t vm, int status) const {
  if (!WIFSIGNALED(status)) return false;
  const int signal = WTERMSIG(status);
  if (signal != SIGTERM && signal != SIGHUP) return false;
  return FileSize(fleet_.node_log(vm)) == states_[vm].log_bytes;
}

void FaultPlayer::CheckNode(std::size_t vm) {
  VmState& state = states_[vm];
  integration::Process& node = fleet_.node(vm);
  if (node.IsRunning()) {
    const bool late = state.ending == Ending::kPlanned &&
                      clock_.Now() - state.stop_began > kStopTimeout;
    if (!late) return;
    broken_.push_back({"a planned stop ends", "node " + std::to_string(vm)});
    node.Kill();
  }
  if (state.ending == Ending::kKilled && !state.restart_due) return;
  const int status = node.WaitExit(milliseconds(0)).value_or(0);
  const bool expected = state.ending == Ending::kKilled ||
                        (state.ending == Ending::kPlanned && status == 0) ||
                        EndedBeforeHandlers(vm, status);
  if (!expected) {
    broken_.push_back({"a node ends only as planned",
                       "node " + std::to_string(vm) + " " + StatusText(status) +
                           " at " + std::to_string(clock_.Now().count()) +
                           " ms"});
  }
  state.log_bytes = FileSize(fleet_.node_log(vm));
  fleet_.restart_node(vm);
  state.ending = Ending::kNone;
  state.restart_due = false;
}

}  // namespace dogwoodrail::soak
