#ifndef DOGWOODRAIL_NODE_HOSTED_NODE_H_
#define DOGWOODRAIL_NODE_HOSTED_NODE_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "core/base/error_type.h"
#include "node/host_type.h"
#include "node/node_process.h"
#include "node/settings_type.h"

namespace dogwoodrail::node {

// Creates the adapter of the platform that hosts the node.
using HostPortsFactory = std::function<core::base::Result<HostPorts>(
    boost::asio::io_context&, const Settings&)>;

// Runs a node on a hosting platform. Returns the exit code if it cannot start;
// otherwise the process ends when the node has stopped.
int RunHostedNode(const Settings& settings, const HostPortsFactory& factory,
                  NodeProcess& process);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_HOSTED_NODE_H_
