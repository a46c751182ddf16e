#ifndef DOGWOODRAIL_CORE_ADMISSION_FAIR_QUEUE_H_
#define DOGWOODRAIL_CORE_ADMISSION_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::admission {

struct Flow;

// A queued or running call.
struct CallEntry {
  base::CallId call;
  base::Importance importance = base::Importance::kLookup;
  bool nested = false;
  bool running = false;
  base::TimePoint deadline;
  std::optional<base::Duration> max_wait;
  bool refused_elsewhere = false;  // already refused by another backend server
  base::TimePoint queued_at;
  base::TimePoint refuse_at;  // maximum wait exceeded
  Flow* flow = nullptr;
  CallEntry* previous = nullptr;  // neighbours in the queue of the flow
  CallEntry* next = nullptr;
};

// The calls of one account in a fair queue.
struct Flow {
  base::AccountName account;
  double weight = 1.0;
  CallEntry* oldest = nullptr;
  CallEntry* newest = nullptr;
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  double virtual_start = 0;  // virtual start time of the next call
  std::uint64_t order = 0;
  base::TimePoint backlogged_since;  // when the queue was last empty
};

// Weighted fair queue over the accounts of one rank, by virtual start time.
// Entries are owned by the caller.
class FairQueue {
 public:
  // A flow with more than share_excess times its share in flight yields to
  // flows below theirs. An idle flow keeps up to idle_credit calls of unused
  // share.
  FairQueue(double share_excess, double idle_credit)
      : share_excess_(share_excess), idle_credit_(idle_credit) {}

  // Returns the account's flow, creating it if necessary.
  Flow* FindOrAdd(const base::AccountName& account, double weight);
  // Appends a call to its flow's queue.
  void Push(CallEntry* entry, base::TimePoint now);
  // Returns the next call to start, or nullptr if none is queued.
  CallEntry* Next() const;
  // Removes a queued call. If it starts, its flow is charged for it.
  void Remove(CallEntry* entry, bool starts);
  // Records that a call of the flow started without being queued.
  void OnStarted(Flow* flow);
  // Records that a call of the flow finished.
  void OnFinished(Flow* flow);
  // Erases idle flows whose credit has reached the maximum; they need no state.
  void RemoveIdle();
  // Returns the flow with the most queued calls per weight, or nullptr.
  Flow* Longest() const;

  // Number of queued calls.
  std::size_t size() const { return queued_; }
  // Returns true if no call is queued.
  bool empty() const { return queued_ == 0; }
  // Number of flows, idle ones included.
  std::size_t flow_count() const { return flows_.size(); }

 private:
  struct ByVirtualStart {
    bool operator()(const Flow* a, const Flow* b) const {
      return std::pair(a->virtual_start, a->order) <
             std::pair(b->virtual_start, b->order);
    }
  };
  struct ByLength {
    bool operator()(const Flow* a, const Flow* b) const {
      return std::pair(a->queued / a->weight, a->order) <
             std::pair(b->queued / b->weight, b->order);
    }
  };

  // Returns true if the flow exceeds its allowed share of the calls in flight.
  bool IsOverShare(const Flow& flow) const;
  // Returns the virtual start time of the flow's next call if it were queued
  // now.
  double NextVirtualStart(const Flow& flow) const;
  // Returns true if the flow has neither queued nor running calls.
  static bool IsIdle(const Flow& flow);
  // Counts a started call and advances the flow's virtual start time.
  void ChargeCall(Flow* flow);

  double share_excess_;
  double idle_credit_;
  std::unordered_map<base::AccountName, Flow> flows_;
  std::set<Flow*, ByVirtualStart> by_start_;  // flows with queued calls
  std::set<Flow*, ByLength> by_length_;       // flows with queued calls
  std::size_t queued_ = 0;
  std::size_t in_flight_ = 0;
  double active_weight_ = 0;  // of flows that are not idle
  double virtual_time_ = 0;
  std::uint64_t next_order_ = 0;
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_FAIR_QUEUE_H_
