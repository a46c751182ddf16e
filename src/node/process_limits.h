#ifndef DOGWOODRAIL_NODE_PROCESS_LIMITS_H_
#define DOGWOODRAIL_NODE_PROCESS_LIMITS_H_

#include <cstddef>
#include <optional>
#include <string>

#include "core/base/error_type.h"
#include "core/base/time_type.h"
#include "node/settings_type.h"

namespace dogwoodrail::node {

// Limits that the environment sets for a process, from the command line. They
// go before the settings file.
struct ProcessLimits {
  // Time from the signal to stop until the process is killed.
  std::optional<core::base::Duration> kill_after;
  // Memory above which the process is killed.
  std::optional<std::size_t> memory_bytes;
};

// Parses the limits from the values of their flags: seconds and megabytes,
// possibly with a fraction. An empty value leaves a limit out.
core::base::Result<ProcessLimits> ParseProcessLimits(
    const std::string& kill_after_s, const std::string& memory_mb);

// Returns the settings within the limits.
Settings WithLimits(Settings settings, const ProcessLimits& limits);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_PROCESS_LIMITS_H_
