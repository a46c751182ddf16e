#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <sstream>

namespace review3 {
namespace {

const Clock::time_point start_time = Clock::now();

bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() && ::strcasecmp(a.c_str(), b.c_str()) == 0;
}

sockaddr_in MakeAddress(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool WaitFor(int fd, decltype(pollfd::events) events, std::int64_t timeout_ms) {
  pollfd it{fd, events, 0};
  return ::poll(&it, 1,
                static_cast<int>(std::max<std::int64_t>(timeout_ms, 0))) > 0;
}

void SetNoDelay(int fd) {
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Reads more bytes; returns false at the end of the stream or of the time.
bool ReadMore(int fd, std::string* buffer, std::int64_t end_ms) {
  if (!WaitFor(fd, POLLIN, end_ms - NowMs())) return false;
  char bytes[16384];
  const ssize_t n = ::recv(fd, bytes, sizeof(bytes), 0);
  if (n <= 0) return false;
  buffer->append(bytes, static_cast<std::size_t>(n));
  return true;
}

bool ReadChunks(int fd, std::string* buffer, std::int64_t end_ms,
                std::string* body) {
  while (true) {
    std::size_t end = 0;
    while ((end = buffer->find("\r\n")) == std::string::npos) {
      if (!ReadMore(fd, buffer, end_ms)) return false;
    }
    const std::size_t size = std::strtoul(buffer->c_str(), nullptr, 16);
    while (buffer->size() < end + 2 + size + 2) {
      if (!ReadMore(fd, buffer, end_ms)) return false;
    }
    body->append(*buffer, end + 2, size);
    buffer->erase(0, end + 2 + size + 2);
    if (size == 0) return true;
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void Replace(std::string* text, const std::string& from,
             const std::string& to) {
  for (std::size_t at = 0; (at = text->find(from, at)) != std::string::npos;
       at += to.size()) {
    text->replace(at, from.size(), to);
  }
}

std::string RandomHex(int digits) {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  std::string text;
  for (int it = 0; it < digits; ++it) {
    text += "0123456789abcdef"[random() % 16];
  }
  return text;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Reset(int fd) {
  const linger it{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &it, sizeof(it));
  ::shutdown(fd, SHUT_RDWR);
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<Millis>(Clock::now() - start_time).count();
}

void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(Millis(ms));
}

void Record::Line(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  out_ << NowMs() << " ms  " << text << std::endl;
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) return value;
  }
  return "";
}

std::string Message::RequestText(const std::string& host) const {
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  if (Header("Host").empty()) text += "Host: " + host + "\r\n";
  for (const auto& [key, value] : headers) {
    text.append(key).append(": ").append(value).append("\r\n");
  }
  if (!body.empty() || method == "POST" || method == "PUT") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

std::string Message::ResponseText() const {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [key, value] : headers) {
    text.append(key).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

int Listen(const std::string& ip, std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = MakeAddress(ip, port);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::bind(fd, generic, sizeof(address)) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

int Connect(const std::string& ip, std::uint16_t port,
            std::int64_t timeout_ms) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = MakeAddress(ip, port);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  int error = 0;
  if (::connect(fd, generic, sizeof(address)) != 0) {
    socklen_t size = sizeof(error);
    error = errno;
    if (error == EINPROGRESS && WaitFor(fd, POLLOUT, timeout_ms)) {
      ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
  }
  if (error != 0) {
    ::close(fd);
    return -1;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  SetNoDelay(fd);
  return fd;
}

bool ReadMessage(int fd, std::string* buffer, std::int64_t timeout_ms,
                 bool is_response, Message* message) {
  const std::int64_t end_ms = NowMs() + timeout_ms;
  std::size_t end = 0;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(fd, buffer, end_ms)) return false;
  }
  std::istringstream lines(buffer->substr(0, end));
  buffer->erase(0, end + 4);
  std::string line;
  std::getline(lines, line);
  std::istringstream first(line);
  if (is_response) {
    std::string version;
    first >> version >> message->status;
  } else {
    first >> message->method >> message->target;
  }
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message->headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  if (message->Header("Transfer-Encoding") == "chunked") {
    return ReadChunks(fd, buffer, end_ms, &message->body);
  }
  const std::size_t length =
      std::strtoul(message->Header("Content-Length").c_str(), nullptr, 10);
  while (buffer->size() < length) {
    if (!ReadMore(fd, buffer, end_ms)) return false;
  }
  message->body = buffer->substr(0, length);
  buffer->erase(0, length);
  return true;
}

bool WriteAll(int fd, const std::string& text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const ssize_t n =
        ::send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

Message Call(const std::string& ip, std::uint16_t port, const Message& request,
             std::int64_t timeout_ms) {
  const std::int64_t end_ms = NowMs() + timeout_ms;
  Message response;
  const int fd = Connect(ip, port, timeout_ms);
  if (fd < 0) return response;
  std::string buffer;
  const bool ok =
      WriteAll(fd, request.RequestText(ip + ":" + std::to_string(port))) &&
      ReadMessage(fd, &buffer, end_ms - NowMs(), true, &response);
  ::close(fd);
  return ok ? response : Message();
}

Server::Server(std::string ip, std::uint16_t port, Handler handler)
    : ip_(std::move(ip)), port_(port), handler_(std::move(handler)) {}

Server::~Server() {
  Stop();
  while (threads_ > 0) SleepMs(5);
}

bool Server::Start() {
  const std::lock_guard<std::mutex> lock(mutex_);
  listener_ = Listen(ip_, port_);
  if (listener_ < 0) return false;
  accept_thread_ = std::thread([this, fd = listener_] { AcceptLoop(fd); });
  return true;
}

void Server::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ < 0) return;
    ::shutdown(listener_, SHUT_RDWR);
    for (const int fd : connections_) Reset(fd);
  }
  accept_thread_.join();
  const std::lock_guard<std::mutex> lock(mutex_);
  ::close(listener_);
  listener_ = -1;
  for (const int fd : connections_) Reset(fd);
}

void Server::AcceptLoop(int listener) {
  while (true) {
    const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    SetNoDelay(fd);
    ++threads_;
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.insert(fd);
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  constexpr std::int64_t kIdleMs = 10'000;
  std::string buffer;
  while (true) {
    Message request;
    if (!ReadMessage(fd, &buffer, kIdleMs, false, &request)) break;
    const std::string text = handler_(request, fd);
    if (text.empty() || !WriteAll(fd, text)) break;
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    connections_.erase(fd);
    ::close(fd);
  }
  --threads_;
}

Store::Store(std::string ip, std::uint16_t port, Record& record)
    : record_(record),
      server_(std::move(ip), port,
              [this](const Message& request, int) { return Handle(request); }) {
}

bool Store::Start() { return server_.Start(); }

void Store::GoAway() {
  record_.Line("store: away at revision " + std::to_string(revision()));
  ++away_;
  changed_.notify_all();
  server_.Stop();
}

std::uint64_t Store::revision() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_.revision;
}

std::uint64_t Store::Put(const std::string& kind, const std::string& name,
                         const Json& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return PutLocked(kind, name, spec);
}

void Store::TakeCopy() {
  const std::lock_guard<std::mutex> lock(mutex_);
  copy_ = state_;
  record_.Line("store: copy taken at revision " +
               std::to_string(state_.revision));
}

void Store::ReturnFromCopy() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = copy_;
    ++era_;
    record_.Line("store: back from the copy at revision " +
                 std::to_string(state_.revision));
  }
  server_.Start();
}

Json Store::ToJson(const std::string& name, const Object& object) const {
  return {{"metadata",
           {{"name", name},
            {"rev", object.revision},
            {"created", object.created},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", nullptr}};
}

std::string Store::Answer(int status, const Json& body) const {
  Message response;
  response.status = status;
  response.headers.emplace_back("Content-Type", "application/json");
  response.headers.emplace_back("Store-Era", std::to_string(era_.load()));
  response.body = body.dump();
  return response.ResponseText();
}

std::uint64_t Store::PutLocked(const std::string& kind, const std::string& name,
                               const Json& spec) {
  Object& object = state_.kinds[kind][name];
  if (object.revision != 0 && object.spec == spec) return object.revision;
  object.revision = ++state_.revision;
  if (object.created == 0) object.created = object.revision;
  object.spec = spec;
  state_.events.push_back({state_.revision, kind, ToJson(name, object), false});
  record_.Line("store: " + kind + "/" + name + " at revision " +
               std::to_string(state_.revision));
  changed_.notify_all();
  return object.revision;
}

std::string Store::Handle(const Message& request) {
  const std::string prefix = "/dogwoodrail/objects/";
  if (request.target.rfind(prefix, 0) != 0) return Answer(404, Json::object());
  std::string path = request.target.substr(prefix.size());
  std::map<std::string, std::string> query;
  if (const std::size_t mark = path.find('?'); mark != std::string::npos) {
    std::istringstream parts(path.substr(mark + 1));
    path.resize(mark);
    for (std::string part; std::getline(parts, part, '&');) {
      const std::size_t equal = part.find('=');
      query[part.substr(0, equal)] =
          equal == std::string::npos ? "" : part.substr(equal + 1);
    }
  }
  std::string name;
  if (const std::size_t slash = path.find('/'); slash != std::string::npos) {
    name = path.substr(slash + 1);
    path.resize(slash);
  }
  if (request.method == "GET") return Read(path, name, query);
  return Write(request, path, name);
}

std::string Store::Read(const std::string& kind, const std::string& name,
                        const std::map<std::string, std::string>& query) {
  const auto watch = query.find("watch");
  if (watch != query.end()) {
    const auto wait = query.find("wait_ms");
    return Watch(kind, std::strtoull(watch->second.c_str(), nullptr, 10),
                 wait == query.end() ? 0 : std::atoll(wait->second.c_str()));
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto& objects = state_.kinds[kind];
  if (!name.empty()) {
    const auto it = objects.find(name);
    if (it == objects.end()) return Answer(404, Json::object());
    return Answer(200, ToJson(name, it->second));
  }
  Json items = Json::array();
  for (const auto& [key, object] : objects) {
    items.push_back(ToJson(key, object));
  }
  return Answer(
      200, {{"items", items}, {"has_more", false}, {"at", state_.revision}});
}

std::string Store::Watch(const std::string& kind, std::uint64_t after,
                         std::int64_t wait_ms) {
  const std::uint64_t away = away_;
  const auto end = Clock::now() + Millis(wait_ms);
  std::unique_lock<std::mutex> lock(mutex_);
  if (after > state_.revision) return Answer(410, Json::object());
  while (true) {
    Json events = Json::array();
    for (const Event& it : state_.events) {
      if (it.kind != kind || it.revision <= after) continue;
      events.push_back({{"object", it.object}, {"deleted", it.deleted}});
    }
    if (away != away_) return "";
    if (!events.empty() || Clock::now() >= end) {
      return Answer(200, {{"events", events}, {"at", state_.revision}});
    }
    changed_.wait_until(lock, end);
  }
}

std::string Store::Write(const Message& request, const std::string& kind,
                         const std::string& path_name) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (request.method == "DELETE" || !body.is_object()) {
    return Answer(400, Json::object());
  }
  const Json metadata = body.value("metadata", Json::object());
  const std::string name =
      request.method == "POST" ? metadata.value("name", "") : path_name;
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& objects = state_.kinds[kind];
  const auto it = objects.find(name);
  const bool exists = it != objects.end();
  if (request.method == "POST" && exists) {
    return Answer(409, ToJson(name, it->second));
  }
  if (request.method == "PUT" && !exists) return Answer(404, Json::object());
  if (metadata.contains("rev") && exists &&
      metadata["rev"].get<std::uint64_t>() != it->second.revision) {
    return Answer(409, ToJson(name, it->second));
  }
  PutLocked(kind, name, body.value("spec", Json()));
  return Answer(200, ToJson(name, objects.at(name)));
}

Instance::Instance(const Vm& vm, std::size_t index, Record& record)
    : vm_(vm), index_(index), record_(record) {}

Instance::~Instance() {
  Crash();
  for (std::thread& it : threads_) it.join();
}

void Instance::Start(const std::string& id, std::int64_t first_beat_late_ms) {
  std::unique_lock<std::mutex> lock(mutex_);
  id_ = id.empty() ? "i-" + RandomHex(8) : id;
  state_ = "ready";
  born_ms_ = UnixMs();
  sequence_ = 0;
  first_beat_late_ms_ = first_beat_late_ms;
  leaving_ = false;
  const std::uint64_t life = ++life_;
  server_ = std::make_unique<Server>(
      vm_.ip, kAppPort,
      [this](const Message& request, int fd) { return Serve(request, fd); });
  if (!server_->Start()) {
    record_.Line(vm_.name + ": instance cannot listen");
    return;
  }
  up_ = true;
  record_.Line(vm_.name + ": instance " + id_ + " started");
  threads_.emplace_back([this, life] { BeatLoop(life); });
}

void Instance::Crash() {
  std::unique_ptr<Server> server;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!up_) return;
    up_ = false;
    ++life_;
    server = std::move(server_);
    record_.Line(vm_.name + ": instance " + id_ + " ended");
  }
  server->Stop();
  // Its handlers may still run; they end on their own.
  std::thread([kept = std::move(server)]() mutable { kept.reset(); }).detach();
}

std::vector<Run> Instance::runs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_;
}

std::string Instance::id() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return id_;
}

