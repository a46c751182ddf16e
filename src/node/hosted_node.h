#ifndef DOGWOODRAIL_NODE_HOSTED_NODE_H_
#define DOGWOODRAIL_NODE_HOSTED_NODE_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "core/base/error_type.h"
#include "node/host_type.h"
#include "node/settings_type.h"

namespace dogwoodrail::node {

// Makes the calls by which a node lives on another system.
using HostPortsFactory = std::function<core::base::Result<HostPorts>(
    boost::asio::io_context&, const Settings&)>;

// Runs a node on another system until it stops; returns the exit code.
int RunHostedNode(const Settings& settings, const HostPortsFactory& factory);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_HOSTED_NODE_H_
