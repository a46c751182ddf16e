#include "tests/integration/common/fleet.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <stdexcept>
#include <utility>

#include "objectapi/config_store.h"
#include "objectapi/http_object_store.h"
#include "standins/common/json_func.h"
#include "standins/common/request_func.h"

namespace dogwoodrail::integration {
namespace {

constexpr std::chrono::seconds kStartTimeout{10};
constexpr std::chrono::seconds kConfigTimeout{10};
constexpr std::chrono::seconds kControlTimeout{2};

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// Posts JSON to a control port; throws if the request is not accepted.
void PostControl(std::uint16_t port, const std::string& target,
                 const std::string& json) {
  RawRequest request;
  request.method = "POST";
  request.target = target;
  request.body = json;
  if (SendRequest(port, request, kControlTimeout).status != 204) {
    throw std::runtime_error("control of port " + std::to_string(port) +
                             " failed: " + json);
  }
}

// Sends a GET request and returns the response.
RawResponse SendGet(std::uint16_t port, const std::string& target) {
  RawRequest request;
  request.target = target;
  return SendRequest(port, request, kControlTimeout);
}

void RequireWithin(std::chrono::milliseconds timeout, const std::string& what,
                   const std::function<bool()>& condition) {
  if (!WaitUntil(timeout, condition)) {
    throw std::runtime_error("timed out: " + what);
  }
}

std::size_t ReadyEndpoints(std::uint16_t operator_port) {
  const auto status =
      standin::ParseJson(SendGet(operator_port, "/v1/status").body);
  if (!status) return 0;
  const auto endpoints = status->get_child_optional("endpoints");
  if (!endpoints) return 0;
  return static_cast<std::size_t>(
      std::count_if(endpoints->begin(), endpoints->end(), [](const auto& it) {
        return it.second.template get<std::string>("state", "") == "ready";
      }));
}

ExecutionRecord ParseExecution(const std::string& file,
                               const standin::JsonTree& tree) {
  ExecutionRecord line;
  line.server_file = file;
  line.request_id = tree.get<std::string>("request_id", "");
  line.idempotency_key = tree.get<std::string>("idempotency_key", "");
  line.account = tree.get<std::string>("account", "");
  line.target = tree.get<std::string>("target", "");
  line.digest = tree.get<std::string>("digest", "");
  line.leak = tree.get<std::string>("leak", "");
  line.state = tree.get<std::string>("state", "");
  return line;
}

}  // namespace

FaultProxy::FaultProxy(std::uint16_t target, bool datagrams,
                       const std::string& log_file)
    : port_(FreePort()), control_(FreePort()) {
  std::vector<std::string> args = {"--listen=" + std::to_string(port_),
                                   "--control=" + std::to_string(control_),
                                   "--target=" + Loopback(target)};
  if (datagrams) args.emplace_back("--udp");
  process_ = std::make_unique<Process>("standin_faultproxy", args, log_file);
  RequireWithin(kStartTimeout, "start of the fault proxy",
                [this] { return RawConnection(control_).IsOpen(); });
}

void FaultProxy::SetFaults(const std::string& json) const {
  PostControl(control_, "/control", json);
}

Vm::Vm(VmSpec spec, std::string directory, int number)
    : spec_(std::move(spec)),
      directory_(std::move(directory)),
      number_(number),
      caller_port_(FreePort()),
      operator_port_(FreePort()),
      peer_port_(FreePort()),
      backend_port_(FreePort()) {
  const std::string log =
      directory_ + "/proxy-" + std::to_string(number_) + ".log";
  if (spec_.proxy_peer) {
    peer_proxy_ = std::make_unique<FaultProxy>(peer_port_, true, log);
  }
  if (spec_.proxy_backend) {
    backend_proxy_ = std::make_unique<FaultProxy>(backend_port_, false, log);
  }
}

std::uint16_t Vm::advertised_peer_port() const {
  return peer_proxy_ ? peer_proxy_->port() : peer_port_;
}

std::string Vm::execution_file() const {
  return directory_ + "/executions-" + std::to_string(number_) + ".log";
}

std::string Vm::node_log() const {
  return directory_ + "/node-" + std::to_string(number_) + ".log";
}

void Vm::ControlBackend(const std::string& json) const {
  PostControl(backend_port_, "/standin/control", json);
}

std::string Vm::WriteSettings(std::uint16_t platform,
                              const std::string& seeds) const {
  std::string path = directory_ + "/node-" + std::to_string(number_) + ".ini";
  std::ofstream file(path);
  file << "[node]\n"
       << "caller = " << Loopback(caller_port_) << "\n"
       << "operator = " << Loopback(operator_port_) << "\n"
       << "peer = " << Loopback(advertised_peer_port()) << "\n";
  if (peer_proxy_) file << "peer_listen = " << Loopback(peer_port_) << "\n";
  file << "zone = " << spec_.zone << "\n"
       << "[platform]\naddress = " << Loopback(platform) << "\n"
       << "[peers]\nseeds = " << seeds << "\n"
       << spec_.settings;
  return path;
}

void Vm::StartNode(std::uint16_t platform, const std::string& seeds) {
  if (spec_.proxy_platform && !platform_proxy_) {
    platform_proxy_ = std::make_unique<FaultProxy>(
        platform, false,
        directory_ + "/proxy-platform-" + std::to_string(number_) + ".log");
  }
  const std::uint16_t port =
      platform_proxy_ ? platform_proxy_->port() : platform;
  node_ = std::make_unique<Process>(
      "dogwoodrail",
      std::vector<std::string>{"node", "--settings",
                               WriteSettings(port, seeds)},
      node_log());
}

void Vm::StartBackend() {
  const std::uint16_t announced =
      backend_proxy_ ? backend_proxy_->port() : backend_port_;
  std::vector<std::string> args = {
      "--service=" + spec_.service,
      "--name=" + spec_.service + "-" + std::to_string(number_),
      "--port=" + std::to_string(backend_port_),
      "--announced_address=" + Loopback(announced),
      "--operator=" + Loopback(operator_port_),
      "--node=" + Loopback(caller_port_),
      "--slots=" + std::to_string(spec_.slots),
      "--service_time_ms=" + std::to_string(spec_.service_time_ms),
      "--next=" + spec_.next,
      std::string("--leak_marker=") + kKeyMarker,
      "--execution_log=" + execution_file()};
  args.insert(args.end(), spec_.backend_args.begin(), spec_.backend_args.end());
  backend_ = std::make_unique<Process>(
      "standin_backend", args,
      directory_ + "/backend-" + std::to_string(number_) + ".log");
  RequireWithin(kStartTimeout, "start of a backend server",
                [this] { return RawConnection(backend_port_).IsOpen(); });
}

Fleet::Fleet(FleetSpec spec)
    : directory_(MakeTestDirectory(spec.name)),
      platform_port_(FreePort()),
      platform_control_(FreePort()) {
  platform_ = std::make_unique<Process>(
      "standin_objectapi",
      std::vector<std::string>{
          "--port=" + std::to_string(platform_port_),
          "--control=" + std::to_string(platform_control_)},
      directory_ + "/objectapi.log");
  RequireWithin(kStartTimeout, "start of the Object API",
                [this] { return RawConnection(platform_control_).IsOpen(); });
  SubmitTicket(std::move(spec.ticket));
  for (VmSpec& it : spec.vms) {
    const int number = static_cast<int>(vms_.size());
    vms_.push_back(std::make_unique<Vm>(std::move(it), directory_, number));
  }
  for (const auto& it : vms_) it->StartNode(platform_port_, Seeds());
  for (const auto& it : vms_) it->StartBackend();
  RequireWithin(kConfigTimeout, "readiness of all nodes", [this] {
    return std::all_of(vms_.begin(), vms_.end(), [](const auto& it) {
      return SendGet(it->operator_port(), "/ready").status == 200;
    });
  });
  if (!WaitEndpoints(vms_.size(), kStartTimeout)) {
    throw std::runtime_error("the nodes do not know all backend servers; see " +
                             directory_);
  }
}

std::string Fleet::Seeds() const {
  std::string seeds;
  for (std::size_t it = 0; it < vms_.size(); ++it) {
    if (it > 0) seeds += ",";
    seeds += Loopback(vms_[it]->advertised_peer_port());
  }
  return seeds;
}

void Fleet::SubmitTicket(core::config::Ticket ticket) const {
  static core::base::Random random(
      static_cast<std::uint64_t>(standin::WallNow().count()));
  std::string id = standin::MakeUuid7(standin::WallNow(), random);
  id.erase(std::remove(id.begin(), id.end(), '-'), id.end());
  ticket.id = core::config::TicketId(id);
  ticket.author = "test";
  ticket.time = core::base::WallTime(standin::WallNow());
  objectapi::HttpObjectStore objects(ObjectStoreOptions());
  const auto number =
      objectapi::ConfigStore(objects).SubmitTicket(std::move(ticket));
  if (!number) throw std::runtime_error("ticket: " + number.error().detail);
}

objectapi::HttpObjectStoreOptions Fleet::ObjectStoreOptions() const {
  objectapi::HttpObjectStoreOptions options;
  options.ip = "127.0.0.1";
  options.port = platform_port_;
  return options;
}

bool Fleet::IsPlatformReachable() const {
  return objectapi::HttpObjectStore(ObjectStoreOptions())
      .List("test/")
      .has_value();
}

void Fleet::WriteOtherObject(std::size_t count) const {
  objectapi::HttpObjectStore objects(ObjectStoreOptions());
  objectapi::ObjectVersion version(0);
  for (std::size_t it = 0; it < count; ++it) {
    const auto written = objects.PutIf(objectapi::ObjectKey("test/other"),
                                       std::to_string(it), version);
    if (!written) throw std::runtime_error("write: " + written.error().detail);
    version = *written;
  }
}

void Fleet::SetPlatformFault(const std::string& json) const {
  PostControl(platform_control_, "/fault", json);
}

bool Fleet::WaitEndpoints(std::size_t count,
                          std::chrono::milliseconds timeout) {
  return WaitUntil(timeout, [this, count] {
    return std::all_of(vms_.begin(), vms_.end(), [count](const auto& it) {
      return !it->node().IsRunning() ||
             ReadyEndpoints(it->operator_port()) == count;
    });
  });
}

void Fleet::RestartNode(std::size_t it) {
  vms_.at(it)->StartNode(platform_port_, Seeds());
}

// Each execution writes one line when it starts and one when it ends. A
// restarted backend server numbers its executions from 0 again.
std::vector<ExecutionRecord> Fleet::Executions() const {
  std::vector<ExecutionRecord> lines;
  for (const auto& vm : vms_) {
    std::ifstream file(vm->execution_file());
    std::map<int, std::size_t> index_by_place;
    for (std::string text; std::getline(file, text);) {
      const auto tree = standin::ParseJson(text);
      if (!tree) continue;
      ExecutionRecord line = ParseExecution(vm->execution_file(), *tree);
      const int place = tree->get("place", 0);
      if (line.state == "running") {
        index_by_place[place] = lines.size();
        lines.push_back(std::move(line));
      } else {
        lines.at(index_by_place.at(place)) = std::move(line);
      }
    }
  }
  return lines;
}

std::size_t Fleet::CountExecutionsAt(std::size_t it) const {
  const std::string file = vms_.at(it)->execution_file();
  const std::vector<ExecutionRecord> lines = Executions();
  return static_cast<std::size_t>(std::count_if(
      lines.begin(), lines.end(),
      [&file](const auto& line) { return line.server_file == file; }));
}

}  // namespace dogwoodrail::integration
