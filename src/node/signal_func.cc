#include "node/signal_func.h"

#include <utility>

namespace dogwoodrail::node {

SignalHooks MakeSignalHooks(Node& node, ReloadSystem& reload,
                            core::base::EventSink emit) {
  SignalHooks hooks;
  hooks.on_stop = [&node](core::stop::StopCause cause) {
    return node.BeginStop(cause) ? "stop" : "none";
  };
  hooks.on_reload = [&reload] { return reload.OnSignal() ? "reload" : "none"; };
  hooks.emit = std::move(emit);
  return hooks;
}

}  // namespace dogwoodrail::node
