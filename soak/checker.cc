#include "soak/checker.h"

#include <algorithm>

namespace dogwoodrail::soak {
namespace {

using std::chrono::milliseconds;

// A request that crosses the close of its connection was not read.
constexpr milliseconds kCrossingTime{200};
// Three crashes, and as many runs until the last node knows of them.
constexpr std::size_t kMaxCrashRuns = 6;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

bool IsSuccess(const RequestRecord& record) {
  return record.complete && record.status >= kFirstSuccess &&
         record.status < kFirstRedirect;
}

bool IsDisrupted(const RequestRecord& record, bool killed,
                 const std::vector<Disruption>& disruptions) {
  return std::any_of(disruptions.begin(), disruptions.end(),
                     [&record, killed](const Disruption& it) {
                       return it.vm == record.vm && it.killed == killed &&
                              it.begin <= record.ended_at &&
                              it.end >= record.started_at;
                     });
}

// A paused node may leave a request unread in the socket, so that only a run
// shows that it was read.
bool IsLost(const RequestRecord& record, std::size_t runs,
            const std::vector<Disruption>& disruptions) {
  if (!record.sent || record.complete) return false;
  if (IsDisrupted(record, true, disruptions)) return false;
  if (runs > 0) return true;
  const bool crossed = record.ended_at - record.sent_at <= kCrossingTime;
  return !crossed && !IsDisrupted(record, false, disruptions);
}

std::string Describe(const RequestRecord& record, std::size_t runs) {
  return record.target + " at node " + std::to_string(record.vm) + ", from " +
         std::to_string(record.started_at.count()) + " to " +
         std::to_string(record.ended_at.count()) + " ms, status " +
         std::to_string(record.status) +
         (record.complete ? "" : " (incomplete)") + ", runs " +
         std::to_string(runs);
}

}  // namespace

std::size_t RunCounts::Of(const std::string& target) const {
  const auto it = by_target.find(target);
  return it == by_target.end() ? 0 : it->second;
}

std::vector<Broken> FindBroken(const std::vector<RequestRecord>& records,
                               const RunCounts& runs,
                               const std::vector<Disruption>& disruptions) {
  std::vector<Broken> broken;
  const std::size_t crashes = runs.Of(runs.crash_target);
  if (crashes > kMaxCrashRuns) {
    broken.push_back({"a request that crashes backend servers is stopped",
                      std::to_string(crashes) + " runs"});
  }
  for (const RequestRecord& it : records) {
    const std::size_t count = runs.Of(it.target);
    const auto add = [&broken, &it, count](const char* promise) {
      broken.push_back({promise, Describe(it, count)});
    };
    if (IsLost(it, count, disruptions)) {
      add("a request that was read whole gets a final answer");
    }
    if (!it.idempotent && count > 1) {
      add("a non-idempotent request runs at most once");
    }
    if (it.complete && it.not_run && count > 0) {
      add("a request answered as not run has not run");
    }
    if (it.withdrawn_key && count > 0) {
      add("a withdrawn key runs nothing");
    }
    if (IsSuccess(it) && !it.right_body) {
      add("a 2xx is the whole right body");
    }
  }
  return broken;
}

}  // namespace dogwoodrail::soak
