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

// Admission control for one backend server: decides which calls are executed,
// and when. A refused call has not been executed.
class AdmissionControl {
 public:
  AdmissionControl(AdmissionSettings settings, std::uint64_t seed);
  AdmissionControl(const AdmissionControl&) = delete;
  AdmissionControl& operator=(const AdmissionControl&) = delete;

  // Runs, queues or refuses a new call.
  AdmissionDecision Offer(const AdmissionRequest& request, base::TimePoint now);
  // Records the end of an execution and returns the queued calls to start or
  // refuse. Unknown calls are ignored.
  AdmissionActions Finish(base::CallId call, const ExecutionOutcome& outcome,
                          base::TimePoint now);
  // Removes a queued call; no action for it follows. A running call stays
  // counted in flight until Finish reports that its execution was cancelled.
  AdmissionActions Cancel(base::CallId call, base::TimePoint now);
  // Refuses calls that have exceeded their maximum wait and starts calls up to
  // the limit.
  AdmissionActions Tick(base::TimePoint now);
  // Passes the reported number of slots to the concurrency limit, which treats
  // it as a hint.
  void OnLoadReport(const base::LoadReport& report, base::TimePoint now);
  // Updates the backend server's state. Queued calls are still started while it
  // is draining and are refused when it is gone or starting again.
  AdmissionActions SetState(base::BackendServerState state,
                            base::TimePoint now);

  // Returns the current state and counters.
  AdmissionSnapshot Snapshot() const;

 private:
  static constexpr std::size_t kQueueCount = 2 * base::kImportanceCount;

  // Time at which a queued call is checked for expiry.
  struct Expiry {
    base::TimePoint at;
    base::CallId call;
    bool operator>(const Expiry& other) const { return at > other.at; }
  };

  // Priority of a call's queue; lower ranks are started first.
  std::size_t QueueRank(base::Importance importance, bool nested) const;
  std::size_t QueueRank(const CallEntry& entry) const;
  // Returns the queue that the entry belongs to.
  FairQueue& QueueOf(const CallEntry& entry);
  // Starts or queues a new call, or returns the reason to refuse it.
  base::Reason RunOrQueue(CallEntry* entry, base::TimePoint now,
                          AdmissionDecision* decision);
  // Evicts a queued call if necessary to queue this one; returns false if this
  // call has to be refused instead.
  bool MakeRoom(const CallEntry& entry, base::TimePoint now,
                AdmissionActions* actions);
  // Evicts a call of another flow in the same queue, the one with the most
  // queued calls per weight; returns false unless it has more of them than the
  // call's own flow would have.
  bool EvictFromOwnClass(const CallEntry& entry, AdmissionActions* actions);
  // Multiplier of the maximum waits for an importance.
  int WaitFactor(base::Importance importance) const;
  // Maximum time that a call may be queued.
  base::Duration MaxWait(const CallEntry& entry, base::TimePoint now) const;
  // Evicts the newest call of the longest flow in the queue.
  void EvictFrom(FairQueue* queue, AdmissionActions* actions);
  // Returns the lowest-priority rank that has queued calls.
  std::size_t LastUsedRank() const;
  // Starts queued calls up to the concurrency limit.
  void Dispatch(base::TimePoint now, AdmissionActions* actions);
  // Marks the entry as running.
  void Start(CallEntry* entry);
  // Updates the service time and the concurrency limit from a finished
  // execution.
  void RecordExecution(const CallEntry& entry, const ExecutionOutcome& outcome,
                       base::TimePoint now);
  // Returns true if the call cannot finish by its deadline.
  bool MissesDeadline(const CallEntry& entry, base::TimePoint now) const;
  // Returns the reason to refuse a queued call now, or kNone.
  base::Reason RefusalReason(const CallEntry& entry, base::TimePoint now) const;
  // Refuses a queued call and removes it.
  void Refuse(CallEntry* entry, base::Reason reason, AdmissionActions* actions);
  // Refuses all queued calls.
  void RefuseAll(AdmissionActions* actions);
  // Removes a call from its queue and erases its entry.
  void RemoveQueued(CallEntry* entry);
  // Erases the entry of a call that is neither queued nor running.
  void Erase(CallEntry* entry);
  // Counts a refusal and returns the decision for it.
  AdmissionDecision RefuseOffer(const AdmissionRequest& request,
                                base::Reason reason);
  // Counts a refusal.
  void CountRefusal(base::Importance importance, base::Reason reason);
  // Delay after which a refused caller may retry.
  base::Duration RetryAfter(std::size_t rank);
  // Expected time until all queued calls up to the rank have been started.
  base::Duration ExpectedWait(std::size_t rank) const;
  // Number of queued calls up to the rank.
  std::size_t QueuedUpTo(std::size_t rank) const;
  // Number of queued calls.
  std::size_t QueuedTotal() const { return QueuedUpTo(kQueueCount - 1); }
  // Fair-share weight of an account.
  double WeightOf(const base::AccountName& account) const;

  AdmissionSettings settings_;
  base::Random random_;
  ConcurrencyLimit limit_;
  ServiceTime service_time_;
  base::BackendServerState state_ = base::BackendServerState::kStarting;
  std::vector<FairQueue> queues_;  // indexed by rank
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
