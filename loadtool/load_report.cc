#include "loadtool/load_report.h"

#include <algorithm>
#include <functional>
#include <numeric>

namespace dogwoodrail::loadtool {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kRecoveryBucket{250};
constexpr double kRecoveredShare = 0.95;

// Builds group reports and collects the latencies of correct responses.
class GroupBuilder {
 public:
  void Add(const std::string& name, const RequestRecord& record) {
    const auto [it, added] = indices_.emplace(name, groups_.size());
    if (added) {
      groups_.emplace_back();
      groups_.back().name = name;
      latencies_.emplace_back();
    }
    GroupReport& group = groups_[it->second];
    ++group.sent;
    if (record.result == RequestResult::kCorrect) {
      ++group.correct;
      latencies_[it->second].push_back(record.latency);
    }
    group.mismatched += record.result == RequestResult::kMismatched ? 1 : 0;
    group.refused += record.result == RequestResult::kRefused ? 1 : 0;
    group.lost += record.result == RequestResult::kLost ? 1 : 0;
  }

  std::vector<GroupReport> Finish() {
    for (std::size_t it = 0; it < groups_.size(); ++it) {
      groups_[it].p50 = Quantile(latencies_[it], 0.5);
      groups_[it].p99 = Quantile(latencies_[it], 0.99);
    }
    return std::move(groups_);
  }

 private:
  std::map<std::string, std::size_t> indices_;
  std::vector<GroupReport> groups_;
  std::vector<std::vector<microseconds>> latencies_;
};

std::vector<GroupReport> GroupBy(
    const std::vector<RequestRecord>& requests,
    const std::function<std::string(const RequestRecord&)>& name) {
  GroupBuilder groups;
  for (const RequestRecord& it : requests) groups.Add(name(it), it);
  return groups.Finish();
}

// Returns the max-min fair shares of `capacity`: each demand is met or gets an
// equal share of the remainder.
std::vector<double> MaxMinFairShares(const std::vector<double>& demands,
                                     double capacity) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&demands](auto a, auto b) { return demands[a] < demands[b]; });
  std::vector<double> fair_shares(demands.size());
  std::size_t left = demands.size();
  for (const std::size_t it : order) {
    fair_shares[it] =
        std::min(demands[it], capacity / static_cast<double>(left));
    capacity -= fair_shares[it];
    --left;
  }
  return fair_shares;
}

// The demand of an account is capped by its granted rate and burst.
void FindWorstAccount(const Profile& profile, double seconds, Report* report) {
  std::vector<double> demands;
  for (const GroupReport& it : report->accounts) {
    const auto account = std::find_if(
        profile.accounts.begin(), profile.accounts.end(),
        [&it](const AccountLoad& load) { return load.name == it.name; });
    const double granted = account->rate_per_s * seconds + account->burst;
    demands.push_back(std::min(static_cast<double>(it.sent), granted));
  }
  const auto fair_shares =
      MaxMinFairShares(demands, static_cast<double>(report->all.correct));
  report->worst_account_share = 1;
  for (std::size_t it = 0; it < fair_shares.size(); ++it) {
    if (fair_shares[it] <= 0) continue;
    const double share =
        static_cast<double>(report->accounts[it].correct) / fair_shares[it];
    if (share >= report->worst_account_share) continue;
    report->worst_account_share = share;
    report->worst_account = report->accounts[it].name;
  }
}

// Requests are assigned to buckets by arrival time: by response time, a late
// response would hide a period of poor service.
milliseconds FindRecovery(const Profile& profile,
                          const std::vector<RequestRecord>& requests) {
  if (profile.surge_to <= profile.surge_from) return milliseconds(-1);
  GroupReport before;
  std::map<std::int64_t, GroupReport> after;
  for (const RequestRecord& it : requests) {
    const bool before_surge = it.due < profile.surge_from;
    if (!before_surge && it.due < profile.surge_to) continue;
    const auto bucket = (it.due - profile.surge_to) / kRecoveryBucket;
    GroupReport& group = before_surge ? before : after[bucket];
    ++group.sent;
    group.correct += it.result == RequestResult::kCorrect ? 1 : 0;
  }
  const double threshold = before.CorrectShare() * kRecoveredShare;
  std::int64_t recovered_from = 0;
  for (const auto& [bucket, group] : after) {
    if (group.CorrectShare() < threshold) recovered_from = bucket + 1;
  }
  const auto recovery = recovered_from * kRecoveryBucket;
  const bool recovered = profile.surge_to + recovery < profile.duration;
  return recovered ? recovery : milliseconds(-1);
}

void CountAttempts(const std::vector<RequestRecord>& requests, Report* report) {
  std::int64_t attempts = 0;
  std::int64_t calls = 0;
  for (const RequestRecord& it : requests) {
    attempts += it.attempts;
    calls += it.calls;
    report->most_attempts = std::max(report->most_attempts, it.attempts);
  }
  const auto count =
      static_cast<double>(std::max<std::size_t>(1, requests.size()));
  report->attempts_per_request = static_cast<double>(attempts) / count;
  report->calls_per_request = static_cast<double>(calls) / count;
}

}  // namespace

double GroupReport::CorrectShare() const {
  return sent == 0 ? 1
                   : static_cast<double>(correct) / static_cast<double>(sent);
}

microseconds Quantile(std::vector<microseconds> values, double share) {
  if (values.empty()) return microseconds(0);
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  const auto it = values.begin() + static_cast<std::ptrdiff_t>(index);
  std::nth_element(values.begin(), it, values.end());
  return *it;
}

Report MakeReport(const Profile& profile, const RunRecord& run) {
  std::vector<RequestRecord> requests;
  for (const RequestRecord& it : run.requests) {
    if (it.due >= profile.warmup) requests.push_back(it);
  }
  Report report;
  const auto all = GroupBy(
      requests, [](const RequestRecord&) { return std::string("all"); });
  if (!all.empty()) report.all = all.front();
  report.seconds = GroupBy(requests, [](const RequestRecord& it) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(it.due);
    return std::to_string(second.count());
  });
  report.accounts = GroupBy(requests, [&profile](const RequestRecord& it) {
    return profile.accounts[it.account].name;
  });
  report.importances = GroupBy(requests, [&profile](const RequestRecord& it) {
    return profile.routes[it.route].importance;
  });
  report.account_routes =
      GroupBy(requests, [&profile](const RequestRecord& it) {
        return profile.accounts[it.account].name + " " +
               profile.routes[it.route].name;
      });
  const std::chrono::duration<double> measured =
      profile.duration - profile.warmup;
  report.goodput_per_s =
      static_cast<double>(report.all.correct) / measured.count();
  report.refusals = run.refusals;
  report.calls_by_reason = run.calls_by_reason;
  CountAttempts(requests, &report);
  FindWorstAccount(profile, measured.count(), &report);
  report.recovery = FindRecovery(profile, requests);
  return report;
}

}  // namespace dogwoodrail::loadtool
