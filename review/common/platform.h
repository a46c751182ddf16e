#ifndef DOGWOODRAIL_REVIEW_COMMON_PLATFORM_H_
#define DOGWOODRAIL_REVIEW_COMMON_PLATFORM_H_

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "http.h"
#include "partition.h"

// Stand-ins of the users' platform as their pages describe it, and processes of
// nodes started with the command and the template of the deploy file.
namespace dogwoodrail::review {

// Writes record.txt, one line an event, with the time in milliseconds.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  // Writes what concerns a single request, unless the record is quiet.
  void WriteRequest(const std::string& line);
  void SetQuiet(bool quiet) { quiet_ = quiet; }

 private:
  std::mutex mutex_;
  std::string path_;
  std::atomic<bool> quiet_{false};
};

// The platform's store: objects by kind and name, one revision counter, lists,
// watches and conditional writes.
class Store {
 public:
  // Opens the listener; returns false if the address is in use.
  bool Start(const std::string& ip, std::uint16_t port);
  // Writes an object as the operator does. The return is the acknowledgement.
  void Put(const std::string& kind, const std::string& name,
           const std::string& spec);

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::string spec = "null";
  };

  void Serve(int fd);
  std::string Handle(const Message& request);
  std::string HandleRead(const std::string& kind, const std::string& name,
                         const std::string& query);
  std::string HandleWrite(const Message& request, const std::string& kind,
                          const std::string& name);
  static std::string Text(const std::string& name, const Object& object);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, Object>> kinds_;
};

// Addresses and place of a machine. Each machine has a loopback address of its
// own, with the ports of the template.
struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string region = "r";
  std::string service;
  // Where other nodes reach the node, if not at `ip`.
  std::string relay_ip;
};

constexpr std::uint16_t kOutboundPort = 8548;
constexpr std::uint16_t kReadyPort = 8546;
constexpr std::uint16_t kControlPort = 8540;
constexpr std::uint16_t kAppPort = 8547;
constexpr std::uint16_t kStorePort = 8545;

// A request as an instance saw it, and what became of it.
struct Run {
  std::string attempt_id;
  std::string target;
  std::string tenant;
  std::string instance;
  std::int64_t began_ms = 0;
  std::int64_t deadline_ms = 0;  // value of the header
  bool answered = false;
  bool cut = false;  // the connection closed before the answer
  std::int64_t ended_ms = 0;
};

// What an instance does with a request.
struct Work {
  std::int64_t ms = 20;
  int status = 200;
  std::string body = "ok";
  bool crash = false;  // ends the process in place of an answer
  // Done in place of the wait, on the thread of the request. Returns the
  // status.
  std::function<int(const Message&)> task;
};

// An application instance: serves HTTP/1.1, one request at a time on each
// connection, and sends heartbeats to the control address of its machine.
class Instance {
 public:
  using Plan = std::function<Work(const Machine&, const Message&)>;

  Instance(Machine machine, std::size_t slots, Plan plan, Record* record);

  bool Start();
  // Ends the process; it is back after a time, as another incarnation.
  void Crash(std::int64_t down_ms);
  std::vector<Run> runs();
  // Times at which the process has ended.
  std::vector<std::int64_t> crashes();
  std::string id();

 private:
  void Serve(int fd, int epoch);
  bool ServeOne(int fd, int epoch, const Message& request);
  void SendHeartbeats(int epoch, const std::string& id, std::int64_t born_ms);
  bool IsCurrent(int epoch);

  Machine machine_;
  std::size_t slots_;
  Plan plan_;
  Record* record_;
  std::mutex mutex_;
  int epoch_ = 0;  // of the process; changes with each start and end
  bool up_ = false;
  int listener_ = -1;
  std::set<int> connections_;
  std::string id_;
  std::int64_t born_ms_ = 0;
  std::size_t running_ = 0;
  std::vector<std::int64_t> crashes_;
  std::vector<Run> runs_;
};

// A node process.
class NodeProcess {
 public:
  NodeProcess(Machine machine, std::string store, std::string directory,
              Record* record);

  void Start();
  void Signal(int number);
  // Returns true if the process has ended; sets how.
  bool HasEnded(std::string* how);
  void Kill();
  // Memory in use and at its peak, in bytes; 0 if unknown.
  std::uint64_t MemoryBytes() const;
  bool IsReady() const;
  const Machine& machine() const { return machine_; }
  void SetRelay(const std::string& ip) { machine_.relay_ip = ip; }

 private:
  Machine machine_;
  std::string store_;
  std::string directory_;
  Record* record_;
  pid_t pid_ = -1;
};

struct Answer {
  ReadEnd end = ReadEnd::kClosed;
  int status = 0;  // 0: no whole answer
  Message message;
  std::int64_t sent_ms = 0;
  std::int64_t ended_ms = 0;
};

struct Attempt {
  std::string method = "GET";
  std::string target;
  std::string body;
  std::string id;
  std::string key;  // empty: none
  std::int64_t deadline_ms = 5000;
};

// Sends one client attempt. Uses and keeps the connection in `kept` if it is
// not nullptr; otherwise a new one is made and closed.
Answer Send(const std::string& ip, const Attempt& attempt, int* kept = nullptr);

// A small deployment.
class Fleet {
 public:
  Fleet(std::string prefix, Record* record);

  // Ends all processes and removes their files. The threads of the stand-ins go
  // on until the process ends.
  void End();
  // Adds a machine with its instance and node.
  void Add(const std::string& service, const std::string& zone,
           std::size_t slots, const Instance::Plan& plan);
  // Starts store, instances and nodes, and waits until each node is ready and
  // serves a request. Returns false if that fails.
  bool Start(const std::string& config, const Attempt& probe);

  // Puts relays between the nodes; called before Start().
  bool AddPartition();
  Partition& partition() { return partition_; }
  Store& store() { return store_; }
  NodeProcess& node(std::size_t n) { return *nodes_.at(n); }
  Instance& instance(std::size_t n) { return *instances_.at(n); }
  std::size_t size() const { return nodes_.size(); }
  std::vector<Run> AllRuns();
  std::vector<std::int64_t> AllCrashes();

 private:
  std::string prefix_;  // of the addresses, "127.a.b."
  std::string directory_;
  Record* record_;
  Store store_;
  Partition partition_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
};

// Milliseconds of the time of day.
std::int64_t UnixMs();
// Returns a prefix of loopback addresses on which the ports are free.
std::string FreePrefix();
// Returns true unless the script was started with TROUBLE=0.
bool HasTrouble();
// Formats a rule of a route in the configuration.
std::string RuleText(const std::string& name, const std::string& prefix,
                     const std::string& kind, const std::string& service,
                     int timeout_ms, int attempts, bool is_public);
// Formats a configuration of one host, "app.example". `limits` and `tenants`
// are JSON.
std::string ConfigText(int version, const std::string& limits,
                       const std::string& tenants,
                       const std::vector<std::string>& rules,
                       const std::vector<std::string>& services);
constexpr const char* kHost = "app.example";
// The limits that the pages show.
constexpr const char* kLimits =
    R"({"max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000})";

// Ends this process at once, with all that it started.
[[noreturn]] void Finish(Fleet* fleet, Record* record, int code,
                         const std::string& verdict);

// Runs a case, with the path of its record as the argument. Returns 2 if it
// ends with an exception, or ends the process with 2 if it takes too long.
int RunCase(int argc, char** argv, int (*main)(const std::string& record));

}  // namespace dogwoodrail::review

#endif  // DOGWOODRAIL_REVIEW_COMMON_PLATFORM_H_
