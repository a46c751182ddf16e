#ifndef DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_
#define DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// Load of one backend server at one time; counters are totals since the start.
struct LoadSample {
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::size_t limit = 0;
  std::uint64_t finished = 0;
  // Calls that were refused here after other servers had refused them too, so
  // that they failed.
  std::uint64_t repeat_refusals = 0;
  // Demand by importance: calls that were not refused by another server before,
  // each scaled up by the share of its kind that was admitted at the entry.
  std::array<double, base::kImportanceCount> offered{};
};

// Computes the share of the current demand that one backend server can handle.
//
// During an overload of several seconds, requests admitted at the entry reach
// this server only after the services before it. A controller that reacts to
// the queue alone would keep reducing the share while an earlier reduction has
// yet to take effect. Each call therefore carries the share that was admitted
// at the entry; the total demand is computed from it, and the capacity is
// allocated in order of importance.
class LoadControl {
 public:
  explicit LoadControl(const ChainSettings& settings);

  // Adds a sample; called on every tick, recomputes the shares once per step.
  void OnSample(const LoadSample& sample, base::TimePoint now);
  // Admitted share of the current demand, by importance.
  const AdmittedShares& admit() const { return admit_; }
  // Admitted share of the total demand.
  double common_share() const { return common_share_; }
  // Demand by importance and capacity in calls per second, at the last step.
  const std::array<double, base::kImportanceCount>& demand() const {
    return demand_;
  }
  double capacity() const { return capacity_; }

 private:
  void Step(const LoadSample& sample, double seconds);
  // Returns the usable capacity in calls per second.
  double Capacity(const LoadSample& sample) const;
  // Lowers the budget factor if calls failed, and raises it otherwise.
  void UpdateBudgetFactor(double failed, double finished);
  // Allocates the capacity in order of importance. The capacity needed to drain
  // the standing queue is taken from the least important.
  AdmittedShares Allocate(double capacity, double backlog);

  ChainSettings settings_;
  AdmittedShares admit_ = kAllAdmitted;
  double common_share_ = 1.0;
  double capacity_ = 0;
  // Fraction of the capacity left for the least important that is allocated. A
  // chain stops making calls once one of them fails, so the measured demand
  // is too low when calls fail; this factor compensates.
  double budget_factor_ = 1.0;
  // Moving averages: calls per second, and number of calls in flight.
  std::array<double, base::kImportanceCount> demand_{};
  double finished_ = 0;
  double in_flight_ = 0;
  // State since the last step.
  LoadSample last_;
  double in_flight_seconds_ = 0;
  base::TimePoint sampled_at_;
  base::TimePoint stepped_at_;
  bool started_ = false;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_LOAD_CONTROL_H_
