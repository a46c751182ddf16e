#include "platform.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

namespace dogwoodrail::review {
namespace {

using Json = nlohmann::json;

constexpr const char* kObjects = "/dogwoodrail/objects/";
constexpr std::int64_t kIdleMs = 60'000;
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kHeartbeatTimeoutMs = 1000;
constexpr std::int64_t kStartTimeoutMs = 30'000;
constexpr std::int64_t kLongestMs = 115'000;

std::string QueryValue(const std::string& query, const std::string& name) {
  const std::string all = "&" + query;
  const std::size_t at = all.find("&" + name + "=");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + name.size() + 2;
  return all.substr(begin, all.find('&', begin) - begin);
}

std::string JsonResponse(int status, const std::string& body) {
  return FormatResponse(status, {{"Content-Type", "application/json"}}, body);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Replace(std::string* text, const std::string& from,
             const std::string& to) {
  for (std::size_t at = text->find(from); at != std::string::npos;
       at = text->find(from, at + to.size())) {
    text->replace(at, from.size(), to);
  }
}

void Accept(int listener, const std::function<void(int)>& serve) {
  while (true) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    SetNoDelay(fd);
    std::thread(serve, fd).detach();
  }
}

}  // namespace

Record::Record(const std::string& path) : path_(path) {
  std::ofstream(path_).close();
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ofstream file(path_, std::ios::app);
  file << NowMs() << " " << line << "\n";
}

void Record::WriteRequest(const std::string& line) {
  if (!quiet_) Write(line);
}

bool Store::Start(const std::string& ip, std::uint16_t port) {
  const int listener = Listen(ip, port);
  if (listener < 0) return false;
  std::thread([this, listener] {
    Accept(listener, [this](int fd) { Serve(fd); });
  }).detach();
  return true;
}

void Store::Put(const std::string& kind, const std::string& name,
                const std::string& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Object& object = kinds_[kind][name];
  object.revision = ++revision_;
  if (object.created == 0) object.created = object.revision;
  object.spec = spec;
  changed_.notify_all();
}

void Store::Serve(int fd) {
  std::string rest;
  Message request;
  while (ReadMessage(fd, &rest, &request, NowMs() + kIdleMs) ==
         ReadEnd::kWhole) {
    if (!WriteAll(fd, Handle(request))) break;
  }
  ::close(fd);
}

std::string Store::Handle(const Message& request) {
  SleepMs(4);  // an answer of the store, as on the sheets
  const std::size_t mark = request.target.find('?');
  std::string path = request.target.substr(0, mark);
  const std::string query =
      mark == std::string::npos ? "" : request.target.substr(mark + 1);
  if (path.rfind(kObjects, 0) != 0) return JsonResponse(404, "{}");
  path.erase(0, std::string(kObjects).size());
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : path.substr(slash + 1);
  if (request.method == "GET") return HandleRead(kind, name, query);
  return HandleWrite(request, kind, name);
}

std::string Store::Text(const std::string& name, const Object& object) {
  return R"({"metadata":{"name":)" + Json(name).dump() + R"(,"rev":)" +
         std::to_string(object.revision) + R"(,"created":)" +
         std::to_string(object.created) +
         R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec +
         R"(,"status":null})";
}

std::string Store::HandleRead(const std::string& kind, const std::string& name,
                              const std::string& query) {
  std::unique_lock<std::mutex> lock(mutex_);
  const auto& objects = kinds_[kind];
  if (!name.empty()) {
    const auto it = objects.find(name);
    if (it == objects.end()) return JsonResponse(404, "{}");
    return JsonResponse(200, Text(name, it->second));
  }
  std::string list;
  const auto add = [&list](const std::string& text) {
    if (!list.empty()) list += ",";
    list += text;
  };
  const std::string watch = QueryValue(query, "watch");
  if (watch.empty()) {
    for (const auto& [key, it] : objects) {
      if (key > QueryValue(query, "after")) add(Text(key, it));
    }
    return JsonResponse(200, R"({"items":[)" + list +
                                 R"(],"has_more":false,"at":)" +
                                 std::to_string(revision_) + "}");
  }
  const std::uint64_t after = std::strtoull(watch.c_str(), nullptr, 10);
  const std::chrono::milliseconds wait(
      std::strtoll(QueryValue(query, "wait_ms").c_str(), nullptr, 10));
  const auto is_new = [&](const auto& it) {
    return it.second.revision > after;
  };
  changed_.wait_for(lock, wait, [&] {
    return std::any_of(objects.begin(), objects.end(), is_new);
  });
  for (const auto& [key, it] : objects) {
    if (it.revision <= after) continue;
    add(R"({"object":)" + Text(key, it) + R"(,"deleted":false})");
  }
  return JsonResponse(200, R"({"events":[)" + list + R"(],"at":)" +
                               std::to_string(revision_) + "}");
}

std::string Store::HandleWrite(const Message& request, const std::string& kind,
                               const std::string& name) {
  const Json body =
      Json::parse(request.body, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains("metadata")) {
    return JsonResponse(400, "{}");
  }
  const Json& metadata = body["metadata"];
  const bool creates = request.method == "POST";
  const std::string key =
      creates ? metadata.value("name", std::string()) : name;
  const std::string spec = body.value("spec", Json()).dump();
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& objects = kinds_[kind];
  const auto found = objects.find(key);
  if (creates && found != objects.end()) {
    return JsonResponse(409, Text(key, found->second));
  }
  if (!creates && found == objects.end()) return JsonResponse(404, "{}");
  if (metadata.contains("rev") &&
      metadata["rev"] != (creates ? 0 : found->second.revision)) {
    return JsonResponse(
        409, found == objects.end() ? "{}" : Text(key, found->second));
  }
  Object& object = objects[key];
  if (object.spec != spec || object.revision == 0) {
    object.revision = ++revision_;
    if (object.created == 0) object.created = object.revision;
    object.spec = spec;
    changed_.notify_all();
  }
  return JsonResponse(200, Text(key, object));
}

Instance::Instance(Machine machine, std::size_t slots, Plan plan,
                   Record* record)
    : machine_(std::move(machine)),
      slots_(slots),
      plan_(std::move(plan)),
      record_(record) {}

bool Instance::Start() {
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = Listen(machine_.ip, kAppPort);
  if (listener_ < 0) return false;
  const int epoch = ++epoch_;
  up_ = true;
  running_ = 0;
  born_ms_ = UnixMs();
  id_ = "i-" + machine_.name + "-" + std::to_string(born_ms_ % 1'000'000);
  std::thread([this, epoch, listener = listener_] {
    Accept(listener, [this, epoch](int fd) { Serve(fd, epoch); });
  }).detach();
  std::thread([this, epoch, id = id_, born = born_ms_] {
    SendHeartbeats(epoch, id, born);
  }).detach();
  return true;
}

void Instance::Crash(std::int64_t down_ms) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!up_) return;
    up_ = false;
    ++epoch_;
    crashes_.push_back(NowMs());
    record_->Write("crash instance=" + id_);
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    for (const int fd : connections_) ::shutdown(fd, SHUT_RDWR);
  }
  std::thread([this, down_ms] {
    SleepMs(down_ms);
    while (!Start()) SleepMs(50);
    record_->Write("start instance=" + id());
  }).detach();
}

