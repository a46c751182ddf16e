#include "tests/integration/common/traffic.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace dogwoodrail::integration {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Longer than the timeout of the routes, so that a node which responds after it
// is detected.
constexpr std::chrono::seconds kResponseTimeout{5};
constexpr milliseconds kReconnectPause{20};

milliseconds ElapsedSince(Clock::time_point begin) {
  return std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
}

// Number of executions by target and by idempotency key.
struct ExecutionCounts {
  std::map<std::string, int> by_target;
  std::map<std::string, int> by_key;
};

ExecutionCounts CountExecutionsByTargetAndKey(
    const std::vector<ExecutionRecord>& lines) {
  ExecutionCounts counts;
  for (const ExecutionRecord& it : lines) {
    ++counts.by_target[it.target];
    if (!it.idempotency_key.empty()) ++counts.by_key[it.idempotency_key];
  }
  return counts;
}

// Describes what is wrong with a response; empty if it is valid.
std::string FindResponseError(const TrafficRecord& record,
                              const ExecutionCounts& counts) {
  const RawResponse& response = record.response;
  if (!response.complete) return "no complete response";
  if (response.status == 200) {
    const bool expected = IsExpectedResponse(response, record.request);
    return expected ? "" : "response to another request";
  }
  if (response.JsonMember("reason").empty()) return "no reason";
  const auto it = counts.by_target.find(record.request.target);
  const int executions = it == counts.by_target.end() ? 0 : it->second;
  const bool untrue =
      response.Header("Dogwood-Ran") == "not run" && executions > 0;
  return untrue ? "reported as not run but executed" : "";
}

}  // namespace

Traffic::Traffic(TrafficSpec spec)
    : spec_(std::move(spec)), start_(Clock::now()) {
  for (int it = 0; it < spec_.callers; ++it) {
    callers_.emplace_back([this, it] { RunCaller(it); });
  }
}

Traffic::~Traffic() { Stop(); }

std::vector<TrafficRecord> Traffic::Stop() {
  stopping_ = true;
  for (std::thread& it : callers_) it.join();
  callers_.clear();
  return std::move(records_);
}

bool Traffic::WaitForRequests(std::size_t count, milliseconds since,
                              milliseconds timeout) {
  return WaitUntil(timeout, [this, count, since] {
    const std::lock_guard<std::mutex> lock(mutex_);
    return CountSent(records_, since) >= count;
  });
}

milliseconds Traffic::Now() const { return ElapsedSince(start_); }

// As HTTP requires, a connection is not reused after a response with
// "Connection: close".
void Traffic::RunCaller(int caller) {
  const std::uint16_t port =
      spec_.ports[static_cast<std::size_t>(caller) % spec_.ports.size()];
  const std::string account = caller % 2 == 0 ? "stitchers" : "traders";
  std::unique_ptr<RawConnection> connection;
  for (int n = 0; !stopping_; ++n) {
    if (!connection) connection = std::make_unique<RawConnection>(port);
    TrafficRecord record;
    const std::string target =
        spec_.prefix + "/" + std::to_string(caller) + "." + std::to_string(n);
    const std::string body = spec_.method == "POST" ? "body of " + target : "";
    record.request = MakeRequest(spec_.method, target, account, body);
    record.started_at = Now();
    const auto begin = Clock::now();
    record.sent =
        connection->IsOpen() && connection->Send(record.request.Serialize());
    if (record.sent) {
      record.response = connection->ReadResponse(kResponseTimeout);
    }
    record.elapsed = ElapsedSince(begin);
    const bool reusable = record.response.complete && !record.response.closed &&
                          record.response.Header("Connection") != "close";
    if (!reusable) connection.reset();
    const bool sent = record.sent;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      records_.push_back(std::move(record));
    }
    std::this_thread::sleep_for(sent ? spec_.pause : kReconnectPause);
  }
}

std::vector<std::string> FindViolations(
    const Fleet& fleet, const std::vector<TrafficRecord>& records) {
  const std::vector<ExecutionRecord> lines = fleet.Executions();
  const ExecutionCounts counts = CountExecutionsByTargetAndKey(lines);
  std::vector<std::string> violations;
  for (const TrafficRecord& it : records) {
    if (!it.sent) continue;
    const std::string wrong = FindResponseError(it, counts);
    if (!wrong.empty()) violations.push_back(wrong + ": " + Describe(it));
  }
  for (const auto& [key, executions] : counts.by_key) {
    if (executions <= 1) continue;
    violations.push_back("executed " + std::to_string(executions) +
                         " times: idempotency key " + key);
  }
  for (const ExecutionRecord& it : lines) {
    if (it.leak.empty()) continue;
    violations.push_back("API key reached a backend server: " + it.target);
  }
  return violations;
}

std::size_t CountExpectedResponses(const std::vector<TrafficRecord>& records,
                                   milliseconds since) {
  return static_cast<std::size_t>(std::count_if(
      records.begin(), records.end(), [since](const TrafficRecord& it) {
        return it.started_at >= since &&
               IsExpectedResponse(it.response, it.request);
      }));
}

std::size_t CountSent(const std::vector<TrafficRecord>& records,
                      milliseconds since) {
  return static_cast<std::size_t>(std::count_if(
      records.begin(), records.end(),
      [since](const TrafficRecord& it) { return it.started_at >= since; }));
}

std::string Describe(const TrafficRecord& record) {
  const RawResponse& response = record.response;
  return record.request.method + " " + record.request.target + " started at " +
         std::to_string(record.started_at.count()) + " ms, took " +
         std::to_string(record.elapsed.count()) + " ms, status " +
         std::to_string(response.status) + ", reason " +
         response.Header("Dogwood-Reason") + ", ran " +
         response.Header("Dogwood-Ran") +
         (response.complete ? "" : ", incomplete") +
         (response.closed ? ", closed" : "");
}

}  // namespace dogwoodrail::integration
