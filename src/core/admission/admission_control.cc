#include "core/admission/admission_control.h"

#include <algorithm>
#include <utility>

#include "core/base/check_func.h"

namespace dogwoodrail::core::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Divisor of the maximum wait of nested calls.
constexpr int kNestedWaitDivisor = 4;

// Returns the part of the time to its deadline that a call may be queued, in
// sixths.
int WaitSixths(base::Importance importance) {
  switch (importance) {
    case base::Importance::kMoney:
      return 6;
    case base::Importance::kOperation:
      return 3;
    case base::Importance::kTracking:
    case base::Importance::kLookup:
      break;
  }
  return 2;
}

// Bounds of the delay after which a refused caller may retry.
constexpr base::Duration kMinRetryAfter = milliseconds(50);
constexpr base::Duration kMaxRetryAfter = seconds(5);

// Interval after which the counts of recent refusals and starts are halved.
constexpr base::Duration kRecentInterval = seconds(1);

// Bounds of the multiple of its fair share that an account may have in flight
// before other accounts are preferred.
constexpr double kMinShareExcess = 1.0;
constexpr double kShareExcessRange = 2.0;

// Idle credit of an account, in calls, if the weight of goodput is zero.
constexpr double kMaxIdleCredit = 8.0;

// Returns the weight of goodput as a fraction of the sum of both weights.
double GoodputShare(const AdmissionSettings& settings) {
  const double sum = settings.worst_account_weight + settings.goodput_weight;
  return sum > 0 ? settings.goodput_weight / sum : 0.5;
}

// Returns the multiple of its fair share that an account may have in flight
// before other accounts are preferred.
double ShareExcess(const AdmissionSettings& settings) {
  return kMinShareExcess + kShareExcessRange * GoodputShare(settings);
}

// Returns how many calls of unused share an idle account keeps.
double IdleCredit(const AdmissionSettings& settings) {
  return kMaxIdleCredit * (1 - GoodputShare(settings));
}

// Returns the index of an importance.
std::size_t IndexOf(base::Importance importance) {
  return static_cast<std::size_t>(importance);
}

}  // namespace

