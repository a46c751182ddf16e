// Small deployment on loopback for the cases of the third review: the nodes are
// processes of the deploy file's command; the platform's store, the instances
// and the clients are stand-ins on threads of the case.
#ifndef DOGWOODRAIL_REVIEW_COMMON_3_RIG_H_
#define DOGWOODRAIL_REVIEW_COMMON_3_RIG_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review3 {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr int kHeld = 0;       // exit code: the rule held
constexpr int kBroken = 1;     // the rule was broken
constexpr int kCannotRun = 2;  // the case could not run

// Milliseconds since the start of the case.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

// Appends a line with the time to the record of the case.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::ofstream out_;
};

// A request or a response.
struct Message {
  std::string method;  // of a request
  std::string target;
  int status = 0;  // of a response; 0: none was received
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  std::string RequestText(const std::string& host) const;
  std::string ResponseText() const;
};

int Listen(const std::string& ip, std::uint16_t port);
int Connect(const std::string& ip, std::uint16_t port, std::int64_t timeout_ms);
// Reads one message; `buffer` keeps what follows it.
bool ReadMessage(int fd, std::string* buffer, std::int64_t timeout_ms,
                 bool is_response, Message* message);
bool WriteAll(int fd, const std::string& text);
// Sends a request on a new connection and returns the response.
Message Call(const std::string& ip, std::uint16_t port, const Message& request,
             std::int64_t timeout_ms);

// HTTP server with a thread for each connection.
class Server {
 public:
  // Returns the response to a request; `fd` is its connection. An empty text
  // closes the connection.
  using Handler = std::function<std::string(const Message&, int fd)>;

  Server(std::string ip, std::uint16_t port, Handler handler);
  ~Server();
  bool Start();
  // Ends the process that the server stands for: nothing listens any more and
  // all connections are reset.
  void Stop();

 private:
  void AcceptLoop(int listener);
  void Serve(int fd);

  std::string ip_;
  std::uint16_t port_;
  Handler handler_;
  std::mutex mutex_;
  std::set<int> connections_;
  int listener_ = -1;
  std::thread accept_thread_;
  std::atomic<int> threads_{0};
};

// The platform's store, as PROTOCOL.md and NEWS.md tell of it.
class Store {
 public:
  Store(std::string ip, std::uint16_t port, Record& record);
  bool Start();
  // The store is away: connections are reset and refused.
  void GoAway();
  // Writes an object as the operator does, and returns the revision.
  std::uint64_t Put(const std::string& kind, const std::string& name,
                    const Json& spec);
  // Keeps a copy of the present state.
  void TakeCopy();
  // Comes back from the copy: the header Store-Era rises by one.
  void ReturnFromCopy();
  std::uint64_t revision();

 private:
  struct Object {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    Json spec;
  };
  struct Event {
    std::uint64_t revision = 0;
    std::string kind;
    Json object;
    bool deleted = false;
  };
  struct State {
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::vector<Event> events;
    std::uint64_t revision = 3;
  };

  std::string Handle(const Message& request);
  std::string Read(const std::string& kind, const std::string& name,
                   const std::map<std::string, std::string>& query);
  std::string Watch(const std::string& kind, std::uint64_t after,
                    std::int64_t wait_ms);
  std::string Write(const Message& request, const std::string& kind,
                    const std::string& name);
  std::uint64_t PutLocked(const std::string& kind, const std::string& name,
                          const Json& spec);
  Json ToJson(const std::string& name, const Object& object) const;
  std::string Answer(int status, const Json& body) const;

  Record& record_;
  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  State state_;
  State copy_;
  std::atomic<std::uint64_t> era_{1};
  std::atomic<std::uint64_t> away_{0};
};

// A request that an instance has begun to work on.
struct Run {
  std::int64_t at_ms = 0;
  std::string attempt;
  std::string target;
  std::string tenant;
  std::string instance;
  std::size_t vm = 0;
};

struct Vm;

