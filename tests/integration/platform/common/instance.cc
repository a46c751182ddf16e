#include "tests/integration/platform/common/instance.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <utility>

namespace dogwoodrail::integration {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kHeartbeatInterval{500};
constexpr std::chrono::milliseconds kHeartbeatTimeout{900};
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024 * 1024;
constexpr const char* kCrashWord = "crash";
constexpr const char* kHealthPath = "/healthz";

std::int64_t UnixMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

}  // namespace

// One connection to the instance; serves one request at a time.
class PlatformInstance::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(PlatformInstance& owner, tcp::socket socket)
      : owner_(owner),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()) {}

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    beast::http::async_read(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](const error_code& ec, std::size_t) {
          if (ec) return self->Close();
          self->request_ = self->parser_->release();
          self->OnRequest();
        });
  }

  void Close() {
    error_code ec;
    timer_.cancel(ec);
    socket_.close(ec);
    owner_.connections_.erase(shared_from_this());
  }

 private:
  void OnRequest() {
    InstanceRequest request;
    request.method = request_.method_string().to_string();
    request.target = request_.target().to_string();
    request.id = request_["Attempt-Id"].to_string();
    request.tenant = request_["Tenant"].to_string();
    request.has_key = request_.count("X-Api-Key") > 0;
    request.caller_service = request_["Caller-Service"].to_string();
    request.expected_instance = request_["Expect-Instance"].to_string();
    request.body = request_.body();
    request.number = number_++;
    if (request.target == kHealthPath) {
      steps_ = {{std::chrono::milliseconds(0),
                 AnswerText("", owner_.draining_ ? 503 : 200,
                            "Instance-Id: " + owner_.id_ + "\r\n", "")}};
    } else if (!request.expected_instance.empty() &&
               request.expected_instance != owner_.id_) {
      steps_ = {{std::chrono::milliseconds(0),
                 AnswerText(request.id, 421, "Not-Run: other\r\n", "")}};
    } else {
      steps_ = owner_.Begin(request);
    }
    next_step_ = 0;
    Continue();
  }

  void Continue() {
    if (!socket_.is_open()) return;
    if (next_step_ == steps_.size()) return Read();
    timer_.expires_after(steps_[next_step_].after);
    timer_.async_wait([self = shared_from_this()](const error_code& ec) {
      if (!ec && self->owner_.up_) self->Write();
    });
  }

  void Write() {
    asio::async_write(
        socket_, asio::buffer(steps_[next_step_].bytes),
        [self = shared_from_this()](const error_code& ec, std::size_t) {
          if (ec || self->steps_[self->next_step_].close) return self->Close();
          ++self->next_step_;
          self->Continue();
        });
  }

  PlatformInstance& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<beast::http::request_parser<beast::http::string_body>> parser_;
  beast::http::request<beast::http::string_body> request_;
  std::vector<InstanceStep> steps_;
  std::size_t next_step_ = 0;
  std::size_t number_ = 0;
};

PlatformInstance::PlatformInstance(asio::io_context& loop, InstanceSpec spec)
    : loop_(loop),
      spec_(std::move(spec)),
      acceptor_(loop),
      heartbeat_timer_(loop),
      start_timer_(loop),
      node_(std::make_shared<standin::HttpClient>(
          loop,
          tcp::endpoint(asio::ip::address_v4::loopback(), spec_.control_port),
          1)) {}

void PlatformInstance::Start() {
  asio::post(loop_, [this] { StartNow(); });
}

void PlatformInstance::Crash() {
  asio::post(loop_, [this] { CrashNow(); });
}

void PlatformInstance::SetScript(InstanceScript script) {
  const std::lock_guard<std::mutex> lock(mutex_);
  script_ = std::move(script);
}

void PlatformInstance::SetDownTime(std::chrono::milliseconds time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  down_time_ = time;
}

void PlatformInstance::SetNextService(const std::string& service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  next_service_ = service;
}

void PlatformInstance::SetHeartbeatDelay(std::chrono::milliseconds delay) {
  const std::lock_guard<std::mutex> lock(mutex_);
  heartbeat_delay_ = delay;
}

void PlatformInstance::KeepId() {
  const std::lock_guard<std::mutex> lock(mutex_);
  keeps_id_ = true;
}

InstanceIdentity PlatformInstance::identity() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return identity_;
}

void PlatformInstance::Drain() { draining_ = true; }

void PlatformInstance::SetSilentCrash(bool silent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  silent_crash_ = silent;
}

std::size_t PlatformInstance::CountRuns(const std::string& target) {
  return Runs(target).size();
}