std::string Instance::Serve(const Message& request, int fd) {
  Message response;
  const std::string attempt = request.Header("Attempt-Id");
  const std::uint64_t life = life_;
  const std::string own_id = id();
  if (request.target == "/healthz") {
    response.status = leaving_ ? 503 : 200;
    response.headers.emplace_back("Instance-Id", own_id);
    response.headers.emplace_back("Server-Load", "0,0,20");
    return response.ResponseText();
  }
  response.headers.emplace_back("Attempt-Id", attempt);
  const std::string expected = request.Header("Expect-Instance");
  if (!expected.empty() && expected != own_id) {
    response.status = 421;
    response.headers.emplace_back("Instance-Id", own_id);
    return response.ResponseText();
  }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (life != life_) return "";
    runs_.push_back({NowMs(), attempt, request.target, request.Header("Tenant"),
                     own_id, index_});
  }
  // The request is dropped when its connection closes.
  pollfd it{fd, POLLRDHUP, 0};
  if (::poll(&it, 1, static_cast<int>(work_ms.load())) > 0) return "";
  if (crashes && request.target.find("crash") != std::string::npos) {
    std::thread([this, own_id, life] {
      if (life != life_) return;
      Crash();
      SleepMs(down_ms);
      if (down_ms > 0) Start();
    }).detach();
    SleepMs(50);
    return "";
  }
  response.status = 200;
  response.headers.emplace_back("Response-Seal", "seal-" + attempt);
  response.headers.emplace_back("Server-Load", "1,0,20");
  response.body = "body of " + request.target;
  return response.ResponseText();
}

