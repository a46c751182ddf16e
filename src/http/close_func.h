#ifndef DOGWOODRAIL_HTTP_CLOSE_FUNC_H_
#define DOGWOODRAIL_HTTP_CLOSE_FUNC_H_

#include <boost/system/error_code.hpp>

#include "http/close_type.h"

namespace dogwoodrail::http {

// Returns the cause of a close after a failed read that no response follows.
// `begun` is true if a part of a request had arrived.
CloseCause CauseOfReadError(const boost::system::error_code& ec, bool begun);

// Returns the cause of a close after a failed write.
CloseCause CauseOfWriteError(const boost::system::error_code& ec);

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_CLOSE_FUNC_H_