// An application instance.
class Instance {
 public:
  Instance(const Vm& vm, std::size_t index, Record& record);
  ~Instance();
  // Starts a process, under a new id or under the given one. The first
  // heartbeat reaches the node `first_beat_late_ms` after it was sent.
  void Start(const std::string& id = "", std::int64_t first_beat_late_ms = 0);
  // Ends the process without a word.
  void Crash();
  // Sends `draining`; returns true once it is acknowledged.
  bool Drain();
  // Sends `leave`; returns true once it is acknowledged. Serves on.
  bool Leave();

  // Time that a request takes.
  std::atomic<std::int64_t> work_ms{20};
  // A request whose path has the word "crash" ends the process after that time.
  std::atomic<bool> crashes{false};
  // Time from a crash by a request to the next start.
  std::atomic<std::int64_t> down_ms{2000};
  std::vector<Run> runs();
  std::string id();
  bool is_up() const { return up_; }

 private:
  std::string Serve(const Message& request, int fd);
  void BeatLoop(std::uint64_t life);
  Message MakeBeat(const std::string& state);
  bool Post(const Message& message);

  const Vm& vm_;
  std::size_t index_;
  Record& record_;
  std::mutex mutex_;
  std::unique_ptr<Server> server_;
  std::vector<std::thread> threads_;
  std::vector<Run> runs_;
  std::string id_;
  std::string state_ = "ready";
  std::int64_t born_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::int64_t first_beat_late_ms_ = 0;
  std::atomic<std::uint64_t> life_{0};
  std::atomic<bool> up_{false};
  std::atomic<bool> leaving_{false};
};

// A machine: a node and its instance.
struct Vm {
  std::string name;
  std::string zone;
  std::string region;
  std::string service;
  std::string ip;
  std::string store_address;
  std::string settings_file;
  std::string log_file;
  pid_t pid = -1;
  std::unique_ptr<Instance> instance;
};

constexpr std::uint16_t kOutboundPort = 8548;
constexpr std::uint16_t kReadyPort = 8546;
constexpr std::uint16_t kControlPort = 8540;
constexpr std::uint16_t kAppPort = 8547;
constexpr std::uint16_t kStorePort = 8545;
constexpr std::uint16_t kPeerPort = 7000;

struct VmSpec {
  std::string zone;
  std::string region;
  std::string service;
};

// The deployment. It lives until the end of the case, as the threads of the
// stand-ins use it; End() ends every process that it started.
class Fleet {
 public:
  Fleet(std::string root, Record& record, std::vector<VmSpec> specs);
  // Ends the processes of the nodes and the case.
  [[noreturn]] void End(int code);
  Store& store() { return *store_; }
  std::vector<std::unique_ptr<Vm>>& vms() { return vms_; }
  Vm& vm(std::size_t it) { return *vms_.at(it); }
  // Starts the store and all machines, and waits until each node is ready and
  // serves the given paths.
  bool Start(const Json& config, const std::vector<std::string>& probes,
             const std::string& key);
  bool StartNode(std::size_t it);
  void KillNode(std::size_t it, int signal);
  // Sends one client attempt and returns the response. `attempt` is its id.
  Message Send(std::size_t vm, const std::string& method,
               const std::string& path, const std::string& key,
               std::int64_t deadline_ms, std::string* attempt = nullptr,
               const std::string& body = "");
  std::vector<Run> Runs();
  bool IsReady(std::size_t it);

 private:
  std::string root_;
  Record& record_;
  std::string directory_;
  std::string store_ip_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Vm>> vms_;
  std::atomic<std::uint64_t> next_attempt_{1};
};

struct RouteSpec {
  std::string name;
  std::string prefix;
  std::string service;
  bool idempotent = true;
  std::int64_t timeout_ms = 2000;
  int attempts = 2;
};
struct TenantSpec {
  std::string name;
  std::vector<std::string> keys;
  int rate = 0;
  int burst = 0;
};
// Makes the `spec` of config/main.
Json MakeConfig(std::uint32_t version, const std::vector<RouteSpec>& routes,
                const std::vector<TenantSpec>& tenants,
                const std::vector<std::string>& services);

struct Arguments {
  std::string root;
  std::string record;
  bool trouble = true;
};
// Reads the arguments and the environment of a case, and ends it after 118 s.
Arguments ReadArguments(int argc, char** argv);

}  // namespace review3

#endif  // DOGWOODRAIL_REVIEW_COMMON_3_RIG_H_
