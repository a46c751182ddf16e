#include "standins/backend/announcer.h"

#include <algorithm>
#include <utility>

#include "standins/common/json_func.h"

namespace dogwoodrail::standin {
namespace {

constexpr std::chrono::milliseconds kAnnounceInterval{1000};
constexpr std::chrono::milliseconds kAnnounceTimeout{800};
constexpr std::size_t kMaxLoadHistory = 60;

}  // namespace

Announcer::Announcer(boost::asio::io_context& io, const BackendOptions& options,
                     const BackendControl& control,
                     std::function<LoadReport()> current_load)
    : options_(options),
      control_(control),
      current_load_(std::move(current_load)),
      timer_(io) {
  if (options.operator_ip_port.empty()) return;
  node_ = std::make_shared<HttpClient>(
      io, ParseEndpoint(options.operator_ip_port), 1);
}

void Announcer::Start() {
  ready_at_ = std::chrono::steady_clock::now() + options_.cold_start;
  if (node_) AnnouncePeriodically();
}

void Announcer::Drain() {
  draining_ = true;
  if (node_) Announce();
}

void Announcer::AnnouncePeriodically() {
  load_history_.push_back(current_load_());
  if (load_history_.size() > kMaxLoadHistory) load_history_.pop_front();
  if (control_.announce) Announce();
  const auto until_ready =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          ready_at_ - std::chrono::steady_clock::now());
  const bool soon = until_ready.count() > 0 && until_ready < kAnnounceInterval;
  timer_.expires_after(soon ? until_ready + std::chrono::milliseconds(1)
                            : kAnnounceInterval);
  timer_.async_wait([this](boost::beast::error_code ec) {
    if (!ec) AnnouncePeriodically();
  });
}

void Announcer::Announce() {
  const LoadReport load = ReportedLoad();
  boost::beast::http::request<boost::beast::http::string_body> request;
  request.method(boost::beast::http::verb::post);
  request.target("/v1/announce");
  request.set(boost::beast::http::field::content_type, "application/json");
  request.body() = JsonObject()
                       .Add("service", options_.service)
                       .Add("address", options_.announced_address)
                       .Add("state", StateText())
                       .Add("slots", static_cast<std::int64_t>(options_.slots))
                       .Add("in_use", static_cast<std::int64_t>(load.in_use))
                       .Add("queued", static_cast<std::int64_t>(load.queued))
                       .Text();
  // Failures are ignored: the next announcement replaces a lost one.
  node_->Send(std::move(request), kAnnounceTimeout, [](const HttpOutcome&) {});
}

LoadReport Announcer::ReportedLoad() {
  if (control_.report == ReportMode::kLie) return {control_.lie_in_use, 0};
  if (control_.report == ReportMode::kTrue || load_history_.empty()) {
    return current_load_();
  }
  const auto lag = static_cast<std::size_t>(control_.report_lag.count());
  return load_history_[load_history_.size() - 1 -
                       std::min(lag, load_history_.size() - 1)];
}

std::string Announcer::StateText() const {
  if (draining_) return "draining";
  const bool ready = std::chrono::steady_clock::now() >= ready_at_;
  return ready ? "ready" : "starting";
}

}  // namespace dogwoodrail::standin