std::vector<PlatformInstance::Clock::time_point> PlatformInstance::Runs(
    const std::string& target) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return runs_[target];
}

std::size_t PlatformInstance::crashes() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return crashes_;
}

void PlatformInstance::StartNow() {
  if (up_) return;
  for (const auto& it : std::set<std::shared_ptr<Connection>>(connections_)) {
    it->Close();
  }
  up_ = true;
  draining_ = false;
  born_ms_ = UnixMillis();
  sequence_ = 0;
  const tcp::endpoint address(asio::ip::address_v4::loopback(), spec_.port);
  acceptor_.open(address.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen();
  Accept();
  std::chrono::milliseconds delay{0};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!keeps_id_ || id_.empty()) {
      id_ = "i-" + std::to_string(spec_.port) + "-" + std::to_string(born_ms_);
    }
    identity_ = {id_, born_ms_};
    if (!next_service_.empty()) spec_.service = std::move(next_service_);
    next_service_.clear();
    delay = heartbeat_delay_;
  }
  ScheduleHeartbeat(delay);
}

void PlatformInstance::CrashNow() {
  if (!up_) return;
  up_ = false;
  error_code ec;
  acceptor_.close(ec);
  heartbeat_timer_.cancel(ec);
  std::chrono::milliseconds down_time{0};
  bool silent = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++crashes_;
    down_time = down_time_;
    silent = silent_crash_;
  }
  if (!silent) {
    for (const auto& it : std::set<std::shared_ptr<Connection>>(connections_)) {
      it->Close();
    }
  }
  start_timer_.expires_after(down_time);
  start_timer_.async_wait([this](const error_code& timer_ec) {
    if (!timer_ec) StartNow();
  });
}

void PlatformInstance::Accept() {
  acceptor_.async_accept([this](const error_code& ec, tcp::socket socket) {
    if (ec) return;
    auto it = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(it);
    it->Read();
    Accept();
  });
}

void PlatformInstance::SendHeartbeat() {
  beast::http::request<beast::http::string_body> request;
  request.method(beast::http::verb::post);
  request.target("/dogwoodrail/instances/" + id_ + "/heartbeat");
  request.set(beast::http::field::content_type, "application/json");
  request.body() = R"({"service":")" + spec_.service +
                   R"(","addr":"127.0.0.1:)" + std::to_string(spec_.port) +
                   R"(","zone":"a","version":"v1","capacity":)" +
                   std::to_string(spec_.slots) + R"(,"state":")" +
                   (draining_ ? "draining" : "ready") + R"(","born":)" +
                   std::to_string(born_ms_) +
                   R"(,"cold_left_ms":0,"sequence":)" +
                   std::to_string(++sequence_) + "}";
  node_->Send(std::move(request), kHeartbeatTimeout,
              [](const standin::HttpOutcome&) {});
  ScheduleHeartbeat(kHeartbeatInterval);
}

void PlatformInstance::ScheduleHeartbeat(std::chrono::milliseconds delay) {
  heartbeat_timer_.expires_after(delay);
  heartbeat_timer_.async_wait([this](const error_code& ec) {
    if (!ec && up_) SendHeartbeat();
  });
}

std::map<std::string, std::size_t> PlatformInstance::RunsByTarget() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, std::size_t> counts;
  for (const auto& [target, times] : runs_) counts[target] = times.size();
  return counts;
}

InstanceAnswer PlatformInstance::MakeAnswer(
    const InstanceRequest& request) const {
  if (script_) return script_(request);
  return {true, {{spec_.service_time, SuccessText(request)}}};
}

std::vector<InstanceStep> PlatformInstance::Begin(
    const InstanceRequest& request) {
  InstanceAnswer answer;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    answer = MakeAnswer(request);
    if (answer.runs) runs_[request.target].push_back(Clock::now());
  }
  if (request.target.find(kCrashWord) != std::string::npos) Crash();
  return std::move(answer.steps);
}

std::string PlatformInstance::SuccessText(const InstanceRequest& request) {
  return AnswerText(request.id, 200, "Response-Seal: s\r\n", request.target);
}

std::string PlatformInstance::RefusalText(const std::string& id) {
  return AnswerText(id, 503, "Not-Run: full\r\n", "");
}

std::string PlatformInstance::AnswerText(const std::string& id, int status,
                                         const std::string& headers,
                                         const std::string& body) {
  const std::string echo = id.empty() ? "" : "Attempt-Id: " + id + "\r\n";
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + echo + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace dogwoodrail::integration
