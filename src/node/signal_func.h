#ifndef DOGWOODRAIL_NODE_SIGNAL_FUNC_H_
#define DOGWOODRAIL_NODE_SIGNAL_FUNC_H_

#include "core/base/event_type.h"
#include "node/node_base.h"
#include "node/reload_system.h"
#include "node/signal_system.h"

namespace dogwoodrail::node {

// Returns the hooks that connect the signals of the process to its node.
SignalHooks MakeSignalHooks(Node& node, ReloadSystem& reload,
                            core::base::EventSink emit);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SIGNAL_FUNC_H_