std::string Instance::id() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return id_;
}

std::vector<std::int64_t> Instance::crashes() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return crashes_;
}

std::vector<Run> Instance::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

bool Instance::IsCurrent(int epoch) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return up_ && epoch_ == epoch;
}

void Instance::Serve(int fd, int epoch) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.insert(fd);
  }
  std::string rest;
  Message request;
  while (ReadMessage(fd, &rest, &request, NowMs() + 10'000) ==
         ReadEnd::kWhole) {
    if (!IsCurrent(epoch) || !ServeOne(fd, epoch, request)) break;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  connections_.erase(fd);
  ::close(fd);
}

// Returns false if the connection ends.
bool Instance::ServeOne(int fd, int epoch, const Message& request) {
  std::string load;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    load = std::to_string(running_) + ",0," + std::to_string(slots_);
  }
  if (request.target == "/healthz") {
    return WriteAll(
        fd, FormatResponse(200, {{"Instance-Id", id()}, {"Server-Load", load}},
                           ""));
  }
  const std::string attempt = request.Get("Attempt-Id");
  if (request.Has("Expect-Instance") &&
      request.Get("Expect-Instance") != id()) {
    return WriteAll(
        fd, FormatResponse(
                421, {{"Attempt-Id", attempt}, {"Instance-Id", id()}}, ""));
  }
  std::size_t number = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (running_ >= slots_) number = runs_.max_size();
    if (number == 0) {
      ++running_;
      number = runs_.size();
      Run run;
      run.attempt_id = attempt;
      run.target = request.target;
      run.tenant = request.Get("Tenant");
      run.instance = id_;
      run.began_ms = NowMs();
      run.deadline_ms = std::atoll(request.Get("Deadline-Ms").c_str());
      runs_.push_back(run);
    }
  }
  if (number == runs_.max_size()) {
    return WriteAll(
        fd,
        FormatResponse(503, {{"Attempt-Id", attempt}, {"Not-Run", "1"}}, ""));
  }
  record_->WriteRequest("run id=" + attempt + " target=" + request.target +
                        " instance=" + id());
  Work work = plan_(machine_, request);
  if (work.crash) {
    // The first of several that run at once ends the process.
    SleepMs(work.ms);
    Crash(3000);
    return false;
  }
  bool closed = false;
  if (work.task) {
    work.status = work.task(request);
    closed = IsClosedByPeer(fd) || !IsCurrent(epoch);
  } else {
    const std::int64_t end = NowMs() + work.ms;
    while (!closed && NowMs() < end) {
      SleepMs(std::clamp<std::int64_t>(end - NowMs(), 1, 10));
      closed = IsClosedByPeer(fd) || !IsCurrent(epoch);
    }
  }
  const bool answered =
      !closed && WriteAll(fd, FormatResponse(work.status,
                                             {{"Attempt-Id", attempt},
                                              {"Response-Seal", "seal"},
                                              {"Server-Load", load}},
                                             work.body));
  const std::lock_guard<std::mutex> lock(mutex_);
  if (epoch_ == epoch && running_ > 0) --running_;
  Run& run = runs_.at(number);
  run.answered = answered;
  run.cut = closed;
  run.ended_ms = NowMs();
  record_->WriteRequest(std::string(answered ? "done" : "cut") +
                        " id=" + attempt + " instance=" + id_);
  return answered;
}

