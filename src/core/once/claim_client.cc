#include "core/once/claim_client.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::core::once {
namespace {

// A call without a verdict is refused this long before its deadline.
constexpr Duration kVerdictMargin = std::chrono::milliseconds(20);

// Maps a refusing verdict to the refusal sent to the caller. It is "not run"
// only if no earlier request with the same key can have run either.
RefuseCall Refusal(base::CallId call, ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kInProgress:
      return {call, base::Reason::kDuplicateInProgress, base::Ran::kUnknown};
    case ClaimVerdict::kOtherRequest:
      return {call, base::Reason::kIdempotencyKeyInvalid, base::Ran::kNotRun};
    case ClaimVerdict::kFull:
      return {call, base::Reason::kOverloaded, base::Ran::kNotRun};
    case ClaimVerdict::kCreatedInFuture:
      return {call, base::Reason::kIdempotencyKeyInvalid, base::Ran::kNotRun};
    default:
      return {call, base::Reason::kDuplicateOutcomeUnknown,
              base::Ran::kUnknown};
  }
}

}  // namespace

ClaimClient::ClaimClient(OnceSettings settings, base::Incarnation incarnation)
    : settings_(settings), incarnation_(incarnation) {}

base::Ran ClaimClient::ReportedRan(base::Ran ran) const { return ran; }

ClaimActions ClaimClient::Begin(const ClaimCall& call, TimePoint now) {
  Call entry;
  entry.request.shard = call.shard;
  entry.request.id = call.id;
  entry.request.request_digest = call.request_digest;
  entry.request.nonce = ClaimNonce{incarnation_, call.call};
  entry.request.time_left = call.time_left;
  entry.started = now;
  entry.deadline = now + call.time_left;
  entry.sent = now;
  ClaimActions out = {SendToOwner{call.shard, entry.request}};
  calls_.insert_or_assign(call.call, std::move(entry));
  return out;
}

// Drops an answer to a call that has ended. It must not release the claim: the
// grant may be a duplicate for a call that was dispatched.
ClaimActions ClaimClient::OnAnswer(const ClaimAnswer& answer, TimePoint now) {
  ClaimActions out;
  const auto it = calls_.find(answer.nonce.call);
  if (answer.nonce.incarnation != incarnation_) return out;
  if (it == calls_.end()) return out;
  Call& call = it->second;
  const base::CallId id = answer.nonce.call;
  if (call.stage != Stage::kWaitingForGrant) return out;
  if (answer.verdict == ClaimVerdict::kNotOwner) {
    out.emplace_back(LookUpOwner{call.request.shard});
    return out;
  }
  if (answer.verdict == ClaimVerdict::kReplay) {
    calls_.erase(it);
    out.emplace_back(ReplayAnswer{id, answer.answer});
    return out;
  }
  if (answer.verdict != ClaimVerdict::kGranted) {
    calls_.erase(it);
    out.emplace_back(Refusal(id, answer.verdict));
    return out;
  }
  if (now >= call.deadline) {
    Withdraw(call, now, &out);
    out.emplace_back(
        RefuseCall{id, base::Reason::kDeadlineExceeded, base::Ran::kNotRun});
    return out;
  }
  call.stage = Stage::kRunning;
  out.emplace_back(ProceedWithCall{id, call.deadline});
  return out;
}

ClaimActions ClaimClient::OnFinished(base::CallId id, base::Ran ran,
                                     std::string answer, TimePoint now) {
  ClaimActions out;
  const auto it = calls_.find(id);
  if (it == calls_.end()) return out;
  Call& call = it->second;
  if (call.stage == Stage::kFinished) return out;
  if (call.stage == Stage::kWaitingForGrant) {
    Withdraw(call, now, &out);
    return out;
  }
  if (answer.size() > settings_.max_answer_bytes) answer.clear();
  call.stage = Stage::kFinished;
  call.outcome =
      ClaimOutcome{call.request.shard, call.request.id, call.request.nonce,
                   ReportedRan(ran), std::move(answer)};
  SendOutcome(call, now, &out);
  return out;
}

void ClaimClient::OnOutcomeAck(const ClaimOutcomeAck& ack) {
  const auto it = calls_.find(ack.nonce.call);
  if (ack.nonce.incarnation != incarnation_ || it == calls_.end()) return;
  if (it->second.stage == Stage::kFinished) calls_.erase(it);
}

void ClaimClient::Withdraw(Call& call, TimePoint now, ClaimActions* out) const {
  call.stage = Stage::kFinished;
  call.outcome = ClaimOutcome{call.request.shard,
                              call.request.id,
                              call.request.nonce,
                              base::Ran::kNotRun,
                              {}};
  SendOutcome(call, now, out);
}

void ClaimClient::SendOutcome(Call& call, TimePoint now,
                              ClaimActions* out) const {
  call.sent = now;
  ++call.outcome_sends;
  out->emplace_back(SendToOwner{call.request.shard, call.outcome});
}

void ClaimClient::ResendClaim(Call& call, TimePoint now,
                              ClaimActions* out) const {
  call.sent = now;
  call.request.time_left = call.deadline - now;
  out->emplace_back(LookUpOwner{call.request.shard});
  out->emplace_back(SendToOwner{call.request.shard, call.request});
}

// Without a verdict this node does not know whether an earlier request with the
// same key ran, so the refusal reports the outcome as unknown.
bool ClaimClient::TickCall(Call& call, TimePoint now, ClaimActions* out) const {
  if (call.stage == Stage::kWaitingForGrant) {
    const TimePoint end = std::min(call.deadline - kVerdictMargin,
                                   call.started + settings_.claim_timeout);
    if (now >= end) {
      Withdraw(call, now, out);
      out->emplace_back(RefuseCall{call.request.nonce.call,
                                   base::Reason::kClaimUnavailable,
                                   base::Ran::kUnknown});
    } else if (now - call.sent >= settings_.claim_retry) {
      ResendClaim(call, now, out);
    }
    return false;
  }
  if (call.stage != Stage::kFinished) return false;
  if (now - call.sent < settings_.outcome_retry) return false;
  if (call.outcome_sends >= settings_.max_outcome_sends) return true;
  SendOutcome(call, now, out);
  return false;
}

ClaimActions ClaimClient::Tick(TimePoint now) {
  ClaimActions out;
  for (auto it = calls_.begin(); it != calls_.end();) {
    const bool ended = TickCall(it->second, now, &out);
    it = ended ? calls_.erase(it) : std::next(it);
  }
  return out;
}

}  // namespace dogwoodrail::core::once
