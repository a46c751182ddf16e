#ifndef DOGWOODRAIL_HTTP_LISTEN_BACKLOG_H_
#define DOGWOODRAIL_HTTP_LISTEN_BACKLOG_H_

#include <cstdint>
#include <string>

#include "core/base/error_type.h"

namespace dogwoodrail::http {

// Raises the backlog of this process's TCP socket that listens at the address.
// For libraries that use a small backlog and offer no setting for it.
core::base::Result<void> RaiseListenBacklog(const std::string& ip,
                                            std::uint16_t port, int backlog);

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_LISTEN_BACKLOG_H_
