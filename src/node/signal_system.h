#ifndef DOGWOODRAIL_NODE_SIGNAL_SYSTEM_H_
#define DOGWOODRAIL_NODE_SIGNAL_SYSTEM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <string>

#include "core/base/event_type.h"
#include "core/stop/stop_type.h"

namespace dogwoodrail::node {

// Callbacks for the signals of a node, all invoked on the event loop's thread.
struct SignalHooks {
  // A signal to stop: begin a graceful shutdown. Returns what it did, for the
  // log.
  std::function<std::string(core::stop::StopCause)> on_stop;
  // SIGHUP: the settings file may have changed. Returns what it did.
  std::function<std::string()> on_reload;
  core::base::EventSink emit;
};

// Owns the signals of the process: all that come from outside and would end it.
// The handlers are in place from construction on. Until Start() the signals are
// blocked: they stay pending, and threads created meanwhile inherit that, so
// that only the thread that constructs and starts the system receives them.
class SignalSystem {
 public:
  // The loop must outlive the system.
  explicit SignalSystem(boost::asio::io_context& loop);
  SignalSystem(const SignalSystem&) = delete;
  SignalSystem& operator=(const SignalSystem&) = delete;

  // Begins to handle the signals, one event each.
  void Start(SignalHooks hooks);

 private:
  // Adds a signal to those that are handled.
  void Add(int number);
  void Wait();
  void OnSignal(int number);
  // Returns what the signal did.
  std::string Act(int number);

  boost::asio::signal_set signals_;
  sigset_t handled_;
  SignalHooks hooks_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SIGNAL_SYSTEM_H_
