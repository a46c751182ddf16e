#ifndef DOGWOODRAIL_NODE_NODE_PROCESS_H_
#define DOGWOODRAIL_NODE_NODE_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <string>

#include "node/process_limits.h"
#include "node/signal_system.h"

namespace dogwoodrail::node {

// What a node process has before its settings are read: the event loop, the
// signals, the name of the settings file, and the limits of the process.
struct NodeProcess {
  boost::asio::io_context loop{1};
  SignalSystem signals{loop};
  std::string settings_file;
  ProcessLimits limits;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_NODE_PROCESS_H_
