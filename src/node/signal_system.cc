#include "node/signal_system.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <iterator>
#include <utility>

namespace dogwoodrail::node {
namespace {

using boost::system::error_code;
using core::base::EventNumber;

using core::stop::StopCause;

enum class SignalAction : std::uint8_t {
  kStop,    // begin a graceful shutdown
  kReload,  // load the settings file
  kReport,  // no effect but its event
  kIgnore,  // no handler: a line of the log could cause the next signal
};

struct SignalSpec {
  int number;
  const char* name;
  SignalAction action;
};

// All signals that end a process by default and come from outside. Those that
// a process cannot handle and those that report its own errors are left out.
// SIGXCPU announces that the process will be killed, SIGPWR that the power
// fails.
constexpr SignalSpec kSignals[] = {
    {SIGTERM, "SIGTERM", SignalAction::kStop},
    {SIGINT, "SIGINT", SignalAction::kStop},
    {SIGQUIT, "SIGQUIT", SignalAction::kStop},
    {SIGXCPU, "SIGXCPU", SignalAction::kStop},
    {SIGPWR, "SIGPWR", SignalAction::kStop},
    {SIGHUP, "SIGHUP", SignalAction::kReload},
    {SIGUSR1, "SIGUSR1", SignalAction::kReport},
    {SIGUSR2, "SIGUSR2", SignalAction::kReport},
    {SIGALRM, "SIGALRM", SignalAction::kReport},
    {SIGVTALRM, "SIGVTALRM", SignalAction::kReport},
    {SIGPROF, "SIGPROF", SignalAction::kReport},
    {SIGIO, "SIGIO", SignalAction::kReport},
    {SIGSTKFLT, "SIGSTKFLT", SignalAction::kReport},
    {SIGPIPE, "SIGPIPE", SignalAction::kIgnore},
    {SIGXFSZ, "SIGXFSZ", SignalAction::kIgnore},
};

// Returns true if nothing in the process has taken the signal, such as a
// profiler or a preloaded library.
bool HasDefaultAction(int number) {
  struct sigaction action {};
  return ::sigaction(number, nullptr, &action) == 0 &&
         (action.sa_flags & SA_SIGINFO) == 0 && action.sa_handler == SIG_DFL;
}

// Returns the row of a signal; null for a real-time signal, which is reported.
const SignalSpec* FindSignal(int number) {
  const auto* it =
      std::find_if(std::begin(kSignals), std::end(kSignals),
                   [number](const auto& row) { return row.number == number; });
  return it == std::end(kSignals) ? nullptr : it;
}

std::string SignalName(int number) {
  const SignalSpec* spec = FindSignal(number);
  if (spec != nullptr) return spec->name;
  return "SIGRTMIN+" + std::to_string(number - SIGRTMIN);
}

StopCause CauseOf(int number) {
  if (number == SIGTERM) return StopCause::kSigTerm;
  if (number == SIGINT) return StopCause::kSigInt;
  return StopCause::kRequested;
}

}  // namespace

// A signal is lost if the kernel gives it to a thread that is just ending.
SignalSystem::SignalSystem(boost::asio::io_context& loop) : signals_(loop) {
  ::sigemptyset(&handled_);
  for (const SignalSpec& it : kSignals) {
    if (it.action == SignalAction::kIgnore) {
      std::signal(it.number, SIG_IGN);
    } else if (it.action != SignalAction::kReport ||
               HasDefaultAction(it.number)) {
      Add(it.number);
    }
  }
  for (int it = SIGRTMIN; it <= SIGRTMAX; ++it) {
    if (HasDefaultAction(it)) Add(it);
  }
  ::pthread_sigmask(SIG_BLOCK, &handled_, nullptr);
}

void SignalSystem::Add(int number) {
  signals_.add(number);
  ::sigaddset(&handled_, number);
}

void SignalSystem::Start(SignalHooks hooks) {
  hooks_ = std::move(hooks);
  Wait();
  ::pthread_sigmask(SIG_UNBLOCK, &handled_, nullptr);
}

void SignalSystem::Wait() {
  signals_.async_wait([this](const error_code& ec, int number) {
    if (ec) return;
    OnSignal(number);
    Wait();
  });
}

void SignalSystem::OnSignal(int number) {
  hooks_.emit({EventNumber::kSignalReceived,
               {},
               {},
               "signal=" + SignalName(number) + " effect=" + Act(number)});
}

std::string SignalSystem::Act(int number) {
  const SignalSpec* spec = FindSignal(number);
  const auto action = spec == nullptr ? SignalAction::kReport : spec->action;
  if (action == SignalAction::kStop) return hooks_.on_stop(CauseOf(number));
  if (action == SignalAction::kReload) return hooks_.on_reload();
  return "none";
}

}  // namespace dogwoodrail::node
