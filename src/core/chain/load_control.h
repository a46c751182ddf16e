#ifndef DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_
#define DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// Load of one backend server at a moment; the counts are since the start.
struct LoadSample {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  std::uint64_t finished = 0;
  // Calls that other servers had refused too, and that are lost.
  std::uint64_t lost = 0;
  // Calls that came here first, by the importance of their requests. Each
  // stands for all those that were held back with its like at the entry.
  std::array<double, base::kImportanceCount> offered{};
};

// Decides which share of the present demand one backend server can follow.
//
// The load it answers: demand stays above the capacity for seconds, and what
// is let in now arrives only later, behind the chain before it. A controller
// that only reacts to the queue cuts on while the cut is still on its way. So
// each call tells the share that was let in with it at the entry, the whole
// demand follows from that, and the capacity is given to the most important
// first.
class LoadControl {
 public:
  explicit LoadControl(const ChainSettings& settings);

  // Takes a sample; called with each tick, acts once a step.
  void OnSample(const LoadSample& sample, base::TimePoint now);
  // Shares of the present demand that may go on.
  const AdmittedShares& admit() const { return admit_; }
  // Share of the whole demand that may go on.
  double common_share() const { return common_share_; }
  // Calls a second, by importance, and the capacity at the last step.
  const std::array<double, base::kImportanceCount>& demand() const {
    return demand_;
  }
  double capacity() const { return capacity_; }

 private:
  void Step(const LoadSample& sample, double seconds);
  // Capacity in calls a second.
  double Capacity(const LoadSample& sample) const;
  // Takes what was lost into the part of the rest that is given out.
  void Correct(double lost, double finished);
  // Gives the capacity out, the most important first. The standing queue takes
  // its part from the least important.
  AdmittedShares Allot(double capacity, double backlog);

  ChainSettings settings_;
  AdmittedShares admit_ = kAllAdmitted;
  double common_share_ = 1.0;
  double capacity_ = 0;
  // Part of what is left for the least important that is given out. A chain
  // that loses a call makes no more of them, so that the demand seems smaller
  // than it is.
  double given_part_ = 1.0;
  // Averages: calls a second, and calls.
  std::array<double, base::kImportanceCount> demand_{};
  double finished_ = 0;
  double in_flight_ = 0;
  // Since the last step.
  LoadSample last_;
  double in_flight_seconds_ = 0;
  base::TimePoint sampled_at_;
  base::TimePoint stepped_at_;
  bool started_ = false;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_
