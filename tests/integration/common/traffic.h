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

// One request of the traffic and what became of it.
struct TrafficRecord {
  RawRequest request;
  RawResponse response;
  bool sent = false;  // false if no connection could be made
  std::chrono::milliseconds started_at{0};  // after the start of the traffic
  std::chrono::milliseconds elapsed{0};
};

// What the callers of a traffic send.
struct TrafficSpec {
  std::vector<std::uint16_t> ports;  // of nodes; callers are spread over them
  int callers = 8;
  std::string method = "GET";
  std::string prefix = "/lots";        // each request adds a number of its own
  std::chrono::milliseconds pause{2};  // between two requests of a caller
};

// Callers that send requests one after another on kept-alive connections, until
// the traffic is stopped.
class Traffic {
 public:
  explicit Traffic(TrafficSpec spec);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Ends the callers after their request under way; returns all records.
  std::vector<TrafficRecord> Stop();
  // Waits until so many requests that began since a time have ended; false if
  // they have not within the timeout.
  bool WaitForRequests(std::size_t count, std::chrono::milliseconds since,
                       std::chrono::milliseconds timeout);
  // Time since the start.
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

// Returns what was violated of the promises that hold under any fault: each
// request gets a definite and whole answer in time, a 200 is its own, a "not
// run" is true, no idempotency key runs twice, and no backend server sees a
// key.
std::vector<std::string> FindViolations(
    const Fleet& fleet, const std::vector<TrafficRecord>& records);

// Number of right answers among the requests begun since a time.
std::size_t CountExpectedResponses(const std::vector<TrafficRecord>& records,
                                   std::chrono::milliseconds since);
// Number of requests begun since a time.
std::size_t CountSent(const std::vector<TrafficRecord>& records,
                      std::chrono::milliseconds since);

// Describes a record for the messages of tests.
std::string Describe(const TrafficRecord& record);

}  // namespace dogwoodrail::integration

#endif  // DOGWOODRAIL_TESTS_INTEGRATION_COMMON_TRAFFIC_H_
