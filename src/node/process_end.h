#ifndef DOGWOODRAIL_NODE_PROCESS_END_H_
#define DOGWOODRAIL_NODE_PROCESS_END_H_

#include "node/event_log.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Runs the node until it has stopped, ends its log and then the process,
// without destructors.
[[noreturn]] void RunToExit(Node& node, EventLog& log);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_PROCESS_END_H_
