#include "core/admission/fair_queue.h"

#include <algorithm>

#include "core/base/check_func.h"

namespace dogwoodrail::core::admission {
namespace {

// Calls that an account may always have in flight above its share.
constexpr double kExcessCalls = 1.0;

// Maximum number of flows above their share that Next skips.
constexpr int kMaxSkippedFlows = 64;

}  // namespace

Flow* FairQueue::FindOrAdd(const base::AccountName& account, double weight) {
  const auto [it, added] = flows_.try_emplace(account);
  Flow& flow = it->second;
  if (added) {
    flow.account = account;
    flow.weight = weight;
    flow.order = next_order_++;
    flow.virtual_start = virtual_time_ - idle_credit_;
  }
  return &flow;
}

void FairQueue::Push(CallEntry* entry, base::TimePoint now) {
  Flow* flow = entry->flow;
  if (IsIdle(*flow)) active_weight_ += flow->weight;
  if (flow->queued == 0) {
    flow->virtual_start = NextVirtualStart(*flow);
    flow->backlogged_since = now;
    by_start_.insert(flow);
  } else {
    by_length_.erase(flow);
  }
  entry->previous = flow->newest;
  entry->next = nullptr;
  (flow->newest != nullptr ? flow->newest->next : flow->oldest) = entry;
  flow->newest = entry;
  ++flow->queued;
  ++queued_;
  by_length_.insert(flow);
}

CallEntry* FairQueue::Next() const {
  int skipped = 0;
  for (const Flow* flow : by_start_) {
    if (!IsOverShare(*flow)) return flow->oldest;
    if (++skipped == kMaxSkippedFlows) break;
  }
  return by_start_.empty() ? nullptr : (*by_start_.begin())->oldest;
}

void FairQueue::Remove(CallEntry* entry, bool starts) {
  Flow* flow = entry->flow;
  base::CheckInvariant(flow->queued > 0, "the flow counts its queued calls");
  by_length_.erase(flow);
  (entry->previous != nullptr ? entry->previous->next : flow->oldest) =
      entry->next;
  (entry->next != nullptr ? entry->next->previous : flow->newest) =
      entry->previous;
  entry->previous = nullptr;
  entry->next = nullptr;
  --flow->queued;
  --queued_;
  if (starts) ChargeCall(flow);
  if (IsIdle(*flow)) active_weight_ -= flow->weight;
  if (flow->queued == 0) {
    by_start_.erase(flow);
  } else {
    by_length_.insert(flow);
  }
}

void FairQueue::OnStarted(Flow* flow) {
  if (IsIdle(*flow)) active_weight_ += flow->weight;
  flow->virtual_start = NextVirtualStart(*flow);
  ChargeCall(flow);
}

void FairQueue::OnFinished(Flow* flow) {
  base::CheckInvariant(flow->in_flight > 0,
                       "the flow counts its running calls");
  --flow->in_flight;
  --in_flight_;
  if (IsIdle(*flow)) active_weight_ -= flow->weight;
}

void FairQueue::RemoveIdle() {
  for (auto it = flows_.begin(); it != flows_.end();) {
    const Flow& flow = it->second;
    const bool has_credit = flow.virtual_start <= virtual_time_ - idle_credit_;
    it = IsIdle(flow) && has_credit ? flows_.erase(it) : std::next(it);
  }
}

Flow* FairQueue::Longest() const {
  return by_length_.empty() ? nullptr : *by_length_.rbegin();
}

bool FairQueue::IsOverShare(const Flow& flow) const {
  const double share =
      static_cast<double>(in_flight_) * flow.weight / active_weight_;
  return flow.in_flight > share_excess_ * share + kExcessCalls;
}

// A flow that becomes active again may use some of its unused share, so that an
// account with a small and bursty demand does not lose calls in each burst.
double FairQueue::NextVirtualStart(const Flow& flow) const {
  return std::max(flow.virtual_start, virtual_time_ - idle_credit_);
}

bool FairQueue::IsIdle(const Flow& flow) {
  return flow.queued == 0 && flow.in_flight == 0;
}

void FairQueue::ChargeCall(Flow* flow) {
  const bool waits = flow->queued > 0 || by_start_.count(flow) > 0;
  if (waits) by_start_.erase(flow);
  virtual_time_ = std::max(virtual_time_, flow->virtual_start);
  flow->virtual_start += 1.0 / flow->weight;
  if (waits) by_start_.insert(flow);
  ++flow->in_flight;
  ++in_flight_;
}

}  // namespace dogwoodrail::core::admission
