#include "core/rate/rate_grantor.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::core::rate {
namespace {

// Epoch of the record that an epoch belongs to.
Epoch RecordedEpoch(Epoch epoch) { return Epoch(epoch.value() & ~1ULL); }

// Epoch in which a standby that takes over at `epoch` received its copies. A
// solo epoch belongs to that record; a recorded one follows it.
Epoch CopiedEpoch(Epoch epoch) {
  const Epoch recorded = RecordedEpoch(epoch);
  const bool solo = recorded != epoch;
  return solo ? recorded : Epoch(recorded.value() - 2);
}

constexpr Duration kSnapshotInterval = std::chrono::milliseconds(300);

}  // namespace

RateGrantor::RateGrantor(RateSettings settings, RateAuthority authority)
    : settings_(settings), authority_(std::move(authority)) {}

std::unique_ptr<RateLedger> RateGrantor::MakeLedger(RateLimit row,
                                                    TimePoint now) {
  return std::make_unique<RateLedger>(row, settings_, now);
}

RateActions RateGrantor::TakeActions() { return std::exchange(actions_, {}); }

void RateGrantor::OnConfig(const AccountName& account, RateLimit row,
                           TimePoint now) {
  const auto [it, added] = rows_.try_emplace(account, row);
  if (!added && it->second == row) return;
  it->second = row;
  for (auto& [index, shard] : shards_) {
    const auto found = shard.accounts.find(account);
    if (found != shard.accounts.end()) found->second.ledger->SetLimit(row, now);
  }
}

void RateGrantor::OnRemoved(const AccountName& account) {
  rows_.erase(account);
}

RateGrantor::Account* RateGrantor::FindOrMake(Shard* shard,
                                              const AccountName& name,
                                              TimePoint now) {
  const auto row = rows_.find(name);
  if (row == rows_.end()) return nullptr;
  const auto it = shard->accounts.find(name);
  if (it != shard->accounts.end()) return &it->second;
  Account& account = shard->accounts[name];
  account.ledger = MakeLedger(row->second, now);
  if (shard->unknown) account.ledger->AssumeFullyGranted(shard->unknown_from);
  return &account;
}

void RateGrantor::EnsureLedger(ShardIndex index, const AccountName& account,
                               TimePoint now) {
  const auto shard = shards_.find(index);
  if (shard == shards_.end() || !shard->second.owned) return;
  FindOrMake(&shard->second, account, now);
}

RateReply RateGrantor::MakeReply(const RateRequest& request,
                                 Epoch epoch) const {
  RateReply reply;
  reply.account = request.account;
  reply.shard = request.shard;
  reply.epoch = epoch;
  reply.sequence = request.sequence;
  return reply;
}

RateActions RateGrantor::OnRequest(const MemberId& from,
                                   const RateRequest& request, TimePoint now) {
  const Epoch epoch = authority_.epoch(request.shard, now);
  RateReply reply = MakeReply(request, epoch);
  Shard& shard = shards_[request.shard];
  Account* account = nullptr;
  if (epoch == Epoch() || !shard.owned) {
    reply.status = RateReplyStatus::kNotOwner;
  } else {
    account = FindOrMake(&shard, request.account, now);
    if (account == nullptr) reply.status = RateReplyStatus::kUnknownAccount;
  }
  if (account == nullptr) {
    actions_.emplace_back(SendRateReply{from, std::move(reply)});
  } else {
    Answer(&shard, account, from, request, std::move(reply), now);
  }
  return TakeActions();
}

