#ifndef DOGWOODRAIL_HTTP_OPERATOR_SERVER_H_
#define DOGWOODRAIL_HTTP_OPERATOR_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "core/base/error_type.h"
#include "http/message_type.h"

namespace dogwoodrail::http {

// HTTP server for operators, metric scrapers and announcements of the local
// backend server. Uses cxxtools and runs on its own threads.
class OperatorServer {
 public:
  // Returns the response to a request; called concurrently on the server's
  // threads.
  using Handler = std::function<Response(const Request&)>;

  explicit OperatorServer(Handler handler);
  // Stops the server and joins its threads.
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  // Starts listening and serving requests.
  core::base::Result<void> Listen(const std::string& ip, std::uint16_t port);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace dogwoodrail::http

#endif  // DOGWOODRAIL_HTTP_OPERATOR_SERVER_H_
