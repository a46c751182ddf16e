#ifndef DOGWOODRAIL_SOAK_CHECKER_H_
#define DOGWOODRAIL_SOAK_CHECKER_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "soak/fault_type.h"

namespace dogwoodrail::soak {

// One request of a caller and what came back.
struct RequestRecord {
  std::string target;  // unique
  std::size_t vm = 0;  // whose node took it
  bool idempotent = false;
  bool withdrawn_key = false;  // its key was withdrawn long before
  bool sent = false;           // the whole request was sent
  int status = 0;
  bool complete = false;    // status line and whole body
  bool not_run = false;     // the answer says that the request has not run
  bool right_body = false;  // the body is that of this request
  std::chrono::milliseconds started_at{0};  // since the start of the run
  std::chrono::milliseconds sent_at{0};
  std::chrono::milliseconds ended_at{0};
};

// How often each request has run.
struct RunCounts {
  std::map<std::string, std::size_t> by_target;
  // Target of the request that crashes each backend server which begins to run
  // it; all of its copies have it.
  std::string crash_target;

  // Number of runs of a request.
  std::size_t Of(const std::string& target) const;
};

// A promise that was broken.
struct Broken {
  std::string promise;
  std::string detail;
};

// Returns the promises that the records break.
std::vector<Broken> FindBroken(const std::vector<RequestRecord>& records,
                               const RunCounts& runs,
                               const std::vector<Disruption>& disruptions);

}  // namespace dogwoodrail::soak

#endif  // DOGWOODRAIL_SOAK_CHECKER_H_
