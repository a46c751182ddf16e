#ifndef DOGWOODRAIL_NODE_OPERATOR_API_H_
#define DOGWOODRAIL_NODE_OPERATOR_API_H_

#include <functional>
#include <string>

#include "http/message_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Serves the HTTP requests at the operator endpoint of a node. Handle() is
// thread-safe; it runs the request on the event loop and waits for at most two
// seconds.
class OperatorApi {
 public:
  // Handles the requests for an added path, such as the timeline.
  using Handler = std::function<http::Response(const http::Request&)>;

  explicit OperatorApi(Node& node);

  // Registers a handler, which runs on the thread that calls Handle().
  void AddPath(std::string path, Handler handler);
  // Returns the response to a request.
  http::Response Handle(const http::Request& request);

 private:
  struct Path {
    std::string path;
    Handler handler;
  };

  http::Response Status();
  http::Response Health();
  http::Response Ready();
  http::Response MetricsText();
  http::Response Announce(const http::Request& request);
  // Lifts the block of a poison request, which the body names by fingerprint.
  http::Response ReleasePoison(const http::Request& request);
  // Runs a task on the event loop; a 503 response if it does not finish in
  // time.
  http::Response RunOnLoop(std::function<http::Response()> task);

  Node& node_;
  std::vector<Path> paths_;
};

// Creates a response with a body.
http::Response MakeTextResponse(int status, const char* content_type,
                                std::string body);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_OPERATOR_API_H_
