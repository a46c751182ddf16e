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

// A call that waits or runs.
struct CallEntry {
  base::CallId call;
  base::Importance importance = base::Importance::kLookup;
  bool nested = false;
  bool running = false;
  base::TimePoint deadline;
  std::optional<base::Duration> max_wait;
  bool repeated = false;  // refused by another backend server before
  base::TimePoint queued_at;
  base::TimePoint refuse_at;  // when it has waited too long
  Flow* flow = nullptr;
  CallEntry* previous = nullptr;  // neighbours in the queue of the flow
  CallEntry* next = nullptr;
};

// One account's calls in a fair queue.
struct Flow {
  base::AccountName account;
  double weight = 1.0;
  CallEntry* oldest = nullptr;
  CallEntry* newest = nullptr;
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  double turn = 0;  // virtual time of the flow's next turn
  std::uint64_t order = 0;
  base::TimePoint standing_since;  // when the queue was last empty
};

// Queues of the accounts in one importance class. Gives turns by weight over
// the accounts that wait. Entries are owned by the caller.
class FairQueue {
 public:
  // An account with more than this many times its share in flight waits for
  // those below theirs.
  // An account that wants no turns keeps up to turn_credit of them.
  FairQueue(double share_excess, double turn_credit)
      : share_excess_(share_excess), turn_credit_(turn_credit) {}

  // Returns the account's flow, made if absent.
  Flow* FindOrAdd(const base::AccountName& account, double weight);
  // Appends a call to its flow's queue.
  void Push(CallEntry* entry, base::TimePoint now);
  // Returns the call whose turn it is, nullptr if none waits.
  CallEntry* Next() const;
  // Takes a waiting call out. A call taken to run uses up a turn.
  void Remove(CallEntry* entry, bool takes_turn);
  // Notes that a call of the flow began without waiting.
  void OnStarted(Flow* flow);
  // Notes that a call of the flow ended.
  void OnFinished(Flow* flow);
  // Removes accounts without calls that have all the credit there is.
  void RemoveIdle();
  // Returns the flow with most waiting calls for its weight, or nullptr.
  Flow* Longest() const;

  // Number of waiting calls.
  std::size_t size() const { return queued_; }
  // True if no call waits.
  bool empty() const { return queued_ == 0; }
  // Number of accounts that are kept.
  std::size_t flow_count() const { return flows_.size(); }

 private:
  struct ByTurn {
    bool operator()(const Flow* a, const Flow* b) const {
      return std::pair(a->turn, a->order) < std::pair(b->turn, b->order);
    }
  };
  struct ByLength {
    bool operator()(const Flow* a, const Flow* b) const {
      return std::pair(a->queued / a->weight, a->order) <
             std::pair(b->queued / b->weight, b->order);
    }
  };

  // True if the flow has far more calls in flight than its share.
  bool IsOverShare(const Flow& flow) const;
  // Returns the flow's next turn if it wants one now.
  double NextTurn(const Flow& flow) const;
  // True if the flow has no waiting and no running calls.
  static bool IsIdle(const Flow& flow);
  // Moves the flow's turn on by one call.
  void TakeTurn(Flow* flow);

  double share_excess_;
  double turn_credit_;
  std::unordered_map<base::AccountName, Flow> flows_;
  std::set<Flow*, ByTurn> by_turn_;      // flows with waiting calls
  std::set<Flow*, ByLength> by_length_;  // flows with waiting calls
  std::size_t queued_ = 0;
  std::size_t in_flight_ = 0;
  double active_weight_ = 0;  // of accounts that are not idle
  double virtual_time_ = 0;
  std::uint64_t next_order_ = 0;
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_FAIR_QUEUE_H_