Message Instance::MakeBeat(const std::string& state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Message beat;
  beat.method = "POST";
  beat.target = "/dogwoodrail/instances/" + id_ + "/heartbeat";
  beat.headers.emplace_back("Content-Type", "application/json");
  beat.body = Json{{"service", vm_.service},
                   {"addr", vm_.ip + ":" + std::to_string(kAppPort)},
                   {"zone", vm_.zone},
                   {"version", "v1"},
                   {"capacity", 20},
                   {"state", state},
                   {"cold_left_ms", 0},
                   {"sequence", ++sequence_},
                   {"born", born_ms_}}
                  .dump();
  return beat;
}

bool Instance::Post(const Message& message) {
  return Call(vm_.ip, kControlPort, message, 1000).status == 200;
}

void Instance::BeatLoop(std::uint64_t life) {
  constexpr std::int64_t kBeatMs = 1500;
  bool first = true;
  while (life == life_) {
    std::string state;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      state = state_;
    }
    // After `leave` alone an instance says no more.
    const bool silent = leaving_ && state == "ready";
    if (!silent) {
      const Message beat = MakeBeat(state);
      const std::int64_t late = first ? first_beat_late_ms_ : 0;
      if (late > 0) {
        record_.Line(vm_.name + ": first heartbeat sent, late on its way");
        std::thread([this, beat, late, life] {
          SleepMs(late);
          if (life != life_) return;
          const bool ok = Post(beat);
          record_.Line(vm_.name + ": the late heartbeat has arrived, " +
                       (ok ? "acknowledged" : "not acknowledged"));
        }).detach();
      } else {
        Post(beat);
      }
    }
    first = false;
    for (std::int64_t it = 0; it < kBeatMs && life == life_; it += 20) {
      SleepMs(20);
    }
  }
}

