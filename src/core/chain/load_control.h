#ifndef DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_
#define DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_

#include <cstddef>
#include <cstdint>

#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// Load of one backend server at a moment.
struct LoadSample {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  std::uint64_t refused = 0;  // for want of room, since the start
};

// Decides which share of the present demand one backend server can follow.
//
// The load it answers: demand stays above the capacity for seconds, and what
// is admitted now arrives only later, spread by the chain before it. The share
// is cut in proportion to the excess and grows slowly, so that the queue stays
// short without emptying the server.
class LoadControl {
 public:
  explicit LoadControl(const ChainSettings& settings) : settings_(settings) {}

  // Takes a sample; acts once a step.
  void OnSample(const LoadSample& sample, base::TimePoint now);
  // Share of the present demand that may go on.
  double admit() const { return admit_; }

 private:
  ChainSettings settings_;
  double admit_ = 1.0;
  double load_ = 0;  // smoothed, in limits
  std::uint64_t refused_ = 0;
  base::TimePoint stepped_at_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_
