#ifndef DOGWOODRAIL_CORE_ADMISSION_ADMISSION_CONTROL_H_
#define DOGWOODRAIL_CORE_ADMISSION_ADMISSION_CONTROL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <queue>
#include <unordered_map>
#include <vector>

#include "core/admission/admission_type.h"
#include "core/admission/concurrency_limit.h"
#include "core/admission/fair_queue.h"
#include "core/admission/service_time.h"
#include "core/base/random_type.h"

namespace dogwoodrail::core::admission {

// Decides which calls a backend server executes, and when. One for each
// backend server; every refusal means that the call certainly did not run.
class AdmissionControl {
 public:
  AdmissionControl(AdmissionSettings settings, std::uint64_t seed);
  AdmissionControl(const AdmissionControl&) = delete;
  AdmissionControl& operator=(const AdmissionControl&) = delete;

  // Decides on a new call.
  AdmissionDecision Offer(const AdmissionRequest& request, base::TimePoint now);
  // Ends an execution and returns what runs instead. Unknown calls are ignored.
  AdmissionActions Finish(base::CallId call, const ExecutionOutcome& outcome,
                          base::TimePoint now);
  // Drops a waiting call without an action for it. A running call keeps its
  // place until Finish reports that the execution has been cancelled.
  AdmissionActions Cancel(base::CallId call, base::TimePoint now);
  // Refuses calls that waited too long and runs what the limit allows.
  AdmissionActions Tick(base::TimePoint now);
  // Takes the backend server's load report as a hint.
  void OnLoadReport(const base::LoadReport& report, base::TimePoint now);
  // Takes the backend server's state. Waiting calls are still run while it
  // drains and refused when it is gone.
  AdmissionActions SetState(base::BackendServerState state,
                            base::TimePoint now);

  // Returns the present state.
  AdmissionSnapshot Snapshot() const;

 private:
  static constexpr std::size_t kQueueCount = 2 * base::kImportanceCount;

  // When a waiting call is looked at again.
  struct Expiry {
    base::TimePoint at;
    base::CallId call;
    bool operator>(const Expiry& other) const { return at > other.at; }
  };

  // Rank of a call's queue; a lower rank runs first.
  std::size_t QueueRank(base::Importance importance, bool nested) const;
  std::size_t QueueRank(const CallEntry& entry) const;
  // Queue in which the entry waits or ran.
  FairQueue& QueueOf(const CallEntry& entry);
  // Runs or queues a new call, or returns why it is refused.
  base::Reason Place(CallEntry* entry, base::TimePoint now,
                     AdmissionDecision* answer);
  // Makes room for a call in a full queue; false if it is to be refused.
  bool MakeRoom(const CallEntry& entry, base::TimePoint now,
                AdmissionActions* actions);
  // Makes room at the cost of an account of the same class that has more calls
  // waiting for its weight; false if there is none.
  bool MakeRoomInClass(const CallEntry& entry, AdmissionActions* actions);
  // Factor of the waits of an importance.
  int WaitFactor(base::Importance importance) const;
  // Longest wait of a call.
  base::Duration MaxWait(const CallEntry& entry, base::TimePoint now) const;
  // Evicts the newest call of the longest flow in the queue.
  void EvictFrom(FairQueue* queue, AdmissionActions* actions);
  // Returns the least important rank that has waiting calls.
  std::size_t LastUsedRank() const;
  // Starts waiting calls while the limit allows.
  void Dispatch(base::TimePoint now, AdmissionActions* actions);
  // Marks the entry as running.
  void Start(CallEntry* entry);
  // Learns from a finished execution.
  void LearnFrom(const CallEntry& entry, const ExecutionOutcome& outcome,
                 base::TimePoint now);
  // True if the call cannot finish by its deadline.
  bool IsTooLate(const CallEntry& entry, base::TimePoint now) const;
  // Reason to refuse a waiting call now, or kNone.
  base::Reason StaleReason(const CallEntry& entry, base::TimePoint now) const;
  // Refuses a waiting call and forgets it.
  void Refuse(CallEntry* entry, base::Reason reason, AdmissionActions* actions);
  // Refuses all waiting calls.
  void RefuseAll(AdmissionActions* actions);
  // Takes a waiting call out of its queue and forgets it.
  void Drop(CallEntry* entry);
  // Forgets a call that neither waits nor runs.
  void Forget(CallEntry* entry);
  // Counts a refusal and returns the answer for it.
  AdmissionDecision RefuseOffer(const AdmissionRequest& request,
                                base::Reason reason);
  // Counts a refusal.
  void CountRefusal(base::Importance importance, base::Reason reason);
  // Time after which a caller may try again.
  base::Duration RetryAfter(std::size_t rank);
  // Expected time until the calls up to the rank have been started.
  base::Duration ExpectedWait(std::size_t rank) const;
  // Number of waiting calls up to the rank.
  std::size_t QueuedUpTo(std::size_t rank) const;
  // Number of waiting calls.
  std::size_t QueuedTotal() const { return QueuedUpTo(kQueueCount - 1); }
  // Weight of an account.
  double WeightOf(const base::AccountName& account) const;

  AdmissionSettings settings_;
  base::Random random_;
  ConcurrencyLimit limit_;
  ServiceTime service_time_;
  base::BackendServerState state_ = base::BackendServerState::kStarting;
  std::vector<FairQueue> queues_;  // by rank
  std::unordered_map<base::CallId, CallEntry> entries_;
  std::unordered_map<base::AccountName, double> weights_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
  std::size_t in_flight_ = 0;
  std::array<std::size_t, base::kImportanceCount> queued_by_importance_{};
  AdmissionSnapshot counters_;
  double recent_refused_ = 0;
  double recent_started_ = 0;
  base::TimePoint recent_since_;
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_ADMISSION_CONTROL_H_
