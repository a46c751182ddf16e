#include "node/operator_api.h"

#include <array>
#include <future>
#include <memory>
#include <utility>

#include "core/base/reason_table.h"
#include "json/json_reader.h"
#include "json/json_writer.h"
#include "wire/address_func.h"

namespace dogwoodrail::node {

using core::base::BackendServerState;
using http::Request;
using http::Response;

namespace {

constexpr std::chrono::seconds kLoopTimeout(2);
constexpr const char* kJsonType = "application/json";
constexpr const char* kTextType = "text/plain";
constexpr std::uint64_t kMaxLoadNumber = 1'000'000;

constexpr std::array<std::string_view, 4> kStateTexts = {"starting", "ready",
                                                         "draining", "gone"};

// Returns the name of a backend server's state in JSON.
std::string StateText(BackendServerState state) {
  return std::string(kStateTexts.at(static_cast<std::size_t>(state)));
}

// Returns the path of a request target, without its query.
std::string TargetPath(const std::string& target) {
  return target.substr(0, target.find('?'));
}

// Parses the JSON body of an announcement.
core::base::Result<BackendAnnouncement> ParseAnnouncement(
    const std::string& body) {
  const auto node = json::ParseJson(body);
  if (!node) return tl::make_unexpected(node.error());
  json::JsonReader reader(*node, "announcement");
  BackendAnnouncement result;
  result.service = core::base::ServiceName(reader.String("service"));
  result.address = reader.String("address");
  result.state = static_cast<BackendServerState>(
      reader.Choice("state", {"starting", "ready", "draining"}));
  result.load.slots =
      static_cast<std::uint32_t>(reader.Number("slots", kMaxLoadNumber));
  result.load.in_use =
      static_cast<std::uint32_t>(reader.Number("in_use", kMaxLoadNumber));
  result.load.queued =
      static_cast<std::uint32_t>(reader.Number("queued", kMaxLoadNumber));
  if (!wire::ParseIpPort(result.address)) reader.Fail("address: not IP:port");
  if (result.service.empty()) reader.Fail("service: empty");
  const auto finished = reader.Finish();
  if (!finished) return tl::make_unexpected(finished.error());
  return result;
}

// Adds the known backend servers with their routing statistics.
void AddEndpoints(json::JsonNode& si,
                  const core::route::EndpointChooser& chooser) {
  json::JsonNode& list = json::AddArray(si, "endpoints");
  for (const auto& it : chooser.Snapshot()) {
    json::JsonNode& entry = json::AddObject(list);
    entry.addMember("service") <<= it.info.service.value();
    entry.addMember("address") <<= it.info.address.value();
    entry.addMember("zone") <<= it.info.zone.value();
    entry.addMember("state") <<= StateText(it.info.state);
    entry.addMember("in_flight") <<= it.in_flight;
    entry.addMember("ejected") <<= it.ejected;
    entry.addMember("latency_us") <<= it.latency.count();
    entry.addMember("sent") <<= it.sent;
  }
}

// Adds the admission state of the backend server of this node.
void AddAdmission(json::JsonNode& si,
                  const core::admission::AdmissionControl& admission) {
  const auto snapshot = admission.Snapshot();
  json::JsonNode& entry = json::AddObject(si, "admission");
  entry.addMember("limit") <<= snapshot.limit;
  entry.addMember("in_flight") <<= snapshot.in_flight;
  entry.addMember("queued") <<= snapshot.queued;
  entry.addMember("best_latency_us") <<= snapshot.best_latency.count();
  entry.addMember("started") <<= snapshot.started;
  entry.addMember("finished") <<= snapshot.finished;
  json::JsonNode& refused = json::AddObject(entry, "refused");
  for (std::size_t it = 0; it < snapshot.refused_by_reason.size(); ++it) {
    if (snapshot.refused_by_reason.at(it) == 0) continue;
    const auto& spec =
        core::base::GetReasonSpec(static_cast<core::base::Reason>(it));
    refused.addMember(std::string(spec.code)) <<=
        snapshot.refused_by_reason.at(it);
  }
}

// Adds the shards for which this node has authority.
void AddShards(json::JsonNode& si, const core::shard::ShardTable& table) {
  json::JsonNode& list = json::AddArray(si, "shards");
  for (std::uint32_t it = 0; it < table.shard_count(); ++it) {
    const core::shard::ShardIndex shard(it);
    const auto epoch = table.AuthorityEpoch(shard, Node::Now());
    if (epoch == core::shard::Epoch()) continue;
    json::JsonNode& entry = json::AddObject(list);
    entry.addMember("shard") <<= it;
    entry.addMember("epoch") <<= epoch.value();
  }
}

}  // namespace

Response MakeTextResponse(int status, const char* content_type,
                          std::string body) {
  Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", content_type});
  response.body = std::move(body);
  return response;
}

OperatorApi::OperatorApi(Node& node) : node_(node) {}

void OperatorApi::AddPath(std::string path, Handler handler) {
  paths_.push_back(Path{std::move(path), std::move(handler)});
}

Response OperatorApi::Handle(const Request& request) {
  const std::string path = TargetPath(request.target);
  if (path == "/v1/status") return Status();
  if (path == "/health") return Health();
  if (path == "/ready") return Ready();
  if (path == "/metrics") return MetricsText();
  if (path == "/v1/announce") return Announce(request);
  if (path == "/v1/poison/release") return ReleasePoison(request);
  for (const Path& it : paths_) {
    if (it.path == path) return it.handler(request);
  }
  return MakeTextResponse(404, kTextType, "unknown path\n");
}

Response OperatorApi::RunOnLoop(std::function<Response()> task) {
  auto promise = std::make_shared<std::promise<Response>>();
  auto future = promise->get_future();
  node_.Post([promise, task = std::move(task)] { promise->set_value(task()); });
  if (future.wait_for(kLoopTimeout) != std::future_status::ready) {
    return MakeTextResponse(503, kTextType, "the node does not respond\n");
  }
  return future.get();
}

Response OperatorApi::Status() {
  return RunOnLoop([this] {
    json::JsonNode si = json::MakeObject();
    const auto& identity = node_.settings().identity;
    si.addMember("address") <<= identity.peer_address;
    si.addMember("zone") <<= identity.zone.value();
    si.addMember("region") <<= identity.region.value();
    const auto& config = node_.config();
    si.addMember("configuration") <<= config ? config->number().value() : 0;
    si.addMember("stopping") <<= node_.stopping();
    si.addMember("calls") <<= node_.entry().size();
    const auto& backend = node_.serving().backend();
    json::JsonNode& server = json::AddObject(si, "backend_server");
    server.addMember("service") <<= backend.service.value();
    server.addMember("address") <<= backend.address;
    server.addMember("state") <<= StateText(backend.state);
    AddAdmission(si, node_.admission());
    AddEndpoints(si, node_.chooser());
    AddShards(si, node_.shards().table());
    return MakeTextResponse(200, kJsonType, json::WriteJson(si) + "\n");
  });
}

Response OperatorApi::Health() {
  return RunOnLoop([] { return MakeTextResponse(200, kTextType, "ok\n"); });
}

Response OperatorApi::Ready() {
  return RunOnLoop([this] {
    const bool ready = node_.config() != nullptr && !node_.stopping();
    return MakeTextResponse(ready ? 200 : 503, kTextType,
                            ready ? "ready\n" : "not ready\n");
  });
}

Response OperatorApi::MetricsText() {
  return RunOnLoop([this] {
    return MakeTextResponse(200, kTextType, node_.metrics().Text(node_));
  });
}

Response OperatorApi::Announce(const Request& request) {
  const auto announcement = ParseAnnouncement(request.body);
  if (!announcement) {
    return MakeTextResponse(400, kTextType, announcement.error().detail + "\n");
  }
  return RunOnLoop([this, announcement = *announcement] {
    node_.OnAnnouncement(announcement);
    return MakeTextResponse(204, kTextType, "");
  });
}

Response OperatorApi::ReleasePoison(const Request& request) {
  if (request.method != "POST") {
    return MakeTextResponse(405, kTextType, "use POST\n");
  }
  const auto fingerprint = core::poison::ParseFingerprint(request.body);
  if (!fingerprint) {
    return MakeTextResponse(400, kTextType, "body: not a fingerprint\n");
  }
  return RunOnLoop([this, fingerprint = *fingerprint] {
    const std::size_t records =
        node_.poison().Release(fingerprint, Node::Now());
    return MakeTextResponse(
        records > 0 ? 200 : 404, kTextType,
        "crashes lifted: " + std::to_string(records) + "\n");
  });
}

}  // namespace dogwoodrail::node
