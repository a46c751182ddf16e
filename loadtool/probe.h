#ifndef DOGWOODRAIL_LOADTOOL_PROBE_H_
#define DOGWOODRAIL_LOADTOOL_PROBE_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>

namespace dogwoodrail::loadtool {

// The request that a probe sends repeatedly.
struct ProbeRequest {
  std::string target;
  std::string key;
  std::chrono::milliseconds timeout{5000};
};

// Latency statistics of a series of calls.
struct ProbeStats {
  std::int64_t calls = 0;
  std::int64_t failed = 0;
  std::chrono::microseconds p50{0};
  std::chrono::microseconds p99{0};
  std::chrono::microseconds slowest{0};
};

// Latency statistics of direct calls and of calls through a node.
struct LatencyStats {
  ProbeStats direct;
  ProbeStats through_node;
};

// Alternates direct calls and calls through a node, one call at a time.
LatencyStats ProbeLatency(const boost::asio::ip::tcp::endpoint& direct,
                          const boost::asio::ip::tcp::endpoint& node,
                          const ProbeRequest& request, int pairs);

// Opens `connections` connections concurrently and sends one request on each.
ProbeStats ProbeConnectStorm(const boost::asio::ip::tcp::endpoint& server,
                             const ProbeRequest& request, int connections);

// Formats the statistics as a line of text.
std::string StatsText(const std::string& name, const ProbeStats& stats);

// Formats the statistics as JSON.
std::string StatsJson(const ProbeStats& stats);

}  // namespace dogwoodrail::loadtool

#endif  // DOGWOODRAIL_LOADTOOL_PROBE_H_
