#ifndef DOGWOODRAIL_NODE_NODE_OPERATOR_H_
#define DOGWOODRAIL_NODE_NODE_OPERATOR_H_

#include "core/base/error_type.h"
#include "http/operator_server.h"
#include "node/event_log.h"
#include "node/node_base.h"
#include "node/operator_api.h"

namespace dogwoodrail::node {

// Serves the operator endpoint of a node: status, metrics and timeline.
class NodeOperator {
 public:
  NodeOperator(Node& node, const EventLog& log);

  // Listens at the operator address of the settings.
  core::base::Result<void> Listen();

 private:
  Node& node_;
  OperatorApi api_;
  http::OperatorServer server_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_NODE_OPERATOR_H_
