#ifndef DOGWOODRAIL_LOADTOOL_LOAD_REPORT_H_
#define DOGWOODRAIL_LOADTOOL_LOAD_REPORT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "loadtool/profile_type.h"
#include "loadtool/record_type.h"

namespace dogwoodrail::loadtool {

// Requests of a group by result, with latency percentiles.
struct GroupReport {
  std::string name;
  std::int64_t sent = 0;
  std::int64_t correct = 0;
  std::int64_t mismatched = 0;
  std::int64_t refused = 0;
  std::int64_t lost = 0;
  std::chrono::microseconds p50{0};  // of correct responses
  std::chrono::microseconds p99{0};

  // Returns the fraction of requests with a correct response.
  double CorrectShare() const;
};

// Statistics of a run, excluding the warm-up except in `refusals` and
// `calls_by_reason`.
struct Report {
  GroupReport all;
  std::vector<GroupReport> seconds;
  std::vector<GroupReport> accounts;
  std::vector<GroupReport> importances;
  std::vector<GroupReport> account_routes;  // "account route"
  std::vector<RefusalCount> refusals;       // by account
  std::map<std::string, std::int64_t> calls_by_reason;
  double goodput_per_s = 0;
  double calls_per_request = 0;
  double attempts_per_request = 0;
  int most_attempts = 0;
  // Correct responses of the worst-served account as a fraction of its max-min
  // fair share of all correct responses, where its demand is capped by its
  // rate.
  double worst_account_share = 0;
  std::string worst_account;
  // Time from the end of the surge until the fraction of correct responses, by
  // arrival time, stays near its value before the surge (at least 95 % of it).
  // Negative if the run ended before or the profile has no surge.
  std::chrono::milliseconds recovery{-1};
};

// Computes the statistics of a run.
Report MakeReport(const Profile& profile, const RunRecord& run);

// Formats the report as text tables.
std::string ReportText(const Report& report);

// Formats the report as JSON.
std::string ReportJson(const Report& report);

// Returns the `share` quantile of `values`, or 0 if there are none.
std::chrono::microseconds Quantile(
    std::vector<std::chrono::microseconds> values, double share);

}  // namespace dogwoodrail::loadtool

#endif  // DOGWOODRAIL_LOADTOOL_LOAD_REPORT_H_
