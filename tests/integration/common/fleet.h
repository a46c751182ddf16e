#ifndef DOGWOODRAIL_TESTS_INTEGRATION_COMMON_FLEET_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_COMMON_FLEET_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/config/config_type.h"
#include "objectapi/http_object_store.h"
#include "tests/integration/common/process.h"
#include "tests/integration/common/raw_http.h"

namespace dogwoodrail::integration {

// Configuration of one VM: a node and its local backend server.
struct VmSpec {
  std::string service;
  std::string zone = "a";
  int slots = 20;
  int service_time_ms = 5;
  std::string next;                       // path that each request calls
  std::vector<std::string> backend_args;  // more flags for standin_backend
  std::string settings;                   // more lines for the settings file
  bool proxy_peer = false;      // fault proxy before the node's peer port
  bool proxy_backend = false;   // fault proxy before the backend server
  bool proxy_platform = false;  // fault proxy between node and platform
};

// Configuration of a fleet.
struct FleetSpec {
  std::string name;  // test name, used for the log directory
  std::vector<VmSpec> vms;
  core::config::Ticket ticket;
};

// A running standin_faultproxy and its ports.
class FaultProxy {
 public:
  FaultProxy(std::uint16_t target, bool datagrams, const std::string& log_file);

  // Port that the proxy listens on.
  std::uint16_t port() const { return port_; }
  // Changes the active faults by a JSON request to the control port.
  void SetFaults(const std::string& json) const;

 private:
  std::uint16_t port_;
  std::uint16_t control_;
  std::unique_ptr<Process> process_;
};

// A VM with its node and its backend server.
class Vm {
 public:
  Vm(VmSpec spec, std::string directory, int number);

  // Starts or restarts the node. Its addresses do not change.
  void StartNode(std::uint16_t platform, const std::string& seeds);
  // Starts or restarts the backend server.
  void StartBackend();

  // The process of the node and of the backend server.
  Process& node() { return *node_; }
  Process& backend() { return *backend_; }
  // Listening ports of the node and of the backend server.
  std::uint16_t caller_port() const { return caller_port_; }
  std::uint16_t operator_port() const { return operator_port_; }
  std::uint16_t peer_port() const { return peer_port_; }
  std::uint16_t backend_port() const { return backend_port_; }
  // Peer port that other nodes use: that of the proxy, if there is one.
  std::uint16_t advertised_peer_port() const;
  // The fault proxies; null where the VM has none.
  FaultProxy* peer_proxy() const { return peer_proxy_.get(); }
  FaultProxy* backend_proxy() const { return backend_proxy_.get(); }
  FaultProxy* platform_proxy() const { return platform_proxy_.get(); }
  // Configuration of the VM.
  const VmSpec& spec() const { return spec_; }
  // Log of the executions; kept when the backend server restarts.
  std::string execution_file() const;
  // Path of the node's log file.
  std::string node_log() const;
  // Changes the backend server's behavior by a JSON control request.
  void ControlBackend(const std::string& json) const;

 private:
  std::string WriteSettings(std::uint16_t platform,
                            const std::string& seeds) const;

  VmSpec spec_;
  std::string directory_;
  int number_;
  std::uint16_t caller_port_;
  std::uint16_t operator_port_;
  std::uint16_t peer_port_;
  std::uint16_t backend_port_;
  std::unique_ptr<FaultProxy> peer_proxy_;
  std::unique_ptr<FaultProxy> backend_proxy_;
  std::unique_ptr<FaultProxy> platform_proxy_;
  std::unique_ptr<Process> node_;
  std::unique_ptr<Process> backend_;
};

// One execution from the execution logs, in its latest state.
struct ExecutionRecord {
  std::string server_file;
  std::string request_id;
  std::string idempotency_key;
  std::string account;
  std::string target;
  std::string digest;
  std::string leak;
  std::string state;
};

// A running Object API and a set of VMs. The destructor ends all processes.
class Fleet {
 public:
  // Starts all processes and waits until each node is ready and knows every
  // backend server.
  explicit Fleet(FleetSpec spec);

  // Returns a VM by its index in the spec.
  Vm& vm(std::size_t it) const { return *vms_.at(it); }
  // Number of VMs.
  std::size_t size() const { return vms_.size(); }
  // Submits a change ticket to the Object API.
  void SubmitTicket(core::config::Ticket ticket) const;
  // Returns true if the Object API answers a read.
  bool IsPlatformReachable() const;
  // Writes an object to the Object API that no node reads, `count` times.
  void WriteOtherObject(std::size_t count) const;
  // Changes the active faults of the Object API.
  void SetPlatformFault(const std::string& json) const;
  // Waits until each running node reports exactly `count` ready endpoints.
  bool WaitEndpoints(std::size_t count, std::chrono::milliseconds timeout);
  // Restarts the node of a VM.
  void RestartNode(std::size_t it);
  // Returns the executions of all backend servers so far.
  std::vector<ExecutionRecord> Executions() const;
  // Number of executions that the backend server of a VM has started.
  std::size_t CountExecutionsAt(std::size_t it) const;
  // Directory of the logs.
  const std::string& directory() const { return directory_; }

 private:
  std::string Seeds() const;
  objectapi::HttpObjectStoreOptions ObjectStoreOptions() const;

  std::string directory_;
  std::uint16_t platform_port_;
  std::uint16_t platform_control_;
  std::unique_ptr<Process> platform_;
  std::vector<std::unique_ptr<Vm>> vms_;
};

// Prefix of each test key, by which a leaked key is detected.
constexpr char kKeyMarker[] = "test-key-";

// Returns the API key of a test account.
std::string TestKeyOf(const std::string& account);
// Adds an account with its key to a ticket.
void AddAccount(core::config::Ticket& ticket, const std::string& account,
                std::uint32_t rate_per_s, std::uint32_t burst);
// Adds a route and returns it so that the caller can modify it.
core::config::Route& AddRoute(core::config::Ticket& ticket,
                              const std::string& name,
                              const std::string& service,
                              core::base::Importance importance,
                              bool idempotent);
// Returns a new UUID of version 7.
std::string MakeIdempotencyKey();
// Returns a request of an account. A POST gets a new Idempotency-Key.
RawRequest MakeRequest(const std::string& method, const std::string& target,
                       const std::string& account,
                       const std::string& body = "");
// True if the response is complete, has status 200 and carries the digest of
// this request.
bool IsExpectedResponse(const RawResponse& response, const RawRequest& request);

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_COMMON_FLEET_H_