bool Instance::Drain() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_ = "draining";
  }
  leaving_ = true;
  const bool ok = Post(MakeBeat("draining"));
  record_.Line(vm_.name + ": instance says draining, " +
               (ok ? "acknowledged" : "not acknowledged"));
  return ok;
}

bool Instance::Leave() {
  Message leave;
  leaving_ = true;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    leave.method = "POST";
    leave.target = "/dogwoodrail/instances/" + id_ + "/leave";
    leave.headers.emplace_back("Content-Type", "application/json");
    leave.body = Json{{"born", born_ms_}}.dump();
  }
  const bool ok = Post(leave);
  record_.Line(vm_.name + ": instance says leave, " +
               (ok ? "acknowledged" : "not acknowledged"));
  return ok;
}

Fleet::Fleet(std::string root, Record& record, std::vector<VmSpec> specs)
    : root_(std::move(root)), record_(record) {
  char pattern[] = "/tmp/review3-XXXXXX";
  directory_ = ::mkdtemp(pattern);
  std::mt19937 random(std::random_device{}());
  std::string prefix;
  for (int it = 0; it < 50; ++it) {
    prefix = "127." + std::to_string(1 + random() % 250) + "." +
             std::to_string(1 + random() % 250) + ".";
    const int fd = Listen(prefix + "1", kStorePort);
    const int peer = Listen(prefix + "10", kPeerPort);
    if (fd >= 0) ::close(fd);
    if (peer >= 0) ::close(peer);
    if (fd >= 0 && peer >= 0) break;
  }
  store_ip_ = prefix + "1";
  store_ = std::make_unique<Store>(store_ip_, kStorePort, record_);
  for (std::size_t it = 0; it < specs.size(); ++it) {
    auto vm = std::make_unique<Vm>();
    vm->name = "node-" + std::to_string(it);
    vm->zone = specs[it].zone;
    vm->region = specs[it].region;
    vm->service = specs[it].service;
    vm->ip = prefix + std::to_string(10 + it);
    vm->store_address = store_ip_ + ":" + std::to_string(kStorePort);
    vm->settings_file = directory_ + "/" + vm->name + ".ini";
    vm->log_file = directory_ + "/" + vm->name + ".log";
    vm->instance = std::make_unique<Instance>(*vm, it, record_);
    vms_.push_back(std::move(vm));
  }
}

