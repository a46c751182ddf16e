#ifndef DOGWOODRAIL_NODE_RUN_NODE_H_
#define DOGWOODRAIL_NODE_RUN_NODE_H_

#include "node/node_process.h"
#include "node/settings_type.h"

namespace dogwoodrail::node {

// Runs a node on its own platform. Returns the exit code if it cannot start;
// otherwise the process ends when the node has stopped.
int RunNode(const Settings& settings, NodeProcess& process);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_RUN_NODE_H_
