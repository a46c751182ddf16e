#include "core/once/claim_table.h"

#include <algorithm>

namespace dogwoodrail::core::once {
namespace {

std::chrono::milliseconds ToMs(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

std::int64_t WallSecond(WallTime wall) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             wall.time_since_epoch())
      .count();
}

ClaimMessages Reply(const MemberId& to, const ClaimNonce& nonce,
                    ClaimVerdict verdict, std::string answer = {}) {
  return {{to, ClaimAnswer{nonce, verdict, std::move(answer)}}};
}

}  // namespace

ClaimTable::ClaimTable(OnceSettings settings, AuthorityCheck has_authority)
    : settings_(settings), has_authority_(std::move(has_authority)) {}

bool ClaimTable::MayAct(ShardIndex index, const ClaimShard& shard,
                        TimePoint now) const {
  return has_authority_(index, shard.epoch, now);
}

bool ClaimTable::WaitsForCopyAck() const { return true; }

// The state of a key older than the retention time has been removed, so whether
// its request ran is unknown.
std::optional<ClaimVerdict> ClaimTable::CheckCreationTime(const ClaimId& id,
                                                          WallTime wall) const {
  const WallTime created = id.key.created();
  if (created + ToMs(settings_.retention) < wall) {
    return ClaimVerdict::kOutcomeUnknown;
  }
  if (created > wall + ToMs(settings_.clock_skew)) {
    return ClaimVerdict::kCreatedInFuture;
  }
  return std::nullopt;
}

// A request with the same nonce is a resend of the same call, because the grant
// was lost or the owner changed. Granting it again is safe: the entry node
// dispatches the call only once.
ClaimVerdict ClaimTable::CheckKnownClaim(ClaimShard& shard, Claim& claim,
                                         const ClaimRequest& request,
                                         TimePoint now) const {
  if (claim.request_digest != request.request_digest) {
    return ClaimVerdict::kOtherRequest;
  }
  const bool same_call = claim.nonce == request.nonce;
  switch (claim.state) {
    case ClaimState::kDone:
      return claim.answer ? ClaimVerdict::kReplay
                          : ClaimVerdict::kOutcomeUnknown;
    case ClaimState::kUnknown:
      return ClaimVerdict::kOutcomeUnknown;
    case ClaimState::kReleased: {
      // A later owner, whose state is lost, may have granted the key again.
      const bool in_gap = request.id.key.created() <= shard.gap_until;
      if (same_call || in_gap) return ClaimVerdict::kOutcomeUnknown;
      return ClaimVerdict::kGranted;
    }
    case ClaimState::kClaimed:
      if (same_call) return ClaimVerdict::kGranted;
      return now < claim.in_progress_until ? ClaimVerdict::kInProgress
                                           : ClaimVerdict::kOutcomeUnknown;
  }
  return ClaimVerdict::kOutcomeUnknown;
}

ClaimVerdict ClaimTable::CheckRequest(ClaimShard& shard,
                                      const ClaimRequest& request,
                                      TimePoint now, WallTime wall) const {
  const auto refusal = CheckCreationTime(request.id, wall);
  if (refusal) return *refusal;
  const auto it = shard.claims.find(request.id);
  if (it != shard.claims.end()) {
    return CheckKnownClaim(shard, it->second, request, now);
  }
  if (request.id.key.created() <= shard.gap_until) {
    return ClaimVerdict::kOutcomeUnknown;
  }
  if (claim_count_ >= settings_.max_claims) return ClaimVerdict::kFull;
  return ClaimVerdict::kGranted;
}

ClaimMessages ClaimTable::OnClaim(const MemberId& from,
                                  const ClaimRequest& request, TimePoint now,
                                  WallTime wall) {
  const auto found = shards_.find(request.shard);
  if (found == shards_.end() || !found->second.owner ||
      !MayAct(request.shard, found->second, now)) {
    return Reply(from, request.nonce, ClaimVerdict::kNotOwner);
  }
  ClaimShard& shard = found->second;
  latest_wall_time_ = std::max(latest_wall_time_, wall);
  const ClaimVerdict verdict =
      CheckRequest(shard, request, now, latest_wall_time_);
  if (verdict == ClaimVerdict::kReplay) {
    return Reply(from, request.nonce, verdict,
                 *shard.claims.at(request.id).answer);
  }
  if (verdict != ClaimVerdict::kGranted) {
    return Reply(from, request.nonce, verdict);
  }
  const auto it = shard.claims.find(request.id);
  const bool repeated =
      it != shard.claims.end() && it->second.state == ClaimState::kClaimed;
  if (repeated && it->second.copy_pending) return {};  // granted on copy ack
  if (repeated) return Reply(from, request.nonce, verdict);
  StoreClaim(shard, request, now);
  if (!shard.standby) return Reply(from, request.nonce, verdict);
  ClaimMessages out;
  CopyClaim(request.shard, shard, request.id, from, now, &out);
  return out;
}

void ClaimTable::StoreClaim(ClaimShard& shard, const ClaimRequest& request,
                            TimePoint now) {
  const auto [it, added] = shard.claims.try_emplace(request.id);
  if (added) {
    ++claim_count_;
    AddExpiry(shard, request.id);
  }
  Claim& claim = it->second;
  claim.request_digest = request.request_digest;
  claim.nonce = request.nonce;
  claim.state = ClaimState::kClaimed;
  ++claim.serial;
  claim.in_progress_until = now + request.time_left + settings_.outcome_margin;
}

