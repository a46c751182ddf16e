#include "loadtool/probe.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <functional>
#include <memory>
#include <vector>

#include "loadtool/load_report.h"
#include "standins/common/http_client.h"
#include "standins/common/json_func.h"
#include "standins/common/request_func.h"

namespace dogwoodrail::loadtool {
namespace {

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

constexpr int kWarmupPairs = 200;
constexpr double kMicrosecondsPerMs = 1000;

http::request<http::string_body> MakeRequest(const ProbeRequest& probe) {
  http::request<http::string_body> request;
  request.method(http::verb::get);
  request.target(probe.target);
  if (!probe.key.empty()) {
    request.set(http::field::authorization, "Bearer " + probe.key);
  }
  return request;
}

bool IsCorrect(const ProbeRequest& probe, const standin::HttpOutcome& outcome) {
  const std::string digest = standin::RequestDigest(probe.target, "");
  return !outcome.ec && outcome.response.result() == http::status::ok &&
         outcome.response.body().find(digest) != std::string::npos;
}

// Samples collected by a probe.
struct Samples {
  std::vector<microseconds> latencies;
  std::int64_t failed = 0;

  ProbeStats ToStats() const {
    ProbeStats stats;
    stats.calls = static_cast<std::int64_t>(latencies.size()) + failed;
    stats.failed = failed;
    stats.p50 = Quantile(latencies, 0.5);
    stats.p99 = Quantile(latencies, 0.99);
    stats.slowest = Quantile(latencies, 1);
    return stats;
  }
};

void SendTimed(standin::HttpClient& client, const ProbeRequest& probe,
               Samples* samples, std::function<void()> on_done) {
  const auto begin = Clock::now();
  client.Send(
      MakeRequest(probe), probe.timeout,
      [=, on_done = std::move(on_done)](const standin::HttpOutcome& outcome) {
        if (IsCorrect(probe, outcome)) {
          samples->latencies.push_back(
              std::chrono::duration_cast<microseconds>(Clock::now() - begin));
        } else {
          ++samples->failed;
        }
        on_done();
      });
}

double ToMs(microseconds time) {
  return static_cast<double>(time.count()) / kMicrosecondsPerMs;
}

}  // namespace

LatencyStats ProbeLatency(const boost::asio::ip::tcp::endpoint& direct,
                          const boost::asio::ip::tcp::endpoint& node,
                          const ProbeRequest& request, int pairs) {
  boost::asio::io_context io(1);
  const auto direct_client =
      std::make_shared<standin::HttpClient>(io, direct, 1);
  const auto node_client = std::make_shared<standin::HttpClient>(io, node, 1);
  Samples direct_samples;
  Samples node_samples;
  int left = pairs + kWarmupPairs;
  std::function<void()> next = [&] {
    if (left == pairs) direct_samples = node_samples = Samples();
    if (left-- == 0) return;
    SendTimed(*direct_client, request, &direct_samples,
              [&] { SendTimed(*node_client, request, &node_samples, next); });
  };
  next();
  io.run();
  return {direct_samples.ToStats(), node_samples.ToStats()};
}

ProbeStats ProbeConnectStorm(const boost::asio::ip::tcp::endpoint& server,
                             const ProbeRequest& request, int connections) {
  boost::asio::io_context io(1);
  const auto client = std::make_shared<standin::HttpClient>(io, server, 0);
  Samples samples;
  for (int it = 0; it < connections; ++it) {
    SendTimed(*client, request, &samples, [] {});
  }
  io.run();
  return samples.ToStats();
}

std::string StatsText(const std::string& name, const ProbeStats& stats) {
  char buf[200];
  std::snprintf(buf, sizeof(buf),
                "%-14s %8ld calls %6ld failed  p50 %8.3f ms  p99 %8.3f ms  "
                "slowest %8.3f ms\n",
                name.c_str(), stats.calls, stats.failed, ToMs(stats.p50),
                ToMs(stats.p99), ToMs(stats.slowest));
  return buf;
}

std::string StatsJson(const ProbeStats& stats) {
  return standin::JsonObject()
      .Add("calls", stats.calls)
      .Add("failed", stats.failed)
      .Add("p50_ms", ToMs(stats.p50))
      .Add("p99_ms", ToMs(stats.p99))
      .Add("slowest_ms", ToMs(stats.slowest))
      .Text();
}

}  // namespace dogwoodrail::loadtool