void Instance::SendHeartbeats(int epoch, const std::string& id,
                              std::int64_t born_ms) {
  for (std::uint64_t sequence = 1; IsCurrent(epoch); ++sequence) {
    const int fd = Connect(machine_.ip, kControlPort, kHeartbeatTimeoutMs);
    if (fd >= 0) {
      const std::string body =
          R"({"service":")" + machine_.service + R"(","addr":")" + machine_.ip +
          ":" + std::to_string(kAppPort) + R"(","zone":")" + machine_.zone +
          R"(","version":"v1","capacity":)" + std::to_string(slots_) +
          R"(,"state":"ready","born":)" + std::to_string(born_ms) +
          R"(,"cold_left_ms":0,"sequence":)" + std::to_string(sequence) + "}";
      WriteAll(
          fd, FormatRequest(
                  "POST", "/dogwoodrail/instances/" + id + "/heartbeat",
                  {{"Host", machine_.ip}, {"Content-Type", "application/json"}},
                  body));
      std::string rest;
      Message answer;
      ReadMessage(fd, &rest, &answer, NowMs() + kHeartbeatTimeoutMs);
      ::close(fd);
    }
    // The first calls may come before the node listens.
    SleepMs(fd < 0 ? 200 : kHeartbeatMs);
  }
}

NodeProcess::NodeProcess(Machine machine, std::string store,
                         std::string directory, Record* record)
    : machine_(std::move(machine)),
      store_(std::move(store)),
      directory_(std::move(directory)),
      record_(record) {}

