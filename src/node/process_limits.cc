#include "node/process_limits.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>

namespace dogwoodrail::node {
namespace {

using core::base::Duration;
using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;
using core::stop::StopSettings;

constexpr std::chrono::hours kMaxKillAfter(1);
constexpr double kMegabyte = 1e6;
// Time between the end of a shutdown and the kill, for a process that gets
// little processor time.
constexpr Duration kKillReserve = std::chrono::milliseconds(500);
// The reserve of a short time until the kill is this part of it.
constexpr int kKillReserveDivisor = 12;
// Longest parts of a shutdown until the other nodes are notified and until
// connections are closed, in tenths, and that in which calls are still served.
constexpr int kMaxStepTenths = 4;
constexpr int kTenths = 10;

// Parses a positive number that spans the entire text; empty for an empty text.
Result<std::optional<double>> ParsePositive(const char* flag,
                                            const std::string& text,
                                            double max) {
  if (text.empty()) return std::optional<double>();
  double value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  const bool valid = read.ec == std::errc() && read.ptr == end &&
                     std::isfinite(value) && value > 0 && value <= max;
  if (valid) return std::optional<double>(value);
  return MakeError(
      ErrorCode::kInvalidArgument,
      "--" + std::string(flag) + " is no number above 0: '" + text + "'");
}

// Fits a shutdown into the time until the process is killed. What comes before
// the deadline keeps its share of a time that is shorter.
void LimitShutdown(StopSettings& steps, Duration kill_after) {
  steps.deadline =
      kill_after - std::min(kKillReserve, kill_after / kKillReserveDivisor);
  const Duration longest = steps.deadline * kMaxStepTenths / kTenths;
  steps.idle_grace = std::min(steps.idle_grace, longest);
  steps.leave_after = std::min(steps.leave_after, longest);
  steps.serve_grace = std::min(steps.serve_grace, steps.deadline / kTenths);
}

}  // namespace

Result<ProcessLimits> ParseProcessLimits(const std::string& kill_after_s,
                                         const std::string& memory_mb) {
  ProcessLimits limits;
  const std::chrono::duration<double> longest = kMaxKillAfter;
  const auto seconds =
      ParsePositive("kill_after_s", kill_after_s, longest.count());
  if (!seconds) return tl::make_unexpected(seconds.error());
  if (*seconds) {
    limits.kill_after = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(**seconds));
  }
  const auto megabytes =
      ParsePositive("memory_mb", memory_mb, kMaxMemoryBytes / kMegabyte);
  if (!megabytes) return tl::make_unexpected(megabytes.error());
  if (*megabytes) {
    limits.memory_bytes = std::max(
        kMinMemoryBytes, static_cast<std::size_t>(**megabytes * kMegabyte));
  }
  return limits;
}

Settings WithLimits(Settings settings, const ProcessLimits& limits) {
  if (limits.kill_after) {
    LimitShutdown(settings.shutdown.steps, *limits.kill_after);
  }
  if (limits.memory_bytes) {
    settings.identity.memory_bytes = *limits.memory_bytes;
  }
  return settings;
}

}  // namespace dogwoodrail::node
