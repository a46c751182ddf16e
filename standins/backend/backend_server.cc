#include "standins/backend/backend_server.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "standins/common/json_func.h"
#include "standins/common/request_func.h"

namespace dogwoodrail::standin {
namespace {

constexpr std::size_t kMaxIdleConnections = 2000;
constexpr std::chrono::milliseconds kNextTimeout{30000};
constexpr std::chrono::milliseconds kDrainCheckInterval{20};
constexpr char kPad[] = "pad=";

// Returns N bytes of padding if the target contains "pad=N".
std::string Padding(const std::string& target) {
  const std::size_t start = target.find(kPad);
  if (start == std::string::npos) return "";
  const char* digits = target.c_str() + start + sizeof(kPad) - 1;
  return std::string(std::strtoul(digits, nullptr, 10), 'x');
}

ReportMode ParseReportMode(const std::string& text) {
  if (text == "lag") return ReportMode::kLag;
  if (text == "lie") return ReportMode::kLie;
  return ReportMode::kTrue;
}

}  // namespace

BackendServer::BackendServer(asio::io_context& io, BackendOptions options)
    : io_(io),
      options_(std::move(options)),
      server_(io, options_.port, [this](const ExchangePtr& e) { Handle(e); }),
      announcer_(io, options_, control_, [this] { return CurrentLoad(); }),
      log_(options_.execution_log),
      drain_timer_(io) {
  if (options_.node_ip_port.empty()) return;
  node_ = std::make_shared<HttpClient>(io, ParseEndpoint(options_.node_ip_port),
                                       kMaxIdleConnections);
}

void BackendServer::Start() {
  server_.Listen();
  announcer_.Start();
}

void BackendServer::Drain() {
  if (draining_) return;
  draining_ = true;
  drain_until_ = std::chrono::steady_clock::now() + options_.min_drain;
  announcer_.Drain();
  CheckDrained();
}

// The server keeps running for at least `min_drain`, because requests that the
// node sent before it received the draining state still arrive.
void BackendServer::CheckDrained() {
  const bool min_drain_over = std::chrono::steady_clock::now() >= drain_until_;
  if (min_drain_over && in_use_ == 0 && queue_.empty()) {
    io_.stop();
    return;
  }
  drain_timer_.expires_after(kDrainCheckInterval);
  drain_timer_.async_wait([this](beast::error_code ec) {
    if (!ec) CheckDrained();
  });
}

void BackendServer::Handle(const ExchangePtr& exchange) {
  const std::string target = exchange->target();
  if (target.compare(0, 19, "/standin/executions") == 0) {
    HandleExecutions(exchange);
  } else if (target == "/standin/control") {
    HandleControl(exchange);
  } else {
    Admit(exchange);
  }
}

void BackendServer::HandleExecutions(const ExchangePtr& exchange) {
  exchange->Respond(http::status::ok,
                    JsonObject()
                        .Add("server", options_.name)
                        .Add("refused", refused_)
                        .Add("in_use", static_cast<std::int64_t>(in_use_))
                        .AddRaw("executions", log_.Text(0))
                        .Text());
}

// Members absent from the JSON body keep their value.
void BackendServer::HandleControl(const ExchangePtr& exchange) {
  const auto tree = ParseJson(exchange->request().body());
  if (!tree) {
    exchange->Respond(http::status::bad_request, "");
    return;
  }
  if (tree->get("crash", false)) ::_exit(1);
  control_.slow_factor = tree->get("slow_factor", control_.slow_factor);
  control_.refuse = tree->get("refuse", control_.refuse);
  control_.mute = tree->get("mute", control_.mute);
  control_.announce = tree->get("announce", control_.announce);
  control_.lie_in_use = tree->get("lie_in_use", control_.lie_in_use);
  control_.report_lag = std::chrono::seconds(
      tree->get<std::int64_t>("report_lag_s", control_.report_lag.count()));
  if (const auto report = tree->get_optional<std::string>("report")) {
    control_.report = ParseReportMode(*report);
  }
  options_.slots = tree->get("slots", options_.slots);
  options_.service_time = std::chrono::milliseconds(tree->get<std::int64_t>(
      "service_time_ms", options_.service_time.count()));
  if (tree->get("drain", false)) Drain();
  exchange->Respond(http::status::no_content, "");
}

void BackendServer::Admit(const ExchangePtr& exchange) {
  const bool has_slot = options_.slower_over_slots || in_use_ < options_.slots;
  const bool may_wait = static_cast<int>(queue_.size()) < options_.queue;
  if (control_.refuse || !(has_slot || may_wait)) {
    Refuse(exchange);
    return;
  }
  if (has_slot) {
    Run(exchange);
    return;
  }
  exchange->OnClosed([this, weak = std::weak_ptr<Exchange>(exchange)] {
    const auto gone = std::find(queue_.begin(), queue_.end(), weak.lock());
    if (gone != queue_.end()) queue_.erase(gone);
  });
  queue_.push_back(exchange);
}

void BackendServer::Refuse(const ExchangePtr& exchange) {
  ++refused_;
  HttpResponse response;
  response.result(http::status::service_unavailable);
  response.set("Dogwood-Ran", "not run");
  response.set("Dogwood-Context", exchange->Header("Dogwood-Context"));
  response.set(http::field::content_type, "application/json");
  response.body() = JsonObject().Add("server", options_.name).Text();
  exchange->Respond(std::move(response));
}

void BackendServer::Run(const ExchangePtr& exchange) {
  const HttpRequest& request = exchange->request();
  const std::size_t log_index = log_.Begin(request, FindLeakedKey(request));
  const std::string& marker = options_.crash_marker;
  const bool crash = request.body().find(marker) != std::string::npos ||
                     exchange->target().find(marker) != std::string::npos;
  if (crash && !marker.empty()) ::_exit(1);
  ++in_use_;
  auto job = std::make_shared<Job>(Job{
      exchange, log_index, asio::steady_timer(io_, ServiceTime()), nullptr});
  const std::weak_ptr<Job> weak = job;
  exchange->OnClosed([this, weak] {
    if (const JobPtr gone = weak.lock()) End(gone, ExecutionState::kCancelled);
  });
  job->timer.async_wait([this, job](beast::error_code ec) {
    if (ec || job->finished) return;
    if (options_.next.empty() || !node_) {
      Finish(job, http::status::ok, "");
    } else {
      CallNext(job);
    }
  });
}

void BackendServer::CallNext(const JobPtr& job) {
  const HttpRequest& incoming = job->exchange->request();
  HttpRequest request;
  request.method(incoming.method());
  request.target(options_.next);
  request.body() = incoming.body();
  for (const char* name : {"Dogwood-Context", "Idempotency-Key"}) {
    const std::string value = job->exchange->Header(name);
    if (!value.empty()) request.set(name, value);
  }
  job->downstream = node_->Send(std::move(request), kNextTimeout,
                                [this, job](const HttpOutcome& outcome) {
                                  if (job->finished) return;
                                  const auto status =
                                      outcome.ec ? http::status::bad_gateway
                                                 : outcome.response.result();
                                  Finish(job, status, outcome.response.body());
                                });
}

// A response whose digest belongs to another request is reported as 500,
// distinct from a failed connection (502).
http::status BackendServer::NextStatus(const HttpRequest& request,
                                       const HttpOutcome& outcome) const {
  if (outcome.ec) return http::status::bad_gateway;
  const auto status = outcome.response.result();
  if (status != http::status::ok) return status;
  const std::string digest = RequestDigest(options_.next, request.body());
  const bool matches =
      outcome.response.body().find(digest) != std::string::npos;
  return matches ? status : http::status::internal_server_error;
}

void BackendServer::Finish(const JobPtr& job, http::status status,
                           const std::string& next_response) {
  const std::string target = job->exchange->target();
  JsonObject body;
  body.Add("server", options_.name)
      .Add("service", options_.service)
      .Add("request_id", job->exchange->Header("Dogwood-Request-Id"))
      .Add("digest", RequestDigest(target, job->exchange->request().body()));
  if (!next_response.empty()) body.Add("next", next_response);
  const std::string padding = Padding(target);
  if (!padding.empty()) body.Add("pad", padding);
  End(job, ExecutionState::kFinished);
  if (!control_.mute) job->exchange->Respond(status, body.Text());
}

void BackendServer::End(const JobPtr& job, ExecutionState state) {
  if (job->finished) return;
  job->finished = true;
  job->timer.cancel();
  if (job->downstream) job->downstream->Cancel();
  job->downstream.reset();
  log_.End(job->log_index, state);
  --in_use_;
  RunNextQueued();
}

void BackendServer::RunNextQueued() {
  if (queue_.empty() || in_use_ >= options_.slots) return;
  const ExchangePtr next = queue_.front();
  queue_.pop_front();
  Run(next);
}

std::string BackendServer::FindLeakedKey(const HttpRequest& request) const {
  const std::string& marker = options_.leak_marker;
  const auto contains_marker = [&marker](const auto& text) {
    return !marker.empty() && text.find(marker) != std::string::npos;
  };
  for (const auto& field : request) {
    std::string value(field.value().data(), field.value().size());
    if (field.name() == http::field::authorization) return value;
    if (contains_marker(value)) return value;
  }
  std::string target(request.target().data(), request.target().size());
  if (contains_marker(target)) return target;
  return contains_marker(request.body()) ? request.body() : "";
}

// Above the number of slots, all running requests share the capacity of the
// server: the service time grows in proportion to their number.
std::chrono::microseconds BackendServer::ServiceTime() const {
  const double sharing =
      std::max(1.0, static_cast<double>(in_use_) / std::max(1, options_.slots));
  const std::chrono::duration<double, std::milli> time =
      options_.service_time * control_.slow_factor * sharing;
  return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

LoadReport BackendServer::CurrentLoad() const {
  return {in_use_, static_cast<int>(queue_.size())};
}

}  // namespace dogwoodrail::standin
