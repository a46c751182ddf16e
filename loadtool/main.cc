// Generates open-loop load for nodes, or directly for backend servers.
#include <gflags/gflags.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <exception>
#include <map>
#include <sstream>
#include <string>

#include "loadtool/load_report.h"
#include "loadtool/load_run.h"
#include "loadtool/probe.h"
#include "standins/common/json_func.h"

DEFINE_string(mode, "load", "load, latency or connect_storm");
DEFINE_string(profile, "", "path of the load profile");
DEFINE_string(targets, "",
              "IP:port list of nodes, or SERVICE=IP:port list of backend "
              "servers for a run without nodes; separated by commas");
DEFINE_double(scale, 1, "factor for the demand of all accounts");
DEFINE_double(rate_scale, 1, "factor for the granted rates and bursts");
DEFINE_double(surge_factor, 0,
              "demand factor during the surge; 0 uses the profile");
DEFINE_string(surge_account, "",
              "account that --surge_factor applies to; all if empty");
DEFINE_int32(retries, -1, "retries per request; negative uses the profile");
DEFINE_int64(seed, -1, "random seed; negative uses the profile");
DEFINE_int32(duration_ms, 0, "duration of the run; 0 uses the profile");
DEFINE_string(direct, "", "IP:port of a backend server (latency)");
DEFINE_string(path, "/lots/1", "request target (latency, connect_storm)");
DEFINE_string(key, "", "key of a client account (latency, connect_storm)");
DEFINE_int32(calls, 3000,
             "number of call pairs (latency) or connections (connect_storm)");
DEFINE_bool(json, false, "print JSON");

namespace {

namespace loadtool = dogwoodrail::loadtool;
namespace standin = dogwoodrail::standin;

constexpr std::size_t kMaxIdleConnections = 5000;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::map<std::string, loadtool::TargetSet> ParseTargets(
    boost::asio::io_context& io) {
  std::map<std::string, loadtool::TargetSet> targets;
  std::istringstream in(FLAGS_targets);
  for (std::string it; std::getline(in, it, ',');) {
    const std::size_t separator = it.find('=');
    const bool named = separator != std::string::npos;
    const std::string service = named ? it.substr(0, separator) : "";
    targets[service].clients.push_back(std::make_shared<standin::HttpClient>(
        io, standin::ParseEndpoint(named ? it.substr(separator + 1) : it),
        kMaxIdleConnections));
  }
  return targets;
}

void ApplyFlags(loadtool::Profile* profile) {
  if (FLAGS_retries >= 0) profile->retries = FLAGS_retries;
  if (FLAGS_seed >= 0) profile->seed = static_cast<std::uint64_t>(FLAGS_seed);
  if (FLAGS_duration_ms > 0) {
    profile->duration = std::chrono::milliseconds(FLAGS_duration_ms);
  }
  for (loadtool::AccountLoad& it : profile->accounts) {
    it.demand_per_s *= FLAGS_scale;
    it.rate_per_s *= FLAGS_rate_scale;
    it.burst *= FLAGS_rate_scale;
    const bool surges =
        FLAGS_surge_account.empty() || FLAGS_surge_account == it.name;
    if (FLAGS_surge_factor > 0 && surges) it.surge_factor = FLAGS_surge_factor;
  }
}

int RunLoad() {
  auto profile = loadtool::ReadProfile(FLAGS_profile);
  if (!profile) {
    std::fprintf(stderr, "loadtool: %s\n", profile.error().detail.c_str());
    return kExitUsage;
  }
  ApplyFlags(&*profile);
  boost::asio::io_context io(1);
  loadtool::LoadRun run(io, *profile, ParseTargets(io));
  const loadtool::Report report = loadtool::MakeReport(*profile, run.Run());
  const std::string text = FLAGS_json ? loadtool::ReportJson(report) + "\n"
                                      : loadtool::ReportText(report);
  std::fputs(text.c_str(), stdout);
  return report.all.mismatched == 0 ? 0 : kExitFailed;
}

loadtool::ProbeRequest RequestFromFlags() {
  loadtool::ProbeRequest request;
  request.target = FLAGS_path;
  request.key = FLAGS_key;
  return request;
}

int RunLatency() {
  const auto stats = loadtool::ProbeLatency(
      standin::ParseEndpoint(FLAGS_direct),
      standin::ParseEndpoint(FLAGS_targets), RequestFromFlags(), FLAGS_calls);
  if (FLAGS_json) {
    const std::string json =
        standin::JsonObject()
            .AddRaw("direct", loadtool::StatsJson(stats.direct))
            .AddRaw("through_node", loadtool::StatsJson(stats.through_node))
            .Text();
    std::puts(json.c_str());
  } else {
    std::fputs(loadtool::StatsText("direct", stats.direct).c_str(), stdout);
    std::fputs(loadtool::StatsText("nodes", stats.through_node).c_str(),
               stdout);
  }
  return stats.direct.failed + stats.through_node.failed == 0 ? 0 : kExitFailed;
}

int RunConnectStorm() {
  const auto stats = loadtool::ProbeConnectStorm(
      standin::ParseEndpoint(FLAGS_targets), RequestFromFlags(), FLAGS_calls);
  const std::string text = FLAGS_json
                               ? loadtool::StatsJson(stats) + "\n"
                               : loadtool::StatsText("connections", stats);
  std::fputs(text.c_str(), stdout);
  return stats.failed == 0 ? 0 : kExitFailed;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  try {
    if (FLAGS_mode == "load") return RunLoad();
    if (FLAGS_mode == "latency") return RunLatency();
    if (FLAGS_mode == "connect_storm") return RunConnectStorm();
    std::fprintf(stderr, "loadtool: unknown mode %s\n", FLAGS_mode.c_str());
  } catch (const std::exception& e) {
    std::fprintf(stderr, "loadtool: %s\n", e.what());
  }
  return kExitUsage;
}
