#include "loadtool/load_run.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <utility>

#include "standins/common/request_func.h"

namespace dogwoodrail::loadtool {
namespace {

namespace http = boost::beast::http;
using std::chrono::microseconds;
using std::chrono::milliseconds;

std::string HeaderValue(const http::response<http::string_body>& response,
                        const char* name) {
  const auto value = response[name];
  return std::string(value.data(), value.size());
}

}  // namespace

standin::HttpClient& TargetSet::Next() {
  next = (next + 1) % clients.size();
  return *clients[next];
}

LoadRun::LoadRun(boost::asio::io_context& io, const Profile& profile,
                 std::map<std::string, TargetSet> targets)
    : io_(io),
      profile_(profile),
      targets_(std::move(targets)),
      random_(profile.seed) {
  record_.refusals.resize(profile.accounts.size());
}

RunRecord LoadRun::Run() {
  start_ = Clock::now();
  for (std::size_t it = 0; it < profile_.accounts.size(); ++it) {
    arrivals_.push_back(std::make_unique<ArrivalState>(io_));
    arrivals_[it]->tokens = profile_.accounts[it].burst;
    ScheduleNext(it);
  }
  io_.run();
  return std::move(record_);
}

// Generates a Poisson process by thinning: arrivals are drawn at the peak rate
// and accepted with the ratio of the current rate to the peak rate. Unlike
// drawing at the current rate, this is exact at the start and the end of the
// surge.
void LoadRun::ScheduleNext(std::size_t account) {
  const AccountLoad& load = profile_.accounts[account];
  const double peak_rate = load.demand_per_s * std::max(1.0, load.surge_factor);
  if (peak_rate <= 0) return;
  ArrivalState& arrivals = *arrivals_[account];
  while (true) {
    std::exponential_distribution<double> interval(peak_rate);
    arrivals.next +=
        microseconds(static_cast<std::int64_t>(interval(random_) * 1e6));
    const bool surge = arrivals.next >= profile_.surge_from &&
                       arrivals.next < profile_.surge_to;
    const double rate = load.demand_per_s * (surge ? load.surge_factor : 1);
    if (core::base::RandomUnit(random_) * peak_rate < rate) break;
  }
  if (arrivals.next >= profile_.duration) return;
  arrivals.timer.expires_at(start_ + arrivals.next);
  arrivals.timer.async_wait([this, account](boost::system::error_code ec) {
    if (ec) return;
    OnArrival(account);
    ScheduleNext(account);
  });
}

void LoadRun::OnArrival(std::size_t account) {
  const std::size_t route = ChooseRoute();
  RequestRecord record;
  record.account = account;
  record.route = route;
  record.due = arrivals_[account]->next;
  auto pending = std::make_shared<Pending>();
  pending->record_index = record_.requests.size();
  pending->target = profile_.routes[route].target + "/" +
                    std::to_string(pending->record_index);
  pending->body = std::string(
      static_cast<std::size_t>(profile_.routes[route].body_bytes), 'b');
  if (profile_.routes[route].method == "POST") {
    pending->idempotency_key = standin::MakeUuid7(standin::WallNow(), random_);
  }
  record_.requests.push_back(record);
  Send(pending);
}

std::size_t LoadRun::ChooseRoute() {
  double sum = 0;
  for (const RouteLoad& it : profile_.routes) sum += it.share;
  double rest = core::base::RandomUnit(random_) * sum;
  for (std::size_t it = 0; it < profile_.routes.size(); ++it) {
    rest -= profile_.routes[it].share;
    if (rest < 0) return it;
  }
  return profile_.routes.size() - 1;
}

void LoadRun::Send(const std::shared_ptr<Pending>& pending) {
  RequestRecord& record = record_.requests[pending->record_index];
  const RouteLoad& route = profile_.routes[record.route];
  http::request<http::string_body> request;
  request.method_string(route.method);
  request.target(pending->target);
  request.body() = pending->body;
  const std::string& key = profile_.accounts[record.account].key;
  if (!key.empty()) request.set(http::field::authorization, "Bearer " + key);
  if (!pending->idempotency_key.empty()) {
    request.set("Idempotency-Key", pending->idempotency_key);
  }
  ++record.calls;
  ++record_.calls;
  const bool in_rate = TryTakeToken(record.account);
  TargetsOf(route.service)
      .Next()
      .Send(std::move(request), TimeLeft(record),
            [this, pending, in_rate](const standin::HttpOutcome& outcome) {
              OnOutcome(pending, in_rate, outcome);
            });
}

// A refused or lost request is retried immediately with the same idempotency
// key until its timeout expires or no retries are left.
void LoadRun::OnOutcome(const std::shared_ptr<Pending>& pending, bool in_rate,
                        const standin::HttpOutcome& outcome) {
  RequestRecord& record = record_.requests[pending->record_index];
  record.result = Classify(*pending, outcome);
  record.latency = Now() - record.due;
  if (!outcome.ec) {
    record.attempts +=
        std::atoi(HeaderValue(outcome.response, "Dogwood-Attempts").c_str());
  }
  if (record.result == RequestResult::kCorrect) return;
  record.reason = outcome.ec ? outcome.ec.message()
                             : HeaderValue(outcome.response, "Dogwood-Reason");
  if (record.reason.empty()) {
    record.reason = "status " + std::to_string(outcome.response.result_int());
  }
  ++record_.calls_by_reason[record.reason];
  if (record.result == RequestResult::kRefused) CountRefusal(record, in_rate);
  const bool retry = record.result != RequestResult::kMismatched &&
                     record.calls <= profile_.retries &&
                     TimeLeft(record) > milliseconds(1);
  if (retry) Send(pending);
}

void LoadRun::CountRefusal(const RequestRecord& record, bool in_rate) {
  RefusalCount& count = record_.refusals[record.account];
  ++count.all;
  if (!in_rate) return;
  ++count.in_rate;
  if (record.reason.rfind("rate_", 0) == 0) ++count.in_rate_by_rate;
}

RequestResult LoadRun::Classify(const Pending& pending,
                                const standin::HttpOutcome& outcome) {
  if (outcome.ec) return RequestResult::kLost;
  const bool ok = outcome.response.result() == http::status::ok;
  if (!ok) return RequestResult::kRefused;
  const std::string digest =
      standin::RequestDigest(pending.target, pending.body);
  const bool matches =
      outcome.response.body().find(digest) != std::string::npos;
  return matches ? RequestResult::kCorrect : RequestResult::kMismatched;
}

bool LoadRun::TryTakeToken(std::size_t account) {
  const AccountLoad& load = profile_.accounts[account];
  ArrivalState& arrivals = *arrivals_[account];
  const microseconds now = Now();
  const std::chrono::duration<double> elapsed = now - arrivals.last_refill;
  arrivals.last_refill = now;
  arrivals.tokens =
      std::min(load.burst, arrivals.tokens + elapsed.count() * load.rate_per_s);
  if (arrivals.tokens < 1) return false;
  arrivals.tokens -= 1;
  return true;
}

TargetSet& LoadRun::TargetsOf(const std::string& service) {
  const auto it = targets_.find(service);
  return it == targets_.end() ? targets_.at("") : it->second;
}

microseconds LoadRun::Now() const {
  return std::chrono::duration_cast<microseconds>(Clock::now() - start_);
}

milliseconds LoadRun::TimeLeft(const RequestRecord& record) const {
  const auto left = std::chrono::duration_cast<milliseconds>(
      record.due + profile_.timeout - Now());
  return std::max(left, milliseconds(1));
}

}  // namespace dogwoodrail::loadtool
