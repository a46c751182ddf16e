#include "node/node_operator.h"

#include <string>

#include "node/timeline_codec.h"
#include "wire/address_func.h"

namespace dogwoodrail::node {
namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;

// Returns the events of the timeline that match the query of the request.
http::Response AnswerTimeline(const http::Request& request,
                              const core::base::NodeAddress& self,
                              const EventLog& log) {
  const auto mark = request.target.find('?');
  const auto query = ParseEventQuery(
      mark == std::string::npos ? "" : request.target.substr(mark + 1));
  if (!query) {
    return MakeTextResponse(kBadRequest, "text/plain",
                            query.error().detail + "\n");
  }
  return MakeTextResponse(kOk, "application/json",
                          EncodeTimeline({self, log.Read(*query)}) + "\n");
}

}  // namespace

NodeOperator::NodeOperator(Node& node, const EventLog& log)
    : node_(node), api_(node), server_([this](const http::Request& request) {
        return api_.Handle(request);
      }) {
  const core::base::NodeAddress self(node.settings().identity.peer_address);
  api_.AddPath("/v1/timeline", [self, &log](const http::Request& request) {
    return AnswerTimeline(request, self, log);
  });
}

core::base::Result<void> NodeOperator::Listen() {
  const std::string& text = node_.settings().identity.operator_address;
  const auto address = wire::ParseIpPort(text);
  if (!address) return tl::make_unexpected(address.error());
  const auto listening = server_.Listen(address->ip, address->port);
  if (listening) return {};
  return core::base::MakeError(
      listening.error().code,
      "operator " + text + ": " + listening.error().detail);
}

}  // namespace dogwoodrail::node
