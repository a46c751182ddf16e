#include "tests/integration/platform/common/fleet.h"

#include <array>
#include <boost/algorithm/string/replace.hpp>
#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace dogwoodrail::integration {
namespace {

constexpr std::chrono::seconds kStartTimeout{20};
constexpr std::chrono::seconds kCallTimeout{2};
constexpr std::chrono::seconds kLogTimeout{2};
constexpr const char* kKey = "test-key-1";

std::string Loopback(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string MakeConfig(const std::string& service, std::uint32_t version) {
  constexpr std::size_t kTextBytes = 9;  // 8 digits and the terminator
  std::array<char, kTextBytes> digits{};
  std::snprintf(digits.data(), digits.size(), "%08" PRIx32, version);
  const std::string action = R"("action":{"service":")" + service +
                             R"(","timeout_ms":4000,"attempts":2}})";
  return R"({"version":")" + std::string(digits.data()) +
         R"(","limits":{"idle_timeout_ms":15000},)"
         R"("tenants":[{"name":"stitchers","api_keys":["test-key-1"]}],)"
         R"("listeners":[{"host":"localhost","rules":[)"
         R"({"name":"read","kind":"idempotent","target_latency_ms":1500,)"
         R"("priority":1,"matcher":{"prefix":"/read/"},)" +
         action +
         R"(,{"name":"write","kind":"non_idempotent","priority":0,)"
         R"("target_latency_ms":1500,"matcher":{"prefix":"/write/"},)" +
         action +
         R"(,{"name":"open","kind":"non_idempotent","priority":0,)"
         R"("public":true,)"
         R"("target_latency_ms":1500,"matcher":{"prefix":"/open/"},)" +
         action + R"(]}],"clusters":[{"name":")" + service +
         R"(","health_path":"/healthz"}]})";
}

