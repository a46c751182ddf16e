#ifndef DOGWOODRAIL_LOADTOOL_PROFILE_TYPE_H_
#define DOGWOODRAIL_LOADTOOL_PROFILE_TYPE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/base/error_type.h"

namespace dogwoodrail::loadtool {

// A client account and its offered load.
struct AccountLoad {
  std::string name;
  std::string key;
  double demand_per_s = 0;  // offered load outside the surge
  double surge_factor = 1;  // multiplies the demand during the surge
  double rate_per_s = 0;    // set by the ticket; to count in-rate refusals
  double burst = 0;
};

// A type of request and its share of the load.
struct RouteLoad {
  std::string name;
  std::string service;  // selects the target in a run without nodes
  std::string method;
  std::string target;
  std::string importance;  // to group the report
  double share = 0;        // relative weight among an account's requests
  int body_bytes = 0;
};

// Load profile of a run.
struct Profile {
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{10000};
  std::chrono::milliseconds warmup{1000};  // excluded from the report
  std::chrono::milliseconds surge_from{0};
  std::chrono::milliseconds surge_to{0};
  std::chrono::milliseconds timeout{3000};  // per request, including retries
  int retries = 0;                          // by the caller, without backoff
  std::vector<AccountLoad> accounts;
  std::vector<RouteLoad> routes;
};

// Reads a profile file.
core::base::Result<Profile> ReadProfile(const std::string& path);

}  // namespace dogwoodrail::loadtool

#endif  // DOGWOODRAIL_LOADTOOL_PROFILE_TYPE_H_