void NodeProcess::Start() {
  std::string text = ReadFile("deploy/node.ini");
  const auto address = [this](std::uint16_t port) {
    return machine_.ip + ":" + std::to_string(port);
  };
  Replace(&text, "{{listen.outbound}}", address(kOutboundPort));
  Replace(&text, "{{listen.ready}}", address(kReadyPort));
  Replace(&text, "{{listen.control}}", address(kControlPort));
  Replace(&text, "{{app_addr}}", address(kAppPort));
  if (!machine_.relay_ip.empty()) {
    Replace(&text, "peer = {{ip}}:7000",
            "peer = " + machine_.relay_ip + ":7000\npeer_listen = {{ip}}:7000");
  }
  Replace(&text, "{{ip}}", machine_.ip);
  Replace(&text, "{{zone}}", machine_.zone);
  Replace(&text, "{{region}}", machine_.region);
  Replace(&text, "{{node}}", machine_.name);
  Replace(&text, "{{service}}", machine_.service);
  Replace(&text, "{{platform.addr}}", store_);
  const std::string settings = directory_ + "/" + machine_.name + ".ini";
  const std::string log = directory_ + "/" + machine_.name + ".log";
  std::ofstream(settings) << text;
  pid_ = ::fork();
  if (pid_ != 0) {
    record_->Write("node " + machine_.name +
                   " started pid=" + std::to_string(pid_));
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  ::execl("target/dogwoodrail", "target/dogwoodrail", "node", "--settings",
          settings.c_str(), static_cast<char*>(nullptr));
  ::_exit(127);
}

void NodeProcess::Signal(int number) {
  if (pid_ <= 0) return;
  record_->Write("node " + machine_.name + " signal=" + std::to_string(number));
  ::kill(pid_, number);
}

bool NodeProcess::HasEnded(std::string* how) {
  if (pid_ <= 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return false;
  pid_ = -1;
  *how = WIFSIGNALED(status)
             ? "signal " + std::to_string(WTERMSIG(status))
             : "exit code " + std::to_string(WEXITSTATUS(status));
  record_->Write("node " + machine_.name + " ended: " + *how);
  return true;
}

void NodeProcess::Kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

std::uint64_t NodeProcess::MemoryBytes() const {
  if (pid_ <= 0) return 0;
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmHWM:", 0) != 0) continue;
    return std::strtoull(line.c_str() + 6, nullptr, 10) * 1024;
  }
  return 0;
}

bool NodeProcess::IsReady() const {
  const int fd = Connect(machine_.ip, kReadyPort, 500);
  if (fd < 0) return false;
  WriteAll(fd, FormatRequest("GET", "/dogwoodrail/readyz",
                             {{"Host", machine_.ip}}, ""));
  std::string rest;
  Message answer;
  const ReadEnd end = ReadMessage(fd, &rest, &answer, NowMs() + 500);
  ::close(fd);
  return end == ReadEnd::kWhole && answer.status == 200;
}

Answer Send(const std::string& ip, const Attempt& attempt, int* kept) {
  Answer answer;
  answer.sent_ms = NowMs();
  int fd = kept == nullptr ? -1 : *kept;
  if (fd < 0) fd = Connect(ip, kOutboundPort, 1000);
  answer.ended_ms = NowMs();
  if (fd < 0) return answer;
  std::vector<std::pair<std::string, std::string>> headers = {
      {"Host", kHost},
      {"Attempt-Id", attempt.id},
      {"Deadline-Ms", std::to_string(attempt.deadline_ms)}};
  if (!attempt.key.empty()) headers.emplace_back("X-Api-Key", attempt.key);
  std::string rest;
  if (WriteAll(fd, FormatRequest(attempt.method, attempt.target, headers,
                                 attempt.body))) {
    answer.end = ReadMessage(fd, &rest, &answer.message,
                             answer.sent_ms + attempt.deadline_ms);
  }
  answer.ended_ms = NowMs();
  if (answer.end == ReadEnd::kWhole) answer.status = answer.message.status;
  const bool reusable = answer.end == ReadEnd::kWhole &&
                        answer.message.Get("Connection") != "close";
  if (kept != nullptr && reusable) {
    *kept = fd;
    return answer;
  }
  if (kept != nullptr) *kept = -1;
  ::close(fd);
  return answer;
}

Fleet::Fleet(std::string prefix, Record* record)
    : prefix_(std::move(prefix)), record_(record) {
  std::string name = "/tmp/dogwoodrail-review-XXXXXX";
  directory_ = ::mkdtemp(name.data());
}

void Fleet::End() {
  for (auto& it : nodes_) it->Kill();
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(directory_);
}

void Fleet::Add(const std::string& service, const std::string& zone,
                std::size_t slots, const Instance::Plan& plan) {
  Machine machine;
  machine.name = "m" + std::to_string(machines_.size() + 1);
  machine.ip = prefix_ + std::to_string(machines_.size() + 10);
  machine.zone = zone;
  machine.service = service;
  machines_.push_back(machine);
  instances_.push_back(
      std::make_unique<Instance>(machine, slots, plan, record_));
  nodes_.push_back(std::make_unique<NodeProcess>(
      machine, prefix_ + "2:" + std::to_string(kStorePort), directory_,
      record_));
}

bool Fleet::AddPartition() {
  std::vector<std::string> nodes;
  std::vector<std::string> relays;
  for (std::size_t it = 0; it < machines_.size(); ++it) {
    nodes.push_back(machines_[it].ip);
    relays.push_back(prefix_ + std::to_string(it + 110));
    nodes_[it]->SetRelay(relays.back());
  }
  return partition_.Start(nodes, relays);
}

bool Fleet::Start(const std::string& config, const Attempt& probe) {
  if (!store_.Start(prefix_ + "2", kStorePort)) return false;
  store_.Put("config", "main", config);
  for (auto& it : nodes_) it->Start();
  for (auto& it : instances_) {
    if (!it->Start()) return false;
  }
  const std::int64_t end = NowMs() + kStartTimeoutMs;
  std::size_t served = 0;
  for (int n = 0; NowMs() < end && served < 3 * nodes_.size(); ++n) {
    NodeProcess& node = *nodes_.at(served % nodes_.size());
    Attempt attempt = probe;
    attempt.id = "probe-" + std::to_string(n);
    const bool ok =
        node.IsReady() && Send(node.machine().ip, attempt).status == 200;
    if (ok) {
      ++served;
    } else {
      SleepMs(100);
    }
  }
  if (served < 3 * nodes_.size()) return false;
  record_->Write("fleet is ready");
  return true;
}

std::vector<Run> Fleet::AllRuns() {
  std::vector<Run> all;
  for (auto& it : instances_) {
    const std::vector<Run> runs = it->runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

std::vector<std::int64_t> Fleet::AllCrashes() {
  std::vector<std::int64_t> all;
  for (auto& it : instances_) {
    const std::vector<std::int64_t> crashes = it->crashes();
    all.insert(all.end(), crashes.begin(), crashes.end());
  }
  return all;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string FreePrefix() {
  std::random_device random;
  while (true) {
    std::string prefix = "127." + std::to_string(random() % 200 + 20) + "." +
                         std::to_string(random() % 250 + 1) + ".";
    bool is_free = true;
    for (const std::uint16_t port :
         {kOutboundPort, kReadyPort, kControlPort, kAppPort, kStorePort,
          std::uint16_t{7000}, std::uint16_t{7001}}) {
      const int fd = Listen(prefix + "10", port);
      is_free = is_free && fd >= 0;
      if (fd >= 0) ::close(fd);
    }
    if (is_free) return prefix;
  }
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

std::string RuleText(const std::string& name, const std::string& prefix,
                     const std::string& kind, const std::string& service,
                     int timeout_ms, int attempts, bool is_public) {
  return R"({"name":")" + name + R"(","kind":")" + kind +
         R"(","target_latency_ms":1500,"priority":1,"public":)" +
         (is_public ? "true" : "false") + R"(,"matcher":{"prefix":")" + prefix +
         R"("},"action":{"service":")" + service + R"(","timeout_ms":)" +
         std::to_string(timeout_ms) + R"(,"attempts":)" +
         std::to_string(attempts) + "}}";
}

std::string ConfigText(int version, const std::string& limits,
                       const std::string& tenants,
                       const std::vector<std::string>& rules,
                       const std::vector<std::string>& services) {
  char digits[16];
  std::snprintf(digits, sizeof(digits), "%08x", static_cast<unsigned>(version));
  std::string text = R"({"version":")" + std::string(digits) +
                     R"(","limits":)" + limits + R"(,"tenants":)" + tenants +
                     R"(,"listeners":[{"host":")" + kHost + R"(","rules":[)";
  for (std::size_t n = 0; n < rules.size(); ++n) {
    text += (n > 0 ? "," : "") + rules[n];
  }
  text += R"(]}],"clusters":[)";
  for (std::size_t n = 0; n < services.size(); ++n) {
    text += std::string(n > 0 ? "," : "") + R"({"name":")" + services[n] +
            R"(","health_path":"/healthz","max_conns":448,"protocol":"h1",)"
            R"("tls":false})";
  }
  return text + "]}";
}

void Finish(Fleet* fleet, Record* record, int code,
            const std::string& verdict) {
  record->Write(verdict);
  std::printf("%s\n", verdict.c_str());
  std::fflush(stdout);
  fleet->End();
  ::_exit(code);
}

int RunCase(int argc, char** argv, int (*main)(const std::string& record)) {
  if (argc != 2) return 2;
  std::thread([] {
    SleepMs(kLongestMs);
    std::printf("the case takes too long\n");
    std::fflush(stdout);
    ::_exit(2);
  }).detach();
  try {
    return main(argv[1]);
  } catch (const std::exception& ex) {
    std::printf("the case could not run: %s\n", ex.what());
    return 2;
  }
}

}  // namespace dogwoodrail::review