// A repeated request gets the answer of the first. Tokens leave only when the
// standby has the grant, so that its copy is never behind what a holder may
// spend. An answer that neither grants nor renews tokens needs no copy.
void RateGrantor::Answer(Shard* shard, Account* account, const MemberId& from,
                         const RateRequest& request, RateReply reply,
                         TimePoint now) {
  RateLedger& ledger = *account->ledger;
  const bool is_new = ledger.IsNew(from, request.sequence);
  if (!is_new && !ledger.IsLast(from, request.sequence)) return;
  reply.granted =
      is_new ? ledger.Grant(from, request, now) : ledger.LastGrant(from);
  if (reply.granted < request.needed) {
    reply.retry_after = ledger.TimeUntil(1, now);
  }
  reply.holders = static_cast<std::uint32_t>(ledger.holder_count());
  if (now < ledger.unknown_until()) {
    reply.status = RateReplyStatus::kUnavailable;
  }
  const auto standby = authority_.standby(request.shard, now);
  if (!standby && is_new) account->synced = false;
  if (!standby || ledger.OutstandingOf(from) == 0) {
    actions_.emplace_back(SendRateReply{from, std::move(reply)});
    return;
  }
  const bool resend = now >= account->copied + settings_.resend_interval;
  if (!is_new && resend) account->synced = false;
  if (is_new || resend) {
    SendCopy(shard, request.account, account, request.shard, &from, now);
  }
  QueueReply(account, from, std::move(reply));
}

// One answer waits for each holder: a newer request makes the older void.
void RateGrantor::QueueReply(Account* account, const MemberId& to,
                             RateReply reply) {
  auto& waiting = account->waiting;
  const auto same = [&](const WaitingReply& it) { return it.to == to; };
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(), same),
                waiting.end());
  waiting.push_back({to, std::move(reply), account->last_index});
}

void RateGrantor::SendCopy(Shard* shard, const AccountName& name,
                           Account* account, ShardIndex index,
                           const MemberId* holder, TimePoint now) {
  const auto standby = authority_.standby(index, now);
  if (!standby) return;
  if (shard->standby != standby) {
    shard->standby = standby;
    for (auto& [other, it] : shard->accounts) it.synced = false;
  }
  const bool whole = !account->synced || holder == nullptr;
  RateCopy copy = account->ledger->Copy(whole ? nullptr : holder, now);
  copy.shard = index;
  copy.epoch = shard->epoch;
  copy.account = name;
  account->synced = true;
  account->copied = now;
  account->last_index = copy.index;
  actions_.emplace_back(SendRateCopy{*standby, std::move(copy)});
}

RateActions RateGrantor::OnCopyAck(const MemberId& from, const RateCopyAck& ack,
                                   TimePoint now) {
  const auto shard = shards_.find(ack.shard);
  if (shard == shards_.end() || shard->second.standby != from) return {};
  if (shard->second.epoch != ack.epoch) return {};
  if (ack.kind == RateCopyKind::kSnapshotEnd) {
    shard->second.snapshot_acked = ack.accepted;
    return {};
  }
  const auto it = shard->second.accounts.find(ack.account);
  if (it == shard->second.accounts.end()) return {};
  Account& account = it->second;
  if (!ack.accepted) {
    if (account.synced) {
      SendCopy(&shard->second, ack.account, &account, ack.shard, nullptr, now);
    }
    return TakeActions();
  }
  const Epoch epoch = authority_.epoch(ack.shard, now);
  auto& waiting = account.waiting;
  for (WaitingReply& reply : waiting) {
    if (ack.index < reply.index || epoch == Epoch()) continue;
    reply.reply.epoch = epoch;
    actions_.emplace_back(SendRateReply{reply.to, reply.reply});
  }
  const auto done = [&](const WaitingReply& reply) {
    return !(ack.index < reply.index);
  };
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(), done),
                waiting.end());
  return TakeActions();
}

// Copies of an older epoch come from a former primary and are refused.
RateActions RateGrantor::OnCopy(const MemberId& from, const RateCopy& copy,
                                TimePoint now) {
  Shard& shard = shards_[copy.shard];
  RateCopyAck ack{copy.kind,    copy.shard, copy.epoch,
                  copy.account, copy.index, false};
  const bool outdated = copy.epoch < shard.epoch;
  if (outdated || (shard.owned && copy.epoch == shard.epoch)) return {};
  if (shard.epoch < copy.epoch) {
    shard = Shard();
    shard.epoch = copy.epoch;
  }
  if (copy.kind == RateCopyKind::kSnapshotEnd) {
    shard.complete = shard.accounts.size() >= copy.index.value();
    ack.accepted = shard.complete;
  } else {
    const bool known = shard.accounts.count(copy.account) != 0;
    const bool whole = copy.kind == RateCopyKind::kAccount;
    Account* account = nullptr;
    if (known || whole) account = FindOrMake(&shard, copy.account, now);
    ack.accepted = account != nullptr && account->ledger->Apply(copy, now);
  }
  actions_.emplace_back(SendRateCopyAck{from, std::move(ack)});
  return TakeActions();
}

