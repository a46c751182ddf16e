#ifndef DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_FLEET_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_FLEET_H_

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/common/process.h"
#include "tests/integration/common/raw_http.h"
#include "tests/integration/platform/common/instance.h"
#include "tests/integration/platform/common/store.h"

namespace dogwoodrail::integration {

// Nodes with the platform's adapter and the settings of deploy/node.ini, each
// beside an instance, and the platform's store. The nodes are processes; the
// stand-ins run on a thread of the test. The destructor ends all of them.
//
// Routes: /read/ is idempotent, /write/ is not; both need a key. /open/ is not
// idempotent and needs none.
class PlatformFleet {
 public:
  // `services` has the service of each node; `slots` is how many requests each
  // instance takes at a time.
  PlatformFleet(const std::string& name, std::vector<std::string> services,
                std::size_t slots = InstanceSpec().slots);
  ~PlatformFleet();
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  std::size_t size() const { return vms_.size(); }
  PlatformStore& store() { return store_; }
  // Returns the `spec` of the configuration in a version.
  std::string ConfigText(std::uint32_t version) const;
  PlatformInstance& instance(std::size_t it) { return *vms_.at(it).instance; }
  // Number of executions of a path at all instances.
  std::size_t CountRuns(const std::string& target);
  // Number of executions of each path at all instances.
  std::map<std::string, std::size_t> RunsByTarget();

  Process& node(std::size_t it) { return *vms_.at(it).process; }
  // Starts the process of a node, again if it has run before, with further
  // flags.
  void StartNode(std::size_t it, const std::vector<std::string>& flags = {});
  // Names another service in the settings of a node and signals the change.
  void Reassign(std::size_t it, const std::string& service);
  // Waits until every node is ready and serves a request.
  bool WaitServing(std::chrono::milliseconds timeout);
  std::string node_log(std::size_t it) const;
  // Directory of the logs and settings.
  const std::string& directory() const { return directory_; }
  // Returns the first line of a node's log that has both texts, or nothing.
  std::string LogLine(std::size_t it, const std::string& event,
                      const std::string& text) const;

  // The same, once the node has written such a line: its log is written by a
  // thread of its own.
  std::string WaitLogLine(std::size_t it, const std::string& event,
                          const std::string& text) const;

  // Sends a client attempt with an id of its own to a node.
  RawResponse Send(std::size_t it, const std::string& method,
                   const std::string& path, const std::string& body = "");
  // Returns the metrics of a node.
  std::string Metrics(std::size_t it) const;
  // Returns the value of a metric without labels, or -1.
  double Metric(std::size_t it, const std::string& name) const;
  // Returns the time line of a node.
  std::string Timeline(std::size_t it, const std::string& query) const;
  // Posts a body to a path of the operator address of a node.
  RawResponse PostOperator(std::size_t it, const std::string& path,
                           const std::string& body) const;
  // Posts a body to a path of the control address of a node.
  RawResponse PostControl(std::size_t it, const std::string& path,
                          const std::string& body) const;
  // Makes a request of the test account, with a new id.
  RawRequest MakeRequest(const std::string& method, const std::string& path,
                         const std::string& body = "");
  std::uint16_t caller_port(std::size_t it) const {
    return vms_.at(it).caller_port;
  }
  std::uint16_t instance_port(std::size_t it) const {
    return vms_.at(it).instance_port;
  }

 private:
  struct PlatformVm {
    std::string service;
    std::uint16_t caller_port = FreePort();
    std::uint16_t ready_port = FreePort();
    std::uint16_t control_port = FreePort();
    std::uint16_t peer_port = FreePort();
    std::uint16_t operator_port = FreePort();
    std::uint16_t instance_port = FreePort();
    std::unique_ptr<PlatformInstance> instance;
    std::unique_ptr<Process> process;
  };

  // Ends the processes and the thread.
  void Stop();
  std::string WriteSettings(std::size_t it) const;

  std::string directory_;
  std::uint16_t store_port_ = FreePort();
  boost::asio::io_context loop_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  PlatformStore store_;
  std::vector<PlatformVm> vms_;
  std::thread thread_;
  std::atomic<std::size_t> next_id_{1};
};

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_FLEET_H_
