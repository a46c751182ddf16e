#ifndef DOGWOODRAIL_STANDINS_FAULTPROXY_FAULT_TYPE_H_
#define DOGWOODRAIL_STANDINS_FAULTPROXY_FAULT_TYPE_H_

#include <chrono>
#include <cstdint>

#include "core/base/random_type.h"

namespace dogwoodrail::standin {

// Direction of relayed data.
enum class Direction { kToTarget, kToCaller };

// Active faults, shared by all connections of the proxy. An integer is the
// number of times the fault is still to be injected.
struct FaultState {
  std::chrono::microseconds delay{0};
  bool silence_to_target = false;
  bool silence_to_caller = false;
  int drop_answers = 0;  // close instead of relaying data to the caller
  int corrupt = 0;       // alter one byte of a chunk or datagram
  int truncate = 0;      // send half of a chunk to the caller, then close
  double loss = 0;       // fraction of datagrams dropped
  core::base::Random random;
};

// Counters of the proxy since the process started.
struct FaultCounts {
  std::int64_t accepted = 0;
  std::int64_t bytes_to_target = 0;
  std::int64_t bytes_to_caller = 0;
  std::int64_t faults = 0;
};

}  // namespace dogwoodrail::standin

#endif  // DOGWOODRAIL_STANDINS_FAULTPROXY_FAULT_TYPE_H_
