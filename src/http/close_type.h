#ifndef DOGWOODRAIL_HTTP_CLOSE_TYPE_H_
#define DOGWOODRAIL_HTTP_CLOSE_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/base/id_type.h"

namespace dogwoodrail::http {

// Identifies one request of a caller and the response to it.
using ExchangeId = core::base::StrongNumber<struct ExchangeIdTag>;

// Why a connection of a caller ended. The properties of each cause are in
// http/close_table.h.
enum class CloseCause : std::uint8_t {
  kResponseSent,
  kRefused,
  kIdleTimeout,
  kHeaderTimeout,
  kBodyTimeout,
  kWriteTimeout,
  kWriteError,
  kReadError,
  kCallerClosed,
  kCallerReset,
  kShutdown,
  kStopDeadline,
  kServerClosed,
  kCount,
};

// The end of a connection of a caller.
struct ConnectionClose {
  CloseCause cause = CloseCause::kServerClosed;
  // Set if a request had been read whole and its response was not written.
  std::optional<ExchangeId> owed;
  core::base::RequestId request;  // of the owed exchange; empty if not known
  std::size_t requests_read = 0;  // read whole on the connection
  // Received but not read. Closing the connection then resets it, and the
  // caller may lose a response that was written before.
  std::size_t unread_bytes = 0;
};

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_CLOSE_TYPE_H_
