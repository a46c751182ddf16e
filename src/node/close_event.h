#ifndef DOGWOODRAIL_NODE_CLOSE_EVENT_H_
#define DOGWOODRAIL_NODE_CLOSE_EVENT_H_

#include "core/base/event_type.h"
#include "core/stop/stop_type.h"
#include "http/close_type.h"

namespace dogwoodrail::node {

// Returns the event that reports the end of a connection of a caller: a warning
// if a request that had been read whole is left without a final response.
core::base::Event MakeCloseEvent(const http::ConnectionClose& close);

// Returns why the connections that are still open end with the process.
http::CloseCause CloseCauseOf(core::stop::StopEnd end);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CLOSE_EVENT_H_
