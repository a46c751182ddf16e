#ifndef DOGWOODRAIL_LOADTOOL_RECORD_TYPE_H_
#define DOGWOODRAIL_LOADTOOL_RECORD_TYPE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dogwoodrail::loadtool {

// Final result of a request as seen by its caller.
enum class RequestResult {
  kPending,     // no response before the end of the run
  kCorrect,     // a complete response to this request, in time
  kMismatched,  // a response to another request
  kRefused,     // a refusal or an error status
  kLost,        // no complete response in time
};

// One request with all calls (the first try and the retries) of its caller.
struct RequestRecord {
  std::size_t account = 0;           // index in the profile
  std::size_t route = 0;             // index in the profile
  std::chrono::microseconds due{0};  // arrival time since the start
  std::chrono::microseconds latency{0};
  RequestResult result = RequestResult::kPending;
  std::string reason;  // of the last failed call
  int calls = 0;       // calls sent by the caller
  int attempts = 0;    // sum over all calls, as reported by the nodes
};

// Number of refused calls of an account.
struct RefusalCount {
  std::int64_t all = 0;
  std::int64_t in_rate = 0;          // although within the account's rate
  std::int64_t in_rate_by_rate = 0;  // those refused because of the rate
};

// Results of a run, including the warm-up.
struct RunRecord {
  std::vector<RequestRecord> requests;
  std::vector<RefusalCount> refusals;  // by account
  std::map<std::string, std::int64_t> calls_by_reason;
  std::int64_t calls = 0;
};

}  // namespace dogwoodrail::loadtool

#endif  // DOGWOODRAIL_LOADTOOL_RECORD_TYPE_H_
