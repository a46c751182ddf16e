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

// What the grantor asks about its ownership of shards.
struct RateAuthority {
  // Epoch this node acts under; 0 without authority.
  std::function<Epoch(ShardIndex, TimePoint)> epoch;
  // Standby to copy to; none if the node acts alone.
  std::function<std::optional<MemberId>(ShardIndex, TimePoint)> standby;
};

// Grants tokens of the accounts whose shards this node owns, and keeps copies
// for those whose standby it is.
class RateGrantor {
 public:
  RateGrantor(RateSettings settings, RateAuthority authority);
  virtual ~RateGrantor() = default;

  // Puts the rate and burst of an account in force.
  void OnConfig(const AccountName& account, RateLimit row, TimePoint now);
  // Forgets an account.
  void OnRemoved(const AccountName& account);

  // Makes the ledger of an account in a shard that this node owns, so that it
  // accrues before the first request.
  void EnsureLedger(ShardIndex shard, const AccountName& account,
                    TimePoint now);

  // Answers a holder, at once or when the standby has the copy.
  RateActions OnRequest(const MemberId& from, const RateRequest& request,
                        TimePoint now);
  // Keeps a copy as standby.
  RateActions OnCopy(const MemberId& from, const RateCopy& copy, TimePoint now);
  // Releases the answers that waited for a copy.
  RateActions OnCopyAck(const MemberId& from, const RateCopyAck& ack,
                        TimePoint now);

  // Follows the ownership of shards.
  void OnAuthorityGained(ShardIndex shard, Epoch epoch, shard::History history,
                         TimePoint now);
  RateActions OnStandbyChanged(ShardIndex shard,
                               const std::optional<MemberId>& standby,
                               TimePoint now);
  // Forgets the ledgers of a shard that others own now.
  void OnOwnerChanged(ShardIndex shard, bool in_pair);

  // Sends snapshots to new standbys until they have them.
  RateActions Tick(TimePoint now);

  // Number of accounts with a ledger.
  std::size_t ledger_count() const;
  // Returns the ledger of an account, or null.
  const RateLedger* FindLedger(ShardIndex shard,
                               const AccountName& account) const;

 protected:
  // Makes the ledger of an account; tests return faulty ones.
  virtual std::unique_ptr<RateLedger> MakeLedger(RateLimit row, TimePoint now);

 private:
  struct WaitingReply {
    MemberId to;
    RateReply reply;
    CopyIndex index;
  };
  struct Account {
    std::unique_ptr<RateLedger> ledger;
    bool synced = false;  // the standby has had the whole account
    TimePoint copied;     // when the last copy was sent
    CopyIndex last_index;
    std::vector<WaitingReply> waiting;
  };
  struct Shard {
    Epoch epoch;  // recorded epoch that the ledgers belong to
    bool owned = false;
    bool complete = false;  // as standby: the snapshot has ended
    TimePoint unknown_from;
    bool unknown = false;  // the predecessor's grants may not have lapsed
    bool snapshot_acked = false;
    TimePoint next_snapshot;
    std::optional<MemberId> standby;
    std::map<AccountName, Account> accounts;
  };

  Account* FindOrMake(Shard* shard, const AccountName& name, TimePoint now);
  void Answer(Shard* shard, Account* account, const MemberId& from,
              const RateRequest& request, RateReply reply, TimePoint now);
  RateReply MakeReply(const RateRequest& request, Epoch epoch) const;
  void SendCopy(Shard* shard, const AccountName& name, Account* account,
                ShardIndex index, const MemberId* holder, TimePoint now);
  void SendSnapshot(Shard* shard, ShardIndex index, TimePoint now);
  void ReleaseAll(Account* account, Epoch epoch);
  void QueueReply(Account* account, const MemberId& to, RateReply reply);
  RateActions TakeActions();

  RateSettings settings_;
  RateAuthority authority_;
  std::map<AccountName, RateLimit> rows_;
  std::map<ShardIndex, Shard> shards_;
  RateActions actions_;
};

}  // namespace dogwoodrail::core::rate

#endif  // DOGWOODRAIL_CORE_RATE_RATE_GRANTOR_H_
