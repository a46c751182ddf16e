// Stand-ins of the second review: the platform's store, an instance, a client,
// and the start of nodes as deploy/system.toml says. Threads and blocking
// sockets; loopback addresses only.
#ifndef REVIEW_STANDINS_2_HARNESS_H_
#define REVIEW_STANDINS_2_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using Ms = std::chrono::milliseconds;

inline Clock::time_point Begin() {
  static const Clock::time_point begin = Clock::now();
  return begin;
}
inline double Now() {  // seconds since the start
  return std::chrono::duration<double>(Clock::now() - Begin()).count();
}
inline void Sleep(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void SleepUntil(double at) { Sleep(at - Now()); }

// record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", Now());
    out_ << time << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
};
inline void Log(const std::string& text) { Record::Get().Line(text); }
inline std::string Num(double v) {
  char t[32];
  std::snprintf(t, sizeof t, "%.3f", v);
  return t;
}

inline std::string Lower(std::string s) {
  for (char& c : s) c = static_cast<char>(std::tolower(c));
  return s;
}

// --- sockets ---------------------------------------------------------------

inline sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

inline int Listen(const std::string& ip, int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  const auto a = Address(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 ||
      ::listen(fd, 1024) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool IsFree(const std::string& ip, int port) {
  const int fd = Listen(ip, port);
  if (fd >= 0) ::close(fd);
  return fd >= 0;
}

inline int Connect(const std::string& ip, int port, int receive_buffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  const auto a = Address(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto n =
        ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

struct Message {
  std::string first;                           // request line or status line
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  std::string Header(const std::string& name) const {
    const auto it = headers.find(Lower(name));
    return it == headers.end() ? "" : it->second;
  }
  int Status() const {
    return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
  }
  std::string Method() const { return first.substr(0, first.find(' ')); }
  std::string Target() const {
    const auto a = first.find(' ');
    return first.substr(a + 1, first.rfind(' ') - a - 1);
  }
};

// Reads one message. `end` says how the reading ended if it is not complete.
struct Reader {
  int fd;
  std::string buffer;
  std::string end;

  bool Fill(double until) {
    while (true) {
      const double left = until - Now();
      if (left <= 0) {
        end = "time out";
        return false;
      }
      pollfd p{fd, POLLIN, 0};
      const int ready = ::poll(&p, 1, static_cast<int>(left * 1000) + 1);
      if (ready < 0 && errno == EINTR) continue;
      if (ready == 0) continue;
      char data[16384];
      const auto n = ::recv(fd, data, sizeof data, 0);
      if (n > 0) {
        buffer.append(data, static_cast<std::size_t>(n));
        return true;
      }
      end = n == 0 ? "closed" : "reset";
      return false;
    }
  }

  std::optional<Message> Next(double until) {
    std::size_t head;
    while ((head = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until)) return std::nullopt;
    }
    Message m;
    std::istringstream lines(buffer.substr(0, head));
    std::string line;
    while (std::getline(lines, line)) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (m.first.empty()) {
        m.first = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      auto value = line.substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      m.headers[Lower(line.substr(0, colon))] = value;
    }
    buffer.erase(0, head + 4);
    if (Lower(m.Header("transfer-encoding")) == "chunked") {
      while (true) {
        std::size_t eol;
        while ((eol = buffer.find("\r\n")) == std::string::npos) {
          if (!Fill(until)) return std::nullopt;
        }
        const auto size = std::strtoul(buffer.c_str(), nullptr, 16);
        while (buffer.size() < eol + 2 + size + 2) {
          if (!Fill(until)) return std::nullopt;
        }
        m.body += buffer.substr(eol + 2, size);
        buffer.erase(0, eol + 2 + size + 2);
        if (size == 0) return m;
      }
    }
    const auto length =
        std::strtoul(m.Header("content-length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
      if (!Fill(until)) return std::nullopt;
    }
    m.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return m;
  }
};

// Accepts connections and runs a function for each, on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int fd)>;
  ~Server() { Stop(); }
  bool Start(const std::string& ip, int port, Handler handler) {
    fd_ = Listen(ip, port);
    if (fd_ < 0) return false;
    stopping_ = false;
    thread_ = std::thread([this, handler] {
      while (true) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (stopping_) {
          ::close(fd);
          return;
        }
        open_.insert(fd);
        workers_.emplace_back([this, handler, fd] {
          handler(fd);
          const std::lock_guard<std::mutex> inner(mutex_);
          if (open_.erase(fd) > 0) ::close(fd);
        });
      }
    });
    return true;
  }
  // Closes the listener and resets the connections, as the end of a process.
  void Stop() {
    if (fd_ < 0) return;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
      ::shutdown(fd_, SHUT_RDWR);
      const linger hard{1, 0};
      for (const int it : open_) {
        ::setsockopt(it, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        ::shutdown(it, SHUT_RDWR);
      }
    }
    thread_.join();
    for (auto& it : workers_) it.join();
    workers_.clear();
    ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_ = -1;
  bool stopping_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::thread thread_;
  std::vector<std::thread> workers_;
};

inline std::string Response(int status, const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// --- the platform's store --------------------------------------------------

class Store {
 public:
  bool Start(const std::string& ip, int port) {
    return server_.Start(ip, port, [this](int fd) { Serve(fd); });
  }
  void Stop() {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ending_ = true;
    }
    changed_.notify_all();
    server_.Stop();
  }
  // The operator's write. Its return is the acknowledgement.
  void Put(const std::string& kind, const std::string& name, const Json& spec) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Write(kind, name, spec);
  }

 private:
  struct Event {
    std::uint64_t rev;
    std::string kind;
    Json object;
    bool deleted;
  };
  Json& Write(const std::string& kind, const std::string& name,
              const Json& spec) {
    Json& object = objects_[kind][name];
    object["metadata"]["name"] = name;
    object["metadata"]["rev"] = ++rev_;
    object["metadata"]["finalizers"] = Json::array();
    object["spec"] = spec;
    events_.push_back({rev_, kind, object, false});
    changed_.notify_all();
    return object;
  }
  void Serve(int fd) {
    Reader reader{fd, "", ""};
    while (const auto request = reader.Next(Now() + 120)) {
      if (!SendAll(fd, Handle(*request))) return;
    }
  }
  static std::string Json200(const Json& body, int status = 200) {
    return Response(status, "Content-Type: application/json\r\n", body.dump());
  }
  std::string Handle(const Message& request) {
    const std::string target = request.Target();
    const std::string prefix = "/dogwoodrail/objects/";
    if (target.rfind(prefix, 0) != 0) return Response(404, "", "");
    const auto mark = target.find('?');
    const std::string path = target.substr(
        prefix.size(),
        mark == std::string::npos ? std::string::npos : mark - prefix.size());
    std::map<std::string, std::string> query;
    if (mark != std::string::npos) {
      std::istringstream parts(target.substr(mark + 1));
      std::string part;
      while (std::getline(parts, part, '&')) {
        const auto eq = part.find('=');
        query[part.substr(0, eq)] =
            eq == std::string::npos ? "" : part.substr(eq + 1);
      }
    }
    const auto slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : path.substr(slash + 1);
    const std::string method = request.Method();
    std::unique_lock<std::mutex> lock(mutex_);
    auto& objects = objects_[kind];
    if (method == "GET" && query.count("watch") > 0) {
      const auto after = std::strtoull(query["watch"].c_str(), nullptr, 10);
      const Ms wait(std::atoi(query["wait_ms"].c_str()));
      const auto until = Clock::now() + wait;
      Json events = Json::array();
      while (true) {
        for (const Event& it : events_) {
          if (it.rev > after && it.kind == kind) {
            events.push_back({{"object", it.object}, {"deleted", it.deleted}});
          }
        }
        if (!events.empty() || ending_) break;
        if (changed_.wait_until(lock, until) == std::cv_status::timeout) break;
      }
      return Json200({{"events", events}, {"at", rev_}});
    }
    if (method == "GET" && name.empty()) {
      Json items = Json::array();
      for (const auto& [key, object] : objects) {
        if (query.count("after") == 0 || key > query["after"]) {
          items.push_back(object);
        }
      }
      return Json200({{"items", items}, {"has_more", false}, {"at", rev_}});
    }
    if (method == "GET") {
      if (objects.count(name) == 0) return Response(404, "", "");
      return Json200(objects[name]);
    }
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) return Response(400, "", "");
    if (method == "POST") {
      const std::string key = body["metadata"]["name"];
      if (objects.count(key) > 0) return Json200(objects[key], 409);
      return Json200(Write(kind, key, body["spec"]));
    }
    if (method == "PUT") {
      if (objects.count(name) == 0) return Response(404, "", "");
      if (objects[name]["spec"] == body["spec"]) return Json200(objects[name]);
      return Json200(Write(kind, name, body["spec"]));
    }
    return Response(405, "", "");
  }

  Server server_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Json>> objects_;
  std::vector<Event> events_;
  std::uint64_t rev_ = 7;
  bool ending_ = false;
};

// --- an instance -----------------------------------------------------------

struct Place {  // of one machine
  std::string name;
  std::string ip;
  std::string zone = "zone-a";
  std::string service;
  int inbound = 8543;
  int outbound = 8548;
  int ready = 8546;
  int control = 8540;
  int app = 8547;
};

class Instance {
 public:
  // Returns the body of the success, after the work.
  using Work = std::function<std::string(const Message&)>;

  Instance(Place place, std::string id, int capacity, Work work)
      : place_(std::move(place)),
        id_(std::move(id)),
        capacity_(capacity),
        work_(std::move(work)) {}
  ~Instance() { Exit(); }

  // `clock_ms` is how far the time of day of the machine is off.
  bool Start(int clock_ms = 0) {
    born_ms_ =
        clock_ms + std::chrono::duration_cast<Ms>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
    up_ = true;
    if (!server_.Start(place_.ip, place_.app, [this](int fd) { Serve(fd); })) {
      return false;
    }
    beats_ = std::thread([this] {
      while (up_) {
        if (beating_) Beat();
        for (int it = 0; it < 75 && up_; ++it) Sleep(0.02);
      }
    });
    return true;
  }
  // Reports `draining` until a node acknowledges it; returns the time of the
  // acknowledgement.
  double Drain() {
    state_ = "draining";
    while (true) {
      if (Beat()) return Now();
      Sleep(0.2);
    }
  }
  bool Leave() {
    return Post("/dogwoodrail/instances/" + id_ + "/leave", "{}");
  }
  // The end of the process.
  void Exit() {
    if (!up_.exchange(false)) return;
    beats_.join();
    server_.Stop();
  }
  std::size_t runs() const { return runs_; }
  std::int64_t born_ms() const { return born_ms_; }

 private:
  bool Post(const std::string& path, const std::string& body) {
    const int fd = Connect(place_.ip, place_.control);
    if (fd < 0) return false;
    const bool sent = SendAll(
        fd, "POST " + path + " HTTP/1.1\r\nHost: " + place_.ip +
                "\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    Reader reader{fd, "", ""};
    const auto answer =
        sent ? reader.Next(Now() + 1.0) : std::optional<Message>();
    ::close(fd);
    return answer && answer->Status() / 100 == 2;
  }
  bool Beat() {
    const std::lock_guard<std::mutex> lock(beat_mutex_);
    const Json beat = {{"service", place_.service},
                       {"addr", place_.ip + ":" + std::to_string(place_.app)},
                       {"zone", place_.zone},
                       {"version", "v1"},
                       {"capacity", capacity_},
                       {"state", state_.load()},
                       {"cold_left_ms", 0},
                       {"sequence", ++sequence_},
                       {"born", born_ms_}};
    return Post("/dogwoodrail/instances/" + id_ + "/heartbeat", beat.dump());
  }
  void Serve(int fd) {
    Reader reader{fd, "", ""};
    while (const auto request = reader.Next(Now() + 10)) {
      if (!SendAll(fd, Answer(*request))) return;
    }
  }
  std::string Answer(const Message& request) {
    const std::string target = request.Target();
    const std::string instance = "Instance-Id: " + id_ + "\r\n";
    if (target == "/healthz") {
      const bool ready = std::string(state_.load()) == "ready";
      return Response(ready ? 200 : 503, instance, "");
    }
    const std::string id = request.Header("Attempt-Id");
    const std::string echo = "Attempt-Id: " + id + "\r\n";
    const std::string wanted = request.Header("Expect-Instance");
    if (!wanted.empty() && wanted != id_) {
      Log("instance " + id_ + " answers 421 to " + id);
      return Response(421, echo + instance, "");
    }
    if (running_.fetch_add(1) >= capacity_) {
      --running_;
      Log("instance " + id_ + " is full: Not-Run to " + id);
      return Response(503, echo + "Not-Run: 1\r\n", "");
    }
    ++runs_;
    Log("instance " + id_ + " runs " + id + " " + request.first +
        " Tenant=" + request.Header("Tenant"));
    const std::string body = work_(request);
    --running_;
    return Response(200,
                    echo + "Response-Seal: " + id +
                        ".seal\r\nServer-Load: " + std::to_string(running_) +
                        ",0," + std::to_string(capacity_) + "\r\n",
                    body);
  }

  const Place place_;
  const std::string id_;
  const int capacity_;
  const Work work_;
  Server server_;
  std::thread beats_;
  std::mutex beat_mutex_;
  std::atomic<bool> up_{false};
  std::atomic<bool> beating_{true};
  std::atomic<const char*> state_{"ready"};
  std::atomic<int> running_{0};
  std::atomic<std::size_t> runs_{0};
  std::uint64_t sequence_ = 0;
  std::int64_t born_ms_ = 0;
};

// --- nodes -----------------------------------------------------------------

// A small deployment on loopback: one store, and machines with a node each.
class Fleet {
 public:
  explicit Fleet(const std::vector<std::string>& services) {
    std::random_device seed;
    char dir[] = "/tmp/dogwoodrail-review-XXXXXX";
    directory_ = ::mkdtemp(dir);
    for (int attempt = 0; attempt < 50; ++attempt) {
      places_.clear();
      const std::string net = "127." + std::to_string(64 + seed() % 128) + "." +
                              std::to_string(seed() % 250) + ".";
      store_ip_ = net + "200";
      bool free = IsFree(store_ip_, kStorePort);
      for (std::size_t it = 0; it < services.size(); ++it) {
        Place p;
        p.name = "sidecar-" + std::to_string(it + 1);
        p.ip = net + std::to_string(it + 1);
        p.service = services[it];
        for (const int port :
             {7000, 7001, p.inbound, p.outbound, p.ready, p.control, p.app}) {
          free = free && IsFree(p.ip, port);
        }
        places_.push_back(p);
      }
      if (free) return;
    }
    std::fprintf(stderr, "no free ports\n");
    std::exit(2);
  }
  ~Fleet() {
    for (auto& [it, pid] : pids_) {
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
    store_.Stop();
    (void)!std::system(("rm -rf " + directory_).c_str());
  }

  Store& store() { return store_; }
  const Place& place(std::size_t it) const { return places_.at(it); }
  std::size_t size() const { return places_.size(); }
  pid_t pid(std::size_t it) const { return pids_.at(it); }

  void StartStore() {
    if (!store_.Start(store_ip_, kStorePort)) Fail("store cannot listen");
  }
  // Writes the settings file of a machine; with another service, as the
  // platform does when the machine's instance is replaced.
  void WriteSettings(std::size_t it, const std::string& service) {
    Place p = places_.at(it);
    p.service = service;
    std::ofstream(FileOf(p)) << Settings(p);
  }
  void StartNode(std::size_t it) {
    const Place& p = places_.at(it);
    const std::string file = FileOf(p);
    WriteSettings(it, p.service);
    const std::string log = directory_ + "/" + p.name + ".log";
    const pid_t pid = ::fork();
    if (pid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no node outlives the case
      const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      const char* args[] = {"target/dogwoodrail",
                            "node",
                            "--settings",
                            file.c_str(),
                            "--kill_after_s=6",
                            "--memory_mb=260",
                            nullptr};
      ::execv(args[0], const_cast<char* const*>(args));
      ::_exit(127);
    }
    pids_[it] = pid;
    Log("node " + p.name + " started, pid " + std::to_string(pid));
  }
  void Signal(std::size_t it, int signal, const char* name) {
    Log(std::string(name) + " to node " + places_.at(it).name);
    ::kill(pids_.at(it), signal);
  }
  // Waits for the end of a node that was killed or stopped.
  void Reap(std::size_t it) {
    ::waitpid(pids_.at(it), nullptr, 0);
    pids_.erase(it);
  }
  bool IsReady(std::size_t it) const {
    const Place& p = places_.at(it);
    const int fd = Connect(p.ip, p.ready);
    if (fd < 0) return false;
    SendAll(fd,
            "GET /dogwoodrail/readyz HTTP/1.1\r\nHost: " + p.ip + "\r\n\r\n");
    Reader reader{fd, "", ""};
    const auto answer = reader.Next(Now() + 1);
    ::close(fd);
    return answer && answer->Status() == 200;
  }
  void WaitReady(std::size_t it) {
    for (int n = 0; n < 300; ++n) {
      if (IsReady(it)) return;
      Sleep(0.05);
    }
    Fail("node " + places_.at(it).name + " does not become ready");
  }
  std::string LogOf(std::size_t it) const {
    std::ifstream in(directory_ + "/" + places_.at(it).name + ".log");
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }
  [[noreturn]] void Fail(const std::string& why) {
    Log("cannot run: " + why);
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    this->~Fleet();
    ::_exit(2);
  }

 private:
  static constexpr int kStorePort = 8545;

  std::string FileOf(const Place& p) const {
    return directory_ + "/" + p.name + ".conf";
  }

  // deploy/node.ini, filled in as the platform does.
  std::string Settings(const Place& p) const {
    std::ifstream in("deploy/node.ini");
    std::ostringstream all;
    all << in.rdbuf();
    std::string text = all.str();
    const auto at = [&](int port) { return p.ip + ":" + std::to_string(port); };
    const std::map<std::string, std::string> fields = {
        {"listen.inbound", at(p.inbound)},
        {"listen.outbound", at(p.outbound)},
        {"listen.ready", at(p.ready)},
        {"listen.control", at(p.control)},
        {"ip", p.ip},
        {"zone", p.zone},
        {"region", "region-a"},
        {"node", p.name},
        {"service", p.service},
        {"app_addr", at(p.app)},
        {"platform.addr", store_ip_ + ":" + std::to_string(kStorePort)}};
    for (const auto& [name, value] : fields) {
      const std::string mark = "{{" + name + "}}";
      for (std::size_t n; (n = text.find(mark)) != std::string::npos;) {
        text.replace(n, mark.size(), value);
      }
    }
    return text;
  }

  std::string directory_;
  std::string store_ip_;
  Store store_;
  std::vector<Place> places_;
  std::map<std::size_t, pid_t> pids_;
};

// --- clients ---------------------------------------------------------------

struct Outcome {
  std::string id;
  int status = 0;  // 0: no answer
  std::string end;
  std::string body;
  double sent = 0;
  double ended = 0;
};

inline std::string NextId() {
  static std::atomic<std::uint64_t> next{0};
  static const std::uint64_t base = std::random_device()();
  char text[32];
  std::snprintf(text, sizeof text, "%08llx%08llx",
                static_cast<unsigned long long>(base),
                static_cast<unsigned long long>(++next));
  return text;
}

inline std::string RequestText(const std::string& method,
                               const std::string& path, const std::string& host,
                               const std::string& id, int deadline_ms,
                               const std::string& key,
                               const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host +
                     "\r\nAttempt-Id: " + id +
                     "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (!key.empty()) text += "X-Api-Key: " + key + "\r\n";
  if (!body.empty() || method == "POST") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// Sends one request on a new connection and waits for the answer.
inline Outcome Send(const Place& to, const std::string& method,
                    const std::string& path, const std::string& host,
                    int deadline_ms, const std::string& key,
                    const std::string& body = "") {
  Outcome outcome;
  outcome.id = NextId();
  outcome.sent = Now();
  const int fd = Connect(to.ip, to.outbound);
  if (fd < 0) {
    outcome.end = "no connection";
  } else {
    SendAll(fd, RequestText(method, path, host, outcome.id, deadline_ms, key,
                            body));
    Reader reader{fd, "", ""};
    const auto answer = reader.Next(Now() + deadline_ms / 1000.0);
    if (answer) {
      outcome.status = answer->Status();
      outcome.body = answer->body;
    }
    outcome.end = reader.end;
    ::close(fd);
  }
  outcome.ended = Now();
  Log("client at " + to.name + " sent " + outcome.id + " " + method + " " +
      path + " at " + Num(outcome.sent) + ": " +
      (outcome.status > 0 ? std::to_string(outcome.status) : outcome.end) +
      " after " + Num(outcome.ended - outcome.sent) + " s" +
      (outcome.status >= 400 ? " " + outcome.body.substr(0, 60) : ""));
  return outcome;
}

// --- configurations --------------------------------------------------------

inline Json Rule(const std::string& name, const std::string& kind,
                 const std::string& prefix, const std::string& service,
                 int timeout_ms, int target_ms, int attempts = 2,
                 int priority = 0, bool is_public = false) {
  return {{"name", name},
          {"kind", kind},
          {"target_latency_ms", target_ms},
          {"priority", priority},
          {"public", is_public},
          {"matcher", {{"prefix", prefix}}},
          {"action",
           {{"service", service},
            {"timeout_ms", timeout_ms},
            {"attempts", attempts}}}};
}

inline Json Config(int version, const Json& tenants, const Json& rules,
                   const std::vector<std::string>& services) {
  char text[16];
  std::snprintf(text, sizeof text, "%08x", version);
  Json clusters = Json::array();
  for (const std::string& it : services) {
    clusters.push_back({{"name", it},
                        {"health_path", "/healthz"},
                        {"max_conns", 448},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  Json config = {{"version", text},
                 {"limits",
                  {{"max_header_bytes", 16384},
                   {"max_body_bytes", 67108864},
                   {"header_timeout_ms", 3000},
                   {"idle_timeout_ms", 15000}}},
                 {"listeners", {{{"host", "shop.example"}, {"rules", rules}}}},
                 {"clusters", clusters}};
  if (!tenants.is_null()) config["tenants"] = tenants;
  return config;
}

inline bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review

#endif  // REVIEW_STANDINS_2_HARNESS_H_
