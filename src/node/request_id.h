#ifndef DOGWOODRAIL_NODE_REQUEST_ID_H_
#define DOGWOODRAIL_NODE_REQUEST_ID_H_

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::node {

// Returns the current wall-clock time in milliseconds.
core::base::WallTime WallNow();

// Generates a request id: 12 hex digits of Unix time in milliseconds, followed
// by 20 random hex digits.
core::base::RequestId MakeRequestId(core::base::WallTime now);

// Returns the creation time encoded in a request id.
core::base::WallTime RequestTime(const core::base::RequestId& request);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_REQUEST_ID_H_
