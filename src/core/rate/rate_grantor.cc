#include "core/rate/rate_grantor.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::core::rate {
namespace {

// Returns the recorded epoch that an epoch belongs to. Recorded epochs are
// even; a solo epoch is its recorded epoch plus one.
Epoch RecordedEpoch(Epoch epoch) { return Epoch(epoch.value() & ~1ULL); }

// Returns the epoch in which a standby that takes over at `epoch` received its
// updates: the recorded epoch of a solo epoch, or the recorded epoch before a
// recorded one.
Epoch StandbyCopyEpoch(Epoch epoch) {
  const Epoch recorded = RecordedEpoch(epoch);
  const bool solo = recorded != epoch;
  return solo ? recorded : Epoch(recorded.value() - 2);
}

constexpr Duration kSnapshotInterval = std::chrono::milliseconds(300);

}  // namespace

RateGrantor::RateGrantor(RateSettings settings, RateAuthority authority)
    : settings_(settings), authority_(std::move(authority)) {}

std::unique_ptr<RateLedger> RateGrantor::MakeLedger(RateLimit limit,
                                                    TimePoint now) {
  return std::make_unique<RateLedger>(limit, settings_, now);
}

RateActions RateGrantor::TakeActions() { return std::exchange(actions_, {}); }

void RateGrantor::OnConfig(const AccountName& account, RateLimit limit,
                           TimePoint now) {
  const auto [it, added] = limits_.try_emplace(account, limit);
  if (!added && it->second == limit) return;
  it->second = limit;
  for (auto& [index, shard] : shards_) {
    const auto found = shard.accounts.find(account);
    if (found != shard.accounts.end()) {
      found->second.ledger->SetLimit(limit, now);
    }
  }
}

void RateGrantor::OnRemoved(const AccountName& account) {
  limits_.erase(account);
}

RateGrantor::Account* RateGrantor::FindOrCreate(Shard* shard,
                                                const AccountName& name,
                                                TimePoint now) {
  const auto limit = limits_.find(name);
  if (limit == limits_.end()) return nullptr;
  const auto it = shard->accounts.find(name);
  if (it != shard->accounts.end()) return &it->second;
  Account& account = shard->accounts[name];
  account.ledger = MakeLedger(limit->second, now);
  if (shard->grants_unknown) {
    account.ledger->AssumeFullyGranted(shard->grants_unknown_since);
  }
  return &account;
}

void RateGrantor::EnsureLedger(ShardIndex index, const AccountName& account,
                               TimePoint now) {
  const auto shard = shards_.find(index);
  if (shard == shards_.end() || !shard->second.owned) return;
  FindOrCreate(&shard->second, account, now);
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
    account = FindOrCreate(&shard, request.account, now);
    if (account == nullptr) reply.status = RateReplyStatus::kUnknownAccount;
  }
  if (account == nullptr) {
    actions_.emplace_back(SendRateReply{from, std::move(reply)});
  } else {
    HandleRequest(&shard, account, from, request, std::move(reply), now);
  }
  return TakeActions();
}

// A retransmitted request gets the same reply as the original. Tokens are sent
// only once the standby has acknowledged the grant, so that the replica covers
// every token that a holder may spend. A reply that neither grants nor renews
// tokens needs no update.
void RateGrantor::HandleRequest(Shard* shard, Account* account,
                                const MemberId& from,
                                const RateRequest& request, RateReply reply,
                                TimePoint now) {
  RateLedger& ledger = *account->ledger;
  const bool is_new = ledger.IsNew(from, request.sequence);
  if (!is_new && !ledger.IsRepeat(from, request.sequence)) return;
  reply.granted =
      is_new ? ledger.Grant(from, request, now) : ledger.LastGrant(from);
  if (reply.granted < request.needed) {
    reply.retry_after = ledger.TimeUntil(1, now);
  }
  reply.holders = static_cast<std::uint32_t>(ledger.holder_count());
  if (now < ledger.blocked_until()) {
    reply.status = RateReplyStatus::kUnavailable;
  }
  const auto standby = authority_.standby(request.shard, now);
  if (!standby && is_new) account->synced = false;
  if (!standby || ledger.OutstandingOf(from) == 0) {
    actions_.emplace_back(SendRateReply{from, std::move(reply)});
    return;
  }
  const bool resend = now >= account->copy_sent_at + settings_.resend_interval;
  if (!is_new && resend) account->synced = false;
  if (is_new || resend) {
    SendCopy(shard, request.account, account, request.shard, &from, now);
  }
  QueueReply(account, from, std::move(reply));
}

// At most one reply waits for each holder: a newer request replaces the older.
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
  account->copy_sent_at = now;
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

// Updates of an older epoch come from a former primary and are ignored.
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
    shard.snapshot_complete = shard.accounts.size() >= copy.index.value();
    ack.accepted = shard.snapshot_complete;
  } else {
    const bool known = shard.accounts.count(copy.account) != 0;
    const bool whole = copy.kind == RateCopyKind::kAccount;
    Account* account = nullptr;
    if (known || whole) account = FindOrCreate(&shard, copy.account, now);
    ack.accepted = account != nullptr && account->ledger->Apply(copy, now);
  }
  actions_.emplace_back(SendRateCopyAck{from, std::move(ack)});
  return TakeActions();
}

// Without a complete replica the predecessor's grants are unknown, and block
// new ones until they have expired.
void RateGrantor::OnAuthorityGained(ShardIndex index, Epoch epoch,
                                    shard::History history, TimePoint now) {
  Shard& shard = shards_[index];
  const Epoch recorded = RecordedEpoch(epoch);
  const bool kept = history == shard::History::kKept && shard.owned;
  const bool copied = history == shard::History::kStandbyCopy &&
                      shard.snapshot_complete &&
                      shard.epoch == StandbyCopyEpoch(epoch);
  if (!kept && !copied) {
    shard = Shard();
    if (history != shard::History::kNone) {
      shard.grants_unknown = true;
      shard.grants_unknown_since = now;
    }
  }
  shard.epoch = recorded;
  shard.owned = true;
  shard.snapshot_complete = false;
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
    if (!standby) ReleaseReplies(&account, epoch);
  }
  if (standby) SendSnapshot(&shard, index, now);
  return TakeActions();
}

void RateGrantor::ReleaseReplies(Account* account, Epoch epoch) {
  if (epoch == Epoch()) return;
  for (WaitingReply& it : account->waiting) {
    it.reply.epoch = epoch;
    actions_.emplace_back(SendRateReply{it.to, it.reply});
  }
  account->waiting.clear();
}

// The kSnapshotEnd message carries the number of accounts, by which the standby
// detects missing ones. It is not sent while the predecessor's grants are
// unknown, because the snapshot lacks them.
void RateGrantor::SendSnapshot(Shard* shard, ShardIndex index, TimePoint now) {
  shard->next_snapshot = now + kSnapshotInterval;
  for (auto& [name, account] : shard->accounts) {
    SendCopy(shard, name, &account, index, nullptr, now);
  }
  const auto standby = authority_.standby(index, now);
  if (shard->grants_unknown || !standby) return;
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
    if (shard.grants_unknown && now >= shard.grants_unknown_since + lease) {
      shard.grants_unknown = false;
    }
    const bool due = shard.owned && shard.standby && !shard.snapshot_acked &&
                     !shard.grants_unknown && now >= shard.next_snapshot;
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