void Fleet::End(int code) {
  for (const auto& it : vms_) {
    if (it->pid <= 0) continue;
    ::kill(it->pid, SIGKILL);
    ::waitpid(it->pid, nullptr, 0);
  }
  record_.Line("exit code " + std::to_string(code));
  if (std::getenv("KEEP_LOGS") != nullptr) {
    record_.Line("logs in " + directory_);
    ::_exit(code);
  }
  for (const auto& it : vms_) {
    ::unlink(it->settings_file.c_str());
    ::unlink(it->log_file.c_str());
  }
  ::rmdir(directory_.c_str());
  ::_exit(code);
}

bool Fleet::StartNode(std::size_t it) {
  Vm& vm = *vms_.at(it);
  std::string text = ReadFile(root_ + "/deploy/node.ini");
  const auto port = [](std::uint16_t n) { return ":" + std::to_string(n); };
  Replace(&text, "{{ip}}", vm.ip);
  Replace(&text, "{{listen.outbound}}", vm.ip + port(kOutboundPort));
  Replace(&text, "{{listen.ready}}", vm.ip + port(kReadyPort));
  Replace(&text, "{{listen.control}}", vm.ip + port(kControlPort));
  Replace(&text, "{{zone}}", vm.zone);
  Replace(&text, "{{region}}", vm.region);
  Replace(&text, "{{node}}", vm.name);
  Replace(&text, "{{service}}", vm.service);
  Replace(&text, "{{app_addr}}", vm.ip + port(kAppPort));
  Replace(&text, "{{platform.addr}}", vm.store_address);
  std::ofstream(vm.settings_file) << text;
  // The command of the deploy file.
  const std::string deploy = ReadFile(root_ + "/deploy/system.toml");
  const std::size_t begin = deploy.find("run = \"");
  if (begin == std::string::npos) return false;
  std::string run = deploy.substr(begin + 7);
  run.resize(run.find('"'));
  Replace(&run, "/etc/dogwoodrail/boot.conf", vm.settings_file);
  Replace(&run, "{{bounds.grace_s}}", "6");
  Replace(&run, "{{limits.memory_mb}}", "260");
  std::vector<std::string> words;
  std::istringstream parts(run);
  for (std::string word; parts >> word;) words.push_back(word);
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  const std::string env = "DOGWOODRAIL_CONFIG=" + vm.settings_file;
  std::string path = "PATH=/usr/bin:/bin";
  std::string config = env;
  char* const environment[] = {path.data(), config.data(), nullptr};
  const int log =
      ::open(vm.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  const pid_t pid = ::fork();
  if (pid == 0) {
    // The node ends with the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, 1);
    ::dup2(log, 2);
    if (::chdir(root_.c_str()) == 0) {
      ::execve(argv[0], argv.data(), environment);
    }
    ::_exit(127);
  }
  ::close(log);
  vm.pid = pid;
  record_.Line(vm.name + ": node started");
  return pid > 0;
}

void Fleet::KillNode(std::size_t it, int signal) {
  Vm& vm = *vms_.at(it);
  record_.Line(vm.name + ": node gets signal " + std::to_string(signal));
  ::kill(vm.pid, signal);
  if (signal != SIGKILL) return;
  ::waitpid(vm.pid, nullptr, 0);
  vm.pid = -1;
}

bool Fleet::IsReady(std::size_t it) {
  Message probe;
  probe.method = "GET";
  probe.target = "/dogwoodrail/readyz";
  return Call(vms_[it]->ip, kReadyPort, probe, 500).status == 200;
}

bool Fleet::Start(const Json& config, const std::vector<std::string>& probes,
                  const std::string& key) {
  if (!store_->Start()) return false;
  store_->Put("config", "main", config);
  for (std::size_t it = 0; it < vms_.size(); ++it) {
    if (!StartNode(it)) return false;
    vms_[it]->instance->Start();
  }
  constexpr std::int64_t kStartMs = 25'000;
  const std::int64_t end = NowMs() + kStartMs;
  while (NowMs() < end) {
    bool ok = true;
    for (std::size_t it = 0; ok && it < vms_.size(); ++it) {
      ok = IsReady(it);
      for (const std::string& path : probes) {
        // As often as there are instances, since any may serve it.
        for (std::size_t n = 0; ok && n < 3; ++n) {
          ok = Send(it, "GET", path, key, 2000).status == 200;
        }
      }
    }
    if (ok) {
      record_.Line("all nodes are ready and serve");
      return true;
    }
    SleepMs(200);
  }
  record_.Line("the nodes do not serve");
  return false;
}

Message Fleet::Send(std::size_t vm, const std::string& method,
                    const std::string& path, const std::string& key,
                    std::int64_t deadline_ms, std::string* attempt,
                    const std::string& body) {
  Message request;
  request.method = method;
  request.target = path;
  request.body = body;
  const std::string id = "a" + std::to_string(next_attempt_++);
  if (attempt != nullptr) *attempt = id;
  request.headers.emplace_back("Host", "hulo84.example");
  request.headers.emplace_back("Attempt-Id", id);
  request.headers.emplace_back("Deadline-Ms", std::to_string(deadline_ms));
  if (!key.empty()) request.headers.emplace_back("X-Api-Key", key);
  return Call(vms_.at(vm)->ip, kOutboundPort, request, deadline_ms + 500);
}

std::vector<Run> Fleet::Runs() {
  std::vector<Run> all;
  for (const auto& it : vms_) {
    const std::vector<Run> runs = it->instance->runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  std::sort(all.begin(), all.end(),
            [](const Run& a, const Run& b) { return a.at_ms < b.at_ms; });
  return all;
}

Json MakeConfig(std::uint32_t version, const std::vector<RouteSpec>& routes,
                const std::vector<TenantSpec>& tenants,
                const std::vector<std::string>& services) {
  char digits[9];
  std::snprintf(digits, sizeof(digits), "%08x", version);
  Json rules = Json::array();
  for (const RouteSpec& it : routes) {
    rules.push_back({{"name", it.name},
                     {"kind", it.idempotent ? "idempotent" : "non_idempotent"},
                     {"target_latency_ms", 1500},
                     {"priority", 1},
                     {"public", false},
                     {"matcher", {{"prefix", it.prefix}}},
                     {"action",
                      {{"service", it.service},
                       {"timeout_ms", it.timeout_ms},
                       {"attempts", it.attempts}}}});
  }
  Json holders = Json::array();
  for (const TenantSpec& it : tenants) {
    Json holder = {{"name", it.name}, {"api_keys", it.keys}, {"priority", 1}};
    if (it.rate > 0) {
      holder["rate_per_s"] = it.rate;
      holder["burst"] = it.burst;
    }
    holders.push_back(std::move(holder));
  }
  Json clusters = Json::array();
  for (const std::string& it : services) {
    clusters.push_back({{"name", it},
                        {"health_path", "/healthz"},
                        {"max_conns", 448},
                        {"protocol", "h1"},
                        {"tls", false}});
  }
  return {{"version", std::string(digits)},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 67108864},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", holders},
          {"listeners",
           Json::array({{{"host", "hulo84.example"}, {"rules", rules}}})},
          {"clusters", clusters}};
}

Arguments ReadArguments(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  ::signal(SIGALRM, [](int) { ::_exit(kCannotRun); });
  ::alarm(118);
  Arguments arguments;
  if (argc != 3) {
    std::fprintf(stderr, "usage: case ROOT RECORD\n");
    std::exit(kCannotRun);
  }
  arguments.root = argv[1];
  arguments.record = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  arguments.trouble = trouble == nullptr || std::string(trouble) != "0";
  return arguments;
}

}  // namespace review3