RawResponse Post(std::uint16_t port, const std::string& path,
                 const std::string& body) {
  RawRequest request;
  request.method = "POST";
  request.target = path;
  request.body = body;
  return SendRequest(port, request, kCallTimeout);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

PlatformFleet::PlatformFleet(const std::string& name,
                             std::vector<std::string> services,
                             std::size_t slots)
    : directory_(MakeTestDirectory(name)),
      work_(boost::asio::make_work_guard(loop_)),
      store_(loop_, store_port_) {
  store_.Put("config", "main", MakeConfig(services.front(), 1));
  store_.Start();
  for (std::string& service : services) {
    PlatformVm vm;
    vm.service = std::move(service);
    InstanceSpec spec;
    spec.service = vm.service;
    spec.slots = slots;
    spec.port = vm.instance_port;
    spec.control_port = vm.control_port;
    vm.instance = std::make_unique<PlatformInstance>(loop_, spec);
    vms_.push_back(std::move(vm));
  }
  thread_ = std::thread([this] { loop_.run(); });
  for (std::size_t it = 0; it < vms_.size(); ++it) {
    StartNode(it);
    vms_[it].instance->Start();
  }
  if (!WaitServing(kStartTimeout)) {
    Stop();
    throw std::runtime_error("the nodes do not serve; see " + directory_);
  }
}

PlatformFleet::~PlatformFleet() { Stop(); }

void PlatformFleet::Stop() {
  for (PlatformVm& it : vms_) it.process.reset();
  loop_.stop();
  if (thread_.joinable()) thread_.join();
}

std::string PlatformFleet::ConfigText(std::uint32_t version) const {
  return MakeConfig(vms_.front().service, version);
}

std::size_t PlatformFleet::CountRuns(const std::string& target) {
  std::size_t count = 0;
  for (PlatformVm& it : vms_) count += it.instance->CountRuns(target);
  return count;
}

std::map<std::string, std::size_t> PlatformFleet::RunsByTarget() {
  std::map<std::string, std::size_t> counts;
  for (PlatformVm& vm : vms_) {
    for (const auto& [target, runs] : vm.instance->RunsByTarget()) {
      counts[target] += runs;
    }
  }
  return counts;
}

std::string PlatformFleet::node_log(std::size_t it) const {
  return directory_ + "/node-" + std::to_string(it) + ".log";
}

std::string PlatformFleet::LogLine(std::size_t it, const std::string& event,
                                   const std::string& text) const {
  std::ifstream file(node_log(it));
  for (std::string line; std::getline(file, line);) {
    const bool found = line.find(event) != std::string::npos &&
                       line.find(text) != std::string::npos;
    if (found) return line;
  }
  return "";
}

std::string PlatformFleet::WaitLogLine(std::size_t it, const std::string& event,
                                       const std::string& text) const {
  std::string line;
  WaitUntil(kLogTimeout, [&] {
    line = LogLine(it, event, text);
    return !line.empty();
  });
  return line;
}

// The template gives all nodes the same ports on addresses of their own; here
// they share an address and have ports of their own.
std::string PlatformFleet::WriteSettings(std::size_t it) const {
  const PlatformVm& vm = vms_.at(it);
  std::string text =
      ReadFile(std::string(DOGWOODRAIL_SOURCE_DIR) + "/deploy/node.ini");
  const std::vector<std::pair<std::string, std::string>> fields = {
      {"{{ip}}:7000", Loopback(vm.peer_port)},
      {"{{ip}}:7001", Loopback(vm.operator_port)},
      {"{{listen.outbound}}", Loopback(vm.caller_port)},
      {"{{listen.ready}}", Loopback(vm.ready_port)},
      {"{{listen.control}}", Loopback(vm.control_port)},
      {"{{zone}}", "a"},
      {"{{region}}", "r"},
      {"{{node}}", "node-" + std::to_string(it)},
      {"{{service}}", vm.service},
      {"{{app_addr}}", Loopback(vm.instance_port)},
      {"{{platform.addr}}", Loopback(store_port_)}};
  for (const auto& [name, value] : fields) {
    boost::algorithm::replace_all(text, name, value);
  }
  std::string path = directory_ + "/node-" + std::to_string(it) + ".ini";
  std::ofstream(path) << text;
  return path;
}

void PlatformFleet::StartNode(std::size_t it,
                              const std::vector<std::string>& flags) {
  std::vector<std::string> args = {"node", "--settings", WriteSettings(it)};
  args.insert(args.end(), flags.begin(), flags.end());
  vms_.at(it).process.reset();
  vms_.at(it).process =
      std::make_unique<Process>("dogwoodrail", args, node_log(it));
}

void PlatformFleet::Reassign(std::size_t it, const std::string& service) {
  vms_.at(it).service = service;
  WriteSettings(it);
  node(it).SendSignal(SIGHUP);
}

// A request is served by any instance, so that each node is asked as often as
// there are instances.
bool PlatformFleet::WaitServing(std::chrono::milliseconds timeout) {
  return WaitUntil(timeout, [this] {
    for (std::size_t it = 0; it < vms_.size(); ++it) {
      for (std::size_t n = 0; n < vms_.size(); ++n) {
        if (Send(it, "GET", "/read/probe").status != 200) return false;
      }
    }
    return true;
  });
}

RawRequest PlatformFleet::MakeRequest(const std::string& method,
                                      const std::string& path,
                                      const std::string& body) {
  RawRequest request;
  request.method = method;
  request.target = path;
  request.body = body;
  request.AddHeader("X-Api-Key", kKey);
  request.AddHeader("Attempt-Id", "t" + std::to_string(next_id_++));
  request.AddHeader("Deadline-Ms", "4000");
  return request;
}

RawResponse PlatformFleet::Send(std::size_t it, const std::string& method,
                                const std::string& path,
                                const std::string& body) {
  return SendRequest(vms_.at(it).caller_port, MakeRequest(method, path, body));
}

std::string PlatformFleet::Metrics(std::size_t it) const {
  RawRequest request;
  request.target = "/metrics";
  return SendRequest(vms_.at(it).operator_port, request, kCallTimeout).body;
}

double PlatformFleet::Metric(std::size_t it, const std::string& name) const {
  std::istringstream lines(Metrics(it));
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(name + " ", 0) != 0) continue;
    return std::strtod(line.c_str() + name.size() + 1, nullptr);
  }
  return -1;
}

std::string PlatformFleet::Timeline(std::size_t it,
                                    const std::string& query) const {
  RawRequest request;
  request.target = "/v1/timeline?" + query;
  return SendRequest(vms_.at(it).operator_port, request, kCallTimeout).body;
}

RawResponse PlatformFleet::PostOperator(std::size_t it, const std::string& path,
                                        const std::string& body) const {
  return Post(vms_.at(it).operator_port, path, body);
}

RawResponse PlatformFleet::PostControl(std::size_t it, const std::string& path,
                                       const std::string& body) const {
  return Post(vms_.at(it).control_port, path, body);
}

}  // namespace dogwoodrail::integration
