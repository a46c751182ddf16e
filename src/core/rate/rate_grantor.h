#ifndef DOGWOODRAIL_CORE_RATE_RATE_GRANTOR_H_
#define DOGWOODRAIL_CORE_RATE_RATE_GRANTOR_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/rate/rate_ledger.h"
#include "core/rate/rate_type.h"

namespace dogwoodrail::core::rate {

// Callbacks by which a grantor queries the ownership of a shard.
struct RateAuthority {
  // Returns the epoch in which this node owns the shard; 0 if it does not.
  std::function<Epoch(ShardIndex, TimePoint)> epoch;
  // Returns the standby to replicate to; nullopt if the node acts alone.
  std::function<std::optional<MemberId>(ShardIndex, TimePoint)> standby;
};

// Grants tokens for the accounts of the shards that this node owns, and keeps
// replicas of the ledgers of shards for which it is the standby.
class RateGrantor {
 public:
  RateGrantor(RateSettings settings, RateAuthority authority);
  virtual ~RateGrantor() = default;

  // Sets the rate and burst of an account.
  void OnConfig(const AccountName& account, RateLimit limit, TimePoint now);
  // Ends the limit of an account: its tokens are granted no more.
  void OnRemoved(const AccountName& account);

  // Creates the ledger of an account, if this node owns the shard, so that it
  // accrues tokens before the first request.
  void EnsureLedger(ShardIndex shard, const AccountName& account,
                    TimePoint now);

  // Handles a request of a holder. The reply is sent at once, or when the
  // standby has acknowledged the update.
  RateActions OnRequest(const MemberId& from, const RateRequest& request,
                        TimePoint now);
  // Applies an update of the primary, as standby.
  RateActions OnCopy(const MemberId& from, const RateCopy& copy, TimePoint now);
  // Sends the replies that waited for this acknowledgement.
  RateActions OnCopyAck(const MemberId& from, const RateCopyAck& ack,
                        TimePoint now);

  // Takes over the ledgers of a shard that this node owns from now on.
  void OnAuthorityGained(ShardIndex shard, Epoch epoch, shard::History history,
                         TimePoint now);
  // Sends a snapshot to the new standby. Without a standby, sends the replies
  // that waited for one.
  RateActions OnStandbyChanged(ShardIndex shard,
                               const std::optional<MemberId>& standby,
                               TimePoint now);
  // Drops the ledgers of a shard unless this node is its primary or standby.
  void OnOwnerChanged(ShardIndex shard, bool in_pair);

  // Resends snapshots until the standbys acknowledge them.
  RateActions Tick(TimePoint now);

  // Number of accounts with a ledger.
  std::size_t ledger_count() const;
  // Returns the ledger of an account, or null.
  const RateLedger* FindLedger(ShardIndex shard,
                               const AccountName& account) const;

 protected:
  // Creates a ledger. Tests override it to inject faults.
  virtual std::unique_ptr<RateLedger> MakeLedger(RateLimit limit,
                                                 TimePoint now);

 private:
  struct WaitingReply {
    MemberId to;
    RateReply reply;
    CopyIndex index;
  };
  struct Account {
    std::unique_ptr<RateLedger> ledger;
    bool synced = false;  // the full account has been sent to the standby
    TimePoint copy_sent_at;
    CopyIndex last_index;
    std::vector<WaitingReply> waiting;
  };
  struct Shard {
    Epoch epoch;  // recorded epoch of the ledgers
    bool owned = false;
    bool snapshot_complete = false;  // as standby: all accounts received
    TimePoint grants_unknown_since;
    // Unknown grants of the predecessor may still be valid.
    bool grants_unknown = false;
    bool snapshot_acked = false;
    TimePoint next_snapshot;
    std::optional<MemberId> standby;
    std::map<AccountName, Account> accounts;
  };

  Account* FindOrCreate(Shard* shard, const AccountName& name, TimePoint now);
  void HandleRequest(Shard* shard, Account* account, const MemberId& from,
                     const RateRequest& request, RateReply reply,
                     TimePoint now);
  RateReply MakeReply(const RateRequest& request, Epoch epoch) const;
  void SendCopy(Shard* shard, const AccountName& name, Account* account,
                ShardIndex index, const MemberId* holder, TimePoint now);
  void SendSnapshot(Shard* shard, ShardIndex index, TimePoint now);
  void ReleaseReplies(Account* account, Epoch epoch);
  void QueueReply(Account* account, const MemberId& to, RateReply reply);
  RateActions TakeActions();

  RateSettings settings_;
  RateAuthority authority_;
  std::map<AccountName, RateLimit> limits_;
  std::map<ShardIndex, Shard> shards_;
  RateActions actions_;
};

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_RATE_GRANTOR_H_
