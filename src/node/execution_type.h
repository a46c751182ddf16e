#ifndef DOGWOODRAIL_NODE_EXECUTION_TYPE_H_
#define DOGWOODRAIL_NODE_EXECUTION_TYPE_H_

#include <cstdint>
#include <string>

#include "core/admission/downstream_time.h"
#include "core/attempt/attempt_budget.h"
#include "core/base/id_type.h"
#include "core/base/memory_budget.h"
#include "core/base/pool_type.h"
#include "core/base/time_type.h"
#include "http/backend_client.h"
#include "wire/call_message.h"
#include "wire/links.h"

namespace dogwoodrail::node {

struct Execution;
using ExecutionIndex = core::base::PoolIndex<Execution>;

// Sender of a call. The link is zero for a call from this node itself.
struct CallOrigin {
  wire::LinkId link;
};

// A call on the serving node, either queued or running on the backend server.
struct Execution {
  ExecutionIndex index;
  CallOrigin origin;
  wire::CallMessage message;
  core::base::TimePoint received_at;
  core::base::TimePoint deadline;
  core::base::TimePoint started_at;
  bool running = false;
  http::ExecutionId backend;
  std::string context;  // token that identifies its downstream calls
  core::attempt::AttemptBudget budget;
  core::admission::DownstreamTime downstream;
  core::base::MemoryReservation memory;  // for the body of another node's call
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_EXECUTION_TYPE_H_
