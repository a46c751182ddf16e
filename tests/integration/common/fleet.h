#ifndef DOGWOODRAIL_TESTS_INTEGRATION_COMMON_FLEET_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_COMMON_FLEET_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/config/config_type.h"
#include "tests/integration/common/process.h"
#include "tests/integration/common/raw_http.h"

namespace dogwoodrail::integration {

// One backend server and the node beside it.
struct VmSpec {
  std::string service;
  std::string zone = "a";
  int slots = 20;
  int service_time_ms = 5;
  std::string next;                       // path called within each request
  std::vector<std::string> backend_args;  // further flags of the stand-in
  std::string settings;                   // further lines of the settings file
  bool proxy_peer = false;      // fault proxy before the node's peer port
  bool proxy_backend = false;   // fault proxy before the backend server
  bool proxy_platform = false;  // fault proxy between node and platform
};

// What a fleet consists of.
struct FleetSpec {
  std::string name;  // of the test, for its logs
  std::vector<VmSpec> vms;
  core::config::Ticket ticket;
};

// A fault proxy and its ports.
class FaultProxy {
 public:
  FaultProxy(std::uint16_t target, bool datagrams, const std::string& log_file);

  // Port that is relayed.
  std::uint16_t port() const { return port_; }
  // Posts the JSON text to the proxy's control port.
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

  // Starts the node, again if it has ended. It keeps its addresses.
  void StartNode(std::uint16_t platform, const std::string& seeds);
  // Starts the backend server, again if it has ended.
  void StartBackend();

  // The processes.
  Process& node() { return *node_; }
  Process& backend() { return *backend_; }
  // Ports of the node, and of the backend server itself.
  std::uint16_t caller_port() const { return caller_port_; }
  std::uint16_t operator_port() const { return operator_port_; }
  std::uint16_t peer_port() const { return peer_port_; }
  std::uint16_t backend_port() const { return backend_port_; }
  // Port by which other nodes know the node.
  std::uint16_t advertised_peer_port() const;
  // The fault proxies; null if the VM has none there.
  FaultProxy* peer_proxy() const { return peer_proxy_.get(); }
  FaultProxy* backend_proxy() const { return backend_proxy_.get(); }
  FaultProxy* platform_proxy() const { return platform_proxy_.get(); }
  // What the VM was made of.
  const VmSpec& spec() const { return spec_; }
  // File of its executions; outlives the backend server.
  std::string execution_file() const;
  // File of the node's log.
  std::string node_log() const;
  // Switches the backend server's behaviour.
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

// One line of the execution files, in its last state.
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

// An Object API and some VMs, started and ready; all end with the object.
class Fleet {
 public:
  // Starts everything and waits until each node serves the ticket's routes.
  explicit Fleet(FleetSpec spec);

  // The VMs, in the order of the spec.
  Vm& vm(std::size_t it) const { return *vms_.at(it); }
  // Number of VMs.
  std::size_t size() const { return vms_.size(); }
  // Submits a change ticket to the Object API.
  void SubmitTicket(core::config::Ticket ticket) const;
  // Switches faults of the Object API.
  void SetPlatformFault(const std::string& json) const;
  // Waits until each node knows so many endpoints that are ready.
  bool WaitEndpoints(std::size_t count, std::chrono::milliseconds timeout);
  // Starts the node of a VM again.
  void RestartNode(std::size_t it);
  // All executions of all backend servers so far.
  std::vector<ExecutionRecord> Executions() const;
  // Number of executions begun by the backend server of a VM.
  std::size_t CountExecutionsAt(std::size_t it) const;
  // Folder of the logs.
  const std::string& directory() const { return directory_; }

 private:
  std::string Seeds() const;

  std::string directory_;
  std::uint16_t platform_port_;
  std::uint16_t platform_control_;
  std::unique_ptr<Process> platform_;
  std::vector<std::unique_ptr<Vm>> vms_;
};

// Text in each test key, so that a leaked key is found.
constexpr char kKeyMarker[] = "test-key-";

// Returns the key of an account of the tests.
std::string TestKeyOf(const std::string& account);
// Adds an account with its key to a ticket.
void AddAccount(core::config::Ticket& ticket, const std::string& account,
                std::uint32_t rate_per_s, std::uint32_t burst);
// Adds a route; returns it for further changes.
core::config::Route& AddRoute(core::config::Ticket& ticket,
                              const std::string& name,
                              const std::string& service,
                              core::base::Importance importance,
                              bool idempotent);
// Returns a new UUID of version 7.
std::string MakeIdempotencyKey();
// Returns a request of an account, with an Idempotency-Key if it is a POST.
RawRequest MakeRequest(const std::string& method, const std::string& target,
                       const std::string& account,
                       const std::string& body = "");
// True if the answer is whole and carries the digest of this request.
bool IsExpectedResponse(const RawResponse& response, const RawRequest& request);

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_COMMON_FLEET_H_