// Without a whole copy the predecessor's grants are unknown until they have
// lapsed.
void RateGrantor::OnAuthorityGained(ShardIndex index, Epoch epoch,
                                    shard::History history, TimePoint now) {
  Shard& shard = shards_[index];
  const Epoch recorded = RecordedEpoch(epoch);
  const bool kept = history == shard::History::kKept && shard.owned;
  const bool copied = history == shard::History::kStandbyCopy &&
                      shard.complete && shard.epoch == CopiedEpoch(epoch);
  if (!kept && !copied) {
    shard = Shard();
    if (history != shard::History::kNone) {
      shard.unknown = true;
      shard.unknown_from = now;
    }
  }
  shard.epoch = recorded;
  shard.owned = true;
  shard.complete = false;
}

RateActions RateGrantor::OnStandbyChanged(
    ShardIndex index, const std::optional<MemberId>& standby, TimePoint now) {
  Shard& shard = shards_[index];
  if (!shard.owned) return {};
  shard.standby = standby;
  shard.snapshot_acked = false;
  shard.next_snapshot = now;
  const Epoch epoch = authority_.epoch(index, now);
  for (auto& [name, account] : shard.accounts) {
    account.synced = false;
    if (!standby) ReleaseAll(&account, epoch);
  }
  if (standby) SendSnapshot(&shard, index, now);
  return TakeActions();
}

void RateGrantor::ReleaseAll(Account* account, Epoch epoch) {
  if (epoch == Epoch()) return;
  for (WaitingReply& it : account->waiting) {
    it.reply.epoch = epoch;
    actions_.emplace_back(SendRateReply{it.to, it.reply});
  }
  account->waiting.clear();
}

// The end counts the accounts; a standby that lacks one is not complete. While
// the predecessor's grants are unknown, no copy could be complete.
void RateGrantor::SendSnapshot(Shard* shard, ShardIndex index, TimePoint now) {
  shard->next_snapshot = now + kSnapshotInterval;
  for (auto& [name, account] : shard->accounts) {
    SendCopy(shard, name, &account, index, nullptr, now);
  }
  const auto standby = authority_.standby(index, now);
  if (shard->unknown || !standby) return;
  RateCopy end;
  end.kind = RateCopyKind::kSnapshotEnd;
  end.shard = index;
  end.epoch = shard->epoch;
  end.index = CopyIndex(shard->accounts.size());
  actions_.emplace_back(SendRateCopy{*standby, std::move(end)});
}

void RateGrantor::OnOwnerChanged(ShardIndex shard, bool in_pair) {
  if (!in_pair) shards_.erase(shard);
}

RateActions RateGrantor::Tick(TimePoint now) {
  const Duration lease = settings_.grant_lease + settings_.lease_margin;
  for (auto& [index, shard] : shards_) {
    if (shard.unknown && now >= shard.unknown_from + lease) {
      shard.unknown = false;
    }
    const bool due = shard.owned && shard.standby && !shard.snapshot_acked &&
                     !shard.unknown && now >= shard.next_snapshot;
    if (due) SendSnapshot(&shard, index, now);
  }
  return TakeActions();
}

std::size_t RateGrantor::ledger_count() const {
  std::size_t n = 0;
  for (const auto& [index, shard] : shards_) n += shard.accounts.size();
  return n;
}

const RateLedger* RateGrantor::FindLedger(ShardIndex shard,
                                          const AccountName& account) const {
  const auto it = shards_.find(shard);
  if (it == shards_.end()) return nullptr;
  const auto found = it->second.accounts.find(account);
  if (found == it->second.accounts.end()) return nullptr;
  return found->second.ledger.get();
}

}  // namespace dogwoodrail::core::rate
