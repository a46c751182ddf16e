#ifndef DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_INSTANCE_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_INSTANCE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "standins/common/http_client.h"

namespace dogwoodrail::integration {

// A request as an instance has read it.
struct InstanceRequest {
  std::string method;
  std::string target;
  std::string id;        // of the client attempt
  std::string tenant;    // whose request it is
  bool has_key = false;  // the caller's key was passed on
  std::string caller_service;
  std::string expected_instance;  // only process that may run it; empty: any
  std::string body;
  std::size_t number = 0;  // on its connection, from 0
};

// Bytes that an instance sends, and when.
struct InstanceStep {
  std::chrono::milliseconds after{0};  // since the step before
  std::string bytes;
  bool close = false;  // then closes the connection
};

// What an instance does with a request.
struct InstanceAnswer {
  bool runs = true;  // the request counts as run
  std::vector<InstanceStep> steps;
};

// Returns the answer to a request.
using InstanceScript = std::function<InstanceAnswer(const InstanceRequest&)>;

// Names a process of an instance.
struct InstanceIdentity {
  std::string id;
  std::int64_t born_ms = 0;  // Unix ms
};

// Where an instance listens and reports.
struct InstanceSpec {
  std::string service;
  std::uint16_t port = 0;
  std::uint16_t control_port = 0;  // of the node beside it
  std::chrono::milliseconds service_time{20};
  std::size_t slots = 20;
};

// Stand-in of an instance of the platform: serves HTTP/1.1, sends heartbeats,
// and crashes on a request whose path has the word "crash". Runs on the thread
// of the loop; the public functions may be called from any thread.
class PlatformInstance {
 public:
  using Clock = std::chrono::steady_clock;

  PlatformInstance(boost::asio::io_context& loop, InstanceSpec spec);

  // Starts the process: a new id, the listener and the heartbeats.
  void Start();
  // Ends the process. It starts again after the down time.
  void Crash();
  // Replaces the answers. Called on the thread of the loop.
  void SetScript(InstanceScript script);
  // Sets the service of the next process at the address.
  void SetNextService(const std::string& service);
  // Sets how late the heartbeats of the next process begin.
  void SetHeartbeatDelay(std::chrono::milliseconds delay);
  // Time from a crash to the next start.
  void SetDownTime(std::chrono::milliseconds time);
  // Lets the next processes keep the id of the present one.
  void KeepId();
  // Id and start time, Unix ms, of the latest process.
  InstanceIdentity identity();
  // Announces that the process is about to leave; it goes on serving.
  void Drain();
  // After a crash, connections stay open and silent in place of closing.
  void SetSilentCrash(bool silent);
  // Number of executions of a path.
  std::size_t CountRuns(const std::string& target);
  // Start times of the executions of a path.
  std::vector<Clock::time_point> Runs(const std::string& target);
  // True while the process runs.
  bool IsUp() const { return up_; }
  // Number of times that the process has ended.
  std::size_t crashes();
  // Number of executions of each path.
  std::map<std::string, std::size_t> RunsByTarget();

  // Formats the whole success of a request, whose body is its path.
  static std::string SuccessText(const InstanceRequest& request);
  // Formats a refusal, which says that the request of this id has not run. With
  // an empty id it echoes none.
  static std::string RefusalText(const std::string& id);
  // Formats a complete answer of the platform's dialect.
  static std::string AnswerText(const std::string& id, int status,
                                const std::string& headers,
                                const std::string& body);

 private:
  class Connection;
  friend class Connection;

  void StartNow();
  void CrashNow();
  void Accept();
  void SendHeartbeat();
  void ScheduleHeartbeat(std::chrono::milliseconds delay);
  std::vector<InstanceStep> Begin(const InstanceRequest& request);
  InstanceAnswer MakeAnswer(const InstanceRequest& request) const;

  boost::asio::io_context& loop_;
  InstanceSpec spec_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer heartbeat_timer_;
  boost::asio::steady_timer start_timer_;
  std::shared_ptr<standin::HttpClient> node_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::string id_;
  std::int64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::atomic<bool> up_{false};
  std::atomic<bool> draining_{false};

  std::mutex mutex_;  // guards the fields below
  InstanceScript script_;
  std::map<std::string, std::vector<Clock::time_point>> runs_;
  std::chrono::milliseconds down_time_{700};
  std::string next_service_;  // empty: the same
  std::chrono::milliseconds heartbeat_delay_{0};
  std::size_t crashes_ = 0;
  bool silent_crash_ = false;
  bool keeps_id_ = false;
  InstanceIdentity identity_;
};

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_PLATFORM_COMMON_INSTANCE_H_
