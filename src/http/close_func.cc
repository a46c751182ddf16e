#include "http/close_func.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace dogwoodrail::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

CloseCause CauseOfReadError(const boost::system::error_code& ec, bool begun) {
  if (ec == beast::error::timeout) {
    return begun ? CloseCause::kHeaderTimeout : CloseCause::kIdleTimeout;
  }
  if (ec == beast::http::error::end_of_stream || ec == asio::error::eof) {
    return CloseCause::kCallerClosed;
  }
  if (ec == asio::error::connection_reset) return CloseCause::kCallerReset;
  return CloseCause::kReadError;
}

CloseCause CauseOfWriteError(const boost::system::error_code& ec) {
  if (ec == beast::error::timeout) return CloseCause::kWriteTimeout;
  const bool caller_left =
      ec == asio::error::connection_reset || ec == asio::error::broken_pipe;
  return caller_left ? CloseCause::kCallerReset : CloseCause::kWriteError;
}

}  // namespace dogwoodrail::http