AdmissionControl::AdmissionControl(AdmissionSettings settings,
                                   std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      limit_(settings_.limit),
      queues_(kQueueCount,
              FairQueue(ShareExcess(settings_), IdleCredit(settings_))) {
  for (const AccountWeight& it : settings_.account_weights) {
    if (it.weight > 0) weights_[it.account] = it.weight;
  }
}

AdmissionDecision AdmissionControl::Offer(const AdmissionRequest& request,
                                          base::TimePoint now) {
  if (state_ == base::BackendServerState::kStarting) {
    return RefuseOffer(request, base::Reason::kNoBackendServer);
  }
  if (state_ != base::BackendServerState::kReady) {
    return RefuseOffer(request, base::Reason::kBackendServerLeaving);
  }
  counters_.offered[IndexOf(request.importance)] += request.demand_weight;
  AdmissionDecision decision;
  Dispatch(now, &decision.actions);
  const auto [it, added] = entries_.try_emplace(request.call);
  base::CheckInvariant(added, "each call is offered only once");
  CallEntry& entry = it->second;
  entry.call = request.call;
  entry.importance = request.importance;
  entry.nested = request.nested;
  entry.deadline = request.deadline;
  entry.max_wait = request.max_wait;
  entry.refused_elsewhere = request.demand_weight == 0;
  entry.flow = QueueOf(entry).FindOrAdd(
      settings_.use_fairness ? request.account : base::AccountName(),
      WeightOf(request.account));
  const base::Reason reason = RunOrQueue(&entry, now, &decision);
  if (reason == base::Reason::kNone) return decision;
  if (entry.refused_elsewhere) ++counters_.repeat_refusals;
  Erase(&entry);
  AdmissionDecision refusal = RefuseOffer(request, reason);
  refusal.actions = std::move(decision.actions);
  return refusal;
}

base::Reason AdmissionControl::RunOrQueue(CallEntry* entry, base::TimePoint now,
                                          AdmissionDecision* decision) {
  if (MissesDeadline(*entry, now)) return base::Reason::kDeadlineTooShort;
  if (in_flight_ < limit_.value()) {
    QueueOf(*entry).OnStarted(entry->flow);
    Start(entry);
    decision->result = AdmissionResult::kRun;
    return base::Reason::kNone;
  }
  limit_.OnSaturated();
  if (!MakeRoom(*entry, now, &decision->actions)) {
    return base::Reason::kQueueFull;
  }
  entry->queued_at = now;
  QueueOf(*entry).Push(entry, now);
  ++queued_by_importance_[IndexOf(entry->importance)];
  entry->refuse_at = now + MaxWait(*entry, now);
  expiries_.push({std::min(entry->deadline, entry->refuse_at), entry->call});
  decision->result = AdmissionResult::kQueued;
  return base::Reason::kNone;
}

AdmissionActions AdmissionControl::Finish(base::CallId call,
                                          const ExecutionOutcome& outcome,
                                          base::TimePoint now) {
  AdmissionActions actions;
  const auto it = entries_.find(call);
  if (it == entries_.end() || !it->second.running) return actions;
  CallEntry& entry = it->second;
  RecordExecution(entry, outcome, now);
  QueueOf(entry).OnFinished(entry.flow);
  --in_flight_;
  ++counters_.finished;
  Erase(&entry);
  Dispatch(now, &actions);
  return actions;
}

void AdmissionControl::RecordExecution(const CallEntry& entry,
                                       const ExecutionOutcome& outcome,
                                       base::TimePoint now) {
  const bool cancelled = outcome.result == ExecutionResult::kCancelled;
  // A cancelled execution gives a lower bound of its latency, which is only
  // useful above the mean.
  if (cancelled && outcome.latency <= service_time_.Mean()) return;
  if (cancelled || outcome.result == ExecutionResult::kOk) {
    service_time_.AddSample(entry.importance, outcome.latency, now);
  }
  limit_.OnFinished(LimitSample{entry.importance, outcome, in_flight_}, now);
}

AdmissionActions AdmissionControl::Cancel(base::CallId call,
                                          base::TimePoint now) {
  AdmissionActions actions;
  const auto it = entries_.find(call);
  if (it == entries_.end() || it->second.running) return actions;
  RemoveQueued(&it->second);
  Dispatch(now, &actions);
  return actions;
}

AdmissionActions AdmissionControl::Tick(base::TimePoint now) {
  AdmissionActions actions;
  service_time_.Tick(now);
  if (now - recent_since_ >= kRecentInterval) {
    recent_since_ = now;
    for (FairQueue& it : queues_) it.RemoveIdle();
    recent_refused_ /= 2;
    recent_started_ /= 2;
  }
  while (!expiries_.empty() && expiries_.top().at <= now) {
    const auto it = entries_.find(expiries_.top().call);
    expiries_.pop();
    if (it == entries_.end() || it->second.running) continue;
    const bool expired = it->second.deadline <= now;
    Refuse(
        &it->second,
        expired ? base::Reason::kDeadlineTooShort : base::Reason::kOverloaded,
        &actions);
  }
  Dispatch(now, &actions);
  return actions;
}

void AdmissionControl::OnLoadReport(const base::LoadReport& report,
                                    base::TimePoint now) {
  limit_.OnLoadReport(report.slots, now);
}

AdmissionActions AdmissionControl::SetState(base::BackendServerState state,
                                            base::TimePoint now) {
  AdmissionActions actions;
  if (state == state_) return actions;
  const bool resumes = state_ == base::BackendServerState::kDraining;
  state_ = state;
  if (state == base::BackendServerState::kReady && !resumes) {
    limit_.Reset(now);
  }
  if (state == base::BackendServerState::kGone ||
      state == base::BackendServerState::kStarting) {
    RefuseAll(&actions);
  }
  Dispatch(now, &actions);
  return actions;
}

AdmissionSnapshot AdmissionControl::Snapshot() const {
  AdmissionSnapshot snapshot = counters_;
  snapshot.state = state_;
  snapshot.limit = limit_.value();
  snapshot.in_flight = in_flight_;
  snapshot.queued = QueuedTotal();
  snapshot.queued_by_importance = queued_by_importance_;
  for (std::size_t it = 0; it < base::kImportanceCount; ++it) {
    const base::Duration best =
        limit_.BaselineLatency(static_cast<base::Importance>(it));
    if (best.count() == 0) continue;
    if (snapshot.best_latency.count() == 0 || best < snapshot.best_latency) {
      snapshot.best_latency = best;
    }
  }
  snapshot.service_time = service_time_.Mean();
  return snapshot;
}

std::size_t AdmissionControl::QueueRank(base::Importance importance,
                                        bool nested) const {
  if (!settings_.use_importance) return 0;
  const std::size_t classes_above =
      base::kImportanceCount - 1 - IndexOf(importance);
  return 2 * classes_above + (nested ? 0 : 1);
}

std::size_t AdmissionControl::QueueRank(const CallEntry& entry) const {
  return QueueRank(entry.importance, entry.nested);
}

FairQueue& AdmissionControl::QueueOf(const CallEntry& entry) {
  return queues_[QueueRank(entry)];
}

bool AdmissionControl::MakeRoom(const CallEntry& entry, base::TimePoint now,
                                AdmissionActions* actions) {
  const std::size_t rank = QueueRank(entry);
  if (ExpectedWait(rank) > MaxWait(entry, now)) {
    return EvictFromOwnClass(entry, actions);
  }
  if (QueuedTotal() < settings_.max_queued) return true;
  const std::size_t last = LastUsedRank();
  if (last < rank) return false;
  if (last == rank) return EvictFromOwnClass(entry, actions);
  EvictFrom(&queues_[last], actions);
  return true;
}

bool AdmissionControl::EvictFromOwnClass(const CallEntry& entry,
                                         AdmissionActions* actions) {
  FairQueue& queue = QueueOf(entry);
  const Flow* longest = queue.Longest();
  if (longest == nullptr || longest == entry.flow) return false;
  const double own = (entry.flow->queued + 1) / entry.flow->weight;
  if (longest->queued / longest->weight <= own) return false;
  EvictFrom(&queue, actions);
  return true;
}

void AdmissionControl::EvictFrom(FairQueue* queue, AdmissionActions* actions) {
  Refuse(queue->Longest()->newest, base::Reason::kQueueFull, actions);
}

std::size_t AdmissionControl::LastUsedRank() const {
  std::size_t rank = kQueueCount - 1;
  while (rank > 0 && queues_[rank].empty()) --rank;
  return rank;
}

void AdmissionControl::Dispatch(base::TimePoint now,
                                AdmissionActions* actions) {
  for (FairQueue& queue : queues_) {
    while (!queue.empty() && in_flight_ < limit_.value()) {
      CallEntry* entry = queue.Next();
      const base::Reason reason = RefusalReason(*entry, now);
      if (reason != base::Reason::kNone) {
        Refuse(entry, reason, actions);
        continue;
      }
      queue.Remove(entry, /*starts=*/true);
      --queued_by_importance_[IndexOf(entry->importance)];
      Start(entry);
      actions->push_back({entry->call, AdmissionAction::Kind::kRun,
                          base::Reason::kNone, base::Duration(0)});
    }
  }
}

void AdmissionControl::Start(CallEntry* entry) {
  entry->running = true;
  ++in_flight_;
  ++counters_.started;
  ++recent_started_;
  if (in_flight_ >= limit_.value()) limit_.OnSaturated();
}

// A call is always admitted if nothing is in flight, so that a service time
// estimate that is too high gets corrected.
bool AdmissionControl::MissesDeadline(const CallEntry& entry,
                                      base::TimePoint now) const {
  if (!settings_.use_deadlines) return false;
  if (entry.deadline <= now) return true;
  const base::Duration left = entry.deadline - now;
  return in_flight_ > 0 && left < service_time_.Median(entry.importance);
}

base::Reason AdmissionControl::RefusalReason(const CallEntry& entry,
                                             base::TimePoint now) const {
  if (MissesDeadline(entry, now)) return base::Reason::kDeadlineTooShort;
  if (now > entry.refuse_at) return base::Reason::kOverloaded;
  const base::Duration waited = now - entry.queued_at;
  const bool standing =
      now - entry.flow->backlogged_since > settings_.standing_interval;
  const base::Duration standing_wait =
      settings_.standing_wait * WaitFactor(entry.importance);
  if (standing && waited > standing_wait) {
    return base::Reason::kOverloaded;
  }
  return base::Reason::kNone;
}

// A maximum wait suited to lookups would refuse more important calls whenever
// the limit drops briefly.
int AdmissionControl::WaitFactor(base::Importance importance) const {
  return settings_.use_importance ? 1 << IndexOf(importance) : 1;
}

// A call that waits too long leaves too little time for the rest of the chain.
// A nested call waits less because it occupies a slot of the upstream service
// while it is queued.
base::Duration AdmissionControl::MaxWait(const CallEntry& entry,
                                         base::TimePoint now) const {
  if (entry.max_wait) return std::min(*entry.max_wait, entry.deadline - now);
  const base::Duration wait = settings_.max_wait * WaitFactor(entry.importance);
  return std::min(entry.nested ? wait / kNestedWaitDivisor : wait,
                  (entry.deadline - now) * WaitSixths(entry.importance) / 6);
}

void AdmissionControl::Refuse(CallEntry* entry, base::Reason reason,
                              AdmissionActions* actions) {
  CountRefusal(entry->importance, reason);
  if (entry->refused_elsewhere) ++counters_.repeat_refusals;
  actions->push_back({entry->call, AdmissionAction::Kind::kRefuse, reason,
                      RetryAfter(QueueRank(*entry))});
  RemoveQueued(entry);
}

void AdmissionControl::RefuseAll(AdmissionActions* actions) {
  for (FairQueue& queue : queues_) {
    while (CallEntry* entry = queue.Next()) {
      Refuse(entry, base::Reason::kBackendServerLeaving, actions);
    }
  }
}

void AdmissionControl::RemoveQueued(CallEntry* entry) {
  QueueOf(*entry).Remove(entry, /*starts=*/false);
  --queued_by_importance_[IndexOf(entry->importance)];
  Erase(entry);
}

void AdmissionControl::Erase(CallEntry* entry) {
  const base::CallId call = entry->call;
  entries_.erase(call);
}

AdmissionDecision AdmissionControl::RefuseOffer(const AdmissionRequest& request,
                                                base::Reason reason) {
  CountRefusal(request.importance, reason);
  AdmissionDecision decision;
  decision.reason = reason;
  decision.retry_after =
      RetryAfter(QueueRank(request.importance, request.nested));
  return decision;
}

void AdmissionControl::CountRefusal(base::Importance importance,
                                    base::Reason reason) {
  ++counters_.refused_by_reason[static_cast<std::size_t>(reason)];
  ++counters_.refused_by_importance[IndexOf(importance)];
  ++recent_refused_;
}

// The delay grows with the ratio of refused to started calls, because callers
// refused earlier will already claim the next free capacity.
base::Duration AdmissionControl::RetryAfter(std::size_t rank) {
  const double excess = recent_refused_ / std::max(1.0, recent_started_);
  const double drain =
      static_cast<double>(std::max(ExpectedWait(rank), kMinRetryAfter).count());
  const double jitter = 1.0 + 0.5 * base::RandomUnit(random_);
  const auto wanted = base::Duration(
      static_cast<base::Duration::rep>(drain * (1 + excess) * jitter));
  return std::min(wanted, kMaxRetryAfter);
}

base::Duration AdmissionControl::ExpectedWait(std::size_t rank) const {
  const std::size_t ahead = QueuedUpTo(rank) + 1;
  return service_time_.Mean() * static_cast<base::Duration::rep>(ahead) /
         static_cast<base::Duration::rep>(limit_.value());
}

std::size_t AdmissionControl::QueuedUpTo(std::size_t rank) const {
  std::size_t count = 0;
  for (std::size_t it = 0; it <= rank; ++it) count += queues_[it].size();
  return count;
}

double AdmissionControl::WeightOf(const base::AccountName& account) const {
  const auto it = weights_.find(account);
  return it == weights_.end() ? 1.0 : it->second;
}

}  // namespace dogwoodrail::core::admission