// Ignores the outcome of an earlier grant of the key, and any outcome after a
// final state.
ClaimMessages ClaimTable::OnOutcome(const MemberId& from,
                                    const ClaimOutcome& outcome,
                                    TimePoint now) {
  const auto found = shards_.find(outcome.shard);
  if (found == shards_.end() || !found->second.owner ||
      !MayAct(outcome.shard, found->second, now)) {
    return {};
  }
  ClaimShard& shard = found->second;
  ClaimMessages out = {{from, ClaimOutcomeAck{outcome.nonce}}};
  const auto it = shard.claims.find(outcome.id);
  if (it == shard.claims.end() || it->second.nonce != outcome.nonce) return out;
  Claim& claim = it->second;
  if (claim.state == ClaimState::kDone) return out;
  if (claim.state == ClaimState::kReleased) return out;
  ApplyOutcome(outcome.shard, claim, outcome);
  if (shard.standby) {
    CopyClaim(outcome.shard, shard, outcome.id, std::nullopt, now, &out);
  }
  return out;
}

// "Not run" after "unknown" is ignored: the two contradict each other, and only
// "unknown" is safe.
void ClaimTable::ApplyOutcome(ShardIndex index, Claim& claim,
                              const ClaimOutcome& outcome) {
  switch (outcome.ran) {
    case base::Ran::kRan:
      claim.state = ClaimState::kDone;
      StoreAnswer(index, outcome.id, claim, outcome.answer);
      return;
    case base::Ran::kUnknown:
      claim.state = ClaimState::kUnknown;
      return;
    case base::Ran::kNotRun:
      if (claim.state == ClaimState::kClaimed) {
        claim.state = ClaimState::kReleased;
      }
      return;
  }
}

ClaimMessages ClaimTable::OnAuthorityGained(ShardIndex index, Epoch epoch,
                                            shard::History history,
                                            TimePoint now, WallTime wall) {
  ClaimShard& shard = shards_[index];
  latest_wall_time_ = std::max(latest_wall_time_, wall);
  const bool complete =
      history == shard::History::kNone || history == shard::History::kKept ||
      (history == shard::History::kStandbyCopy && IsCopyComplete(shard, epoch));
  if (!complete) {
    // Twice the skew: a key from a fast clock, created in the future, may have
    // been granted, and the predecessor's clock may have been ahead of this
    // one.
    shard.gap_until = latest_wall_time_ + 2 * ToMs(settings_.clock_skew);
  }
  shard.owner = true;
  shard.epoch = epoch;
  shard.complete_epoch = Epoch{};
  shard.next_batch = 1;
  static_cast<void>(now);
  return {};
}

// Keeps the claims, which remain valid records of the past.
void ClaimTable::OnAuthorityLost(ShardIndex index) {
  const auto found = shards_.find(index);
  if (found == shards_.end()) return;
  ClaimShard& shard = found->second;
  shard.owner = false;
  shard.standby.reset();
  shard.snapshot = Snapshot{};
}

void ClaimTable::AddExpiry(ClaimShard& shard, const ClaimId& id) {
  const WallTime end = id.key.created() + ToMs(settings_.retention) +
                       2 * ToMs(settings_.clock_skew);
  shard.expiries[WallSecond(end) + 1].push_back(id);
}

void ClaimTable::StoreAnswer(ShardIndex index, const ClaimId& id, Claim& claim,
                             const std::string& answer) {
  if (answer.empty() || answer.size() > settings_.max_answer_bytes) return;
  while (answer_bytes_ + answer.size() > settings_.max_stored_answer_bytes &&
         !answers_.empty()) {
    DropOldestAnswer();
  }
  answer_bytes_ += answer.size();
  claim.answer = std::make_unique<std::string>(answer);
  answers_.push_back(StoredAnswer{index, id});
}

// The claim stays in state kDone, but its answer can no longer be replayed.
void ClaimTable::DropOldestAnswer() {
  const StoredAnswer oldest = answers_.front();
  answers_.pop_front();
  ClaimShard& shard = shards_.at(oldest.shard);
  const auto it = shard.claims.find(oldest.id);
  if (it == shard.claims.end() || !it->second.answer) return;
  answer_bytes_ -= it->second.answer->size();
  it->second.answer.reset();
}

// Claims are removed twice the clock skew after their keys become too old to be
// accepted, because a successor's clock may be behind.
void ClaimTable::RemoveExpiredClaims(ClaimShard& shard, WallTime wall) {
  const std::int64_t second = WallSecond(wall);
  while (!shard.expiries.empty() && shard.expiries.begin()->first < second) {
    for (const ClaimId& id : shard.expiries.begin()->second) {
      const auto it = shard.claims.find(id);
      if (it == shard.claims.end()) continue;
      if (it->second.answer) answer_bytes_ -= it->second.answer->size();
      shard.claims.erase(it);
      --claim_count_;
    }
    shard.expiries.erase(shard.expiries.begin());
  }
}

ClaimMessages ClaimTable::Tick(TimePoint now, WallTime wall) {
  ClaimMessages out;
  latest_wall_time_ = std::max(latest_wall_time_, wall);
  for (auto& [index, shard] : shards_) {
    RemoveExpiredClaims(shard, latest_wall_time_);
    if (shard.owner && MayAct(index, shard, now)) {
      ResendCopies(index, shard, now, &out);
    }
  }
  return out;
}

}  // namespace dogwoodrail::core::once
