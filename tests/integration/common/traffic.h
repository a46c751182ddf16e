#ifndef DOGWOODRAIL_TESTS_INTEGRATION_COMMON_TRAFFIC_H_
#define DOGWOODRAIL_TESTS_INTEGRATION_COMMON_TRAFFIC_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/common/fleet.h"

namespace dogwoodrail::integration {

// One request of the traffic and its response.
struct TrafficRecord {
  RawRequest request;
  RawResponse response;
  bool sent = false;  // false if the request could not be sent
  std::chrono::milliseconds started_at{0};  // since the start of the traffic
  std::chrono::milliseconds elapsed{0};
};

// Configuration of the traffic.
struct TrafficSpec {
  std::vector<std::uint16_t> ports;  // of nodes; assigned to callers in turn
  int callers = 8;
  std::string method = "GET";
  std::string prefix = "/lots";        // a unique suffix is added per request
  std::chrono::milliseconds pause{2};  // between requests of one caller
};

// Runs callers in threads of their own. Each sends requests one after another
// on a keep-alive connection until the traffic is stopped.
class Traffic {
 public:
  explicit Traffic(TrafficSpec spec);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Stops the callers once their current request has ended; returns all
  // records.
  std::vector<TrafficRecord> Stop();
  // Waits until `count` requests that started at or after `since` have ended;
  // false if the timeout passes first.
  bool WaitForRequests(std::size_t count, std::chrono::milliseconds since,
                       std::chrono::milliseconds timeout);
  // Time since the start of the traffic.
  std::chrono::milliseconds Now() const;

 private:
  void RunCaller(int caller);

  TrafficSpec spec_;
  std::chrono::steady_clock::time_point start_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<TrafficRecord> records_;
  std::vector<std::thread> callers_;
};

// Returns the violations of the guarantees that hold under any fault: each
// request gets a complete response with a reason in time, a 200 belongs to its
// request, a request reported as "not run" was not executed, no idempotency key
// is executed twice, and no backend server receives an API key.
std::vector<std::string> FindViolations(
    const Fleet& fleet, const std::vector<TrafficRecord>& records);

// Number of requests started at or after `since` with the expected response.
std::size_t CountExpectedResponses(const std::vector<TrafficRecord>& records,
                                   std::chrono::milliseconds since);
// Number of requests started at or after `since`.
std::size_t CountSent(const std::vector<TrafficRecord>& records,
                      std::chrono::milliseconds since);

// Formats a record for test messages.
std::string Describe(const TrafficRecord& record);

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_COMMON_TRAFFIC_H_
