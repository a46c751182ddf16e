#ifndef DOGWOODRAIL_CORE_MEMBER_SYNC_CONTROL_H_
#define DOGWOODRAIL_CORE_MEMBER_SYNC_CONTROL_H_

#include <vector>

#include "core/base/random_type.h"
#include "core/member/byte_budget.h"
#include "core/member/member_message_type.h"
#include "core/member/member_settings_type.h"
#include "core/member/member_store.h"
#include "core/member/seed_list.h"

namespace dogwoodrail::core::member {

// Anti-entropy. Compares digests by zone, then by bucket, with a peer, and
// exchanges the records of differing buckets. This delivers records that gossip
// missed, all records to a new node, and those of a zone that returns.
class SyncControl {
 public:
  SyncControl(const MemberSettings& settings, const MemberSelf& self,
              base::Random* random);

  // Sends requests when they are due.
  void Tick(const MemberStore& store, base::TimePoint now,
            std::vector<SendMemberMessage>* out);
  // Handles a sync message. The caller applies the records in it.
  void OnMessage(const MemberStore& store, const base::NodeAddress& from,
                 const MemberMessage& message, base::TimePoint now,
                 std::vector<SendMemberMessage>* out);
  // Counts `count` records of a sync message that were new to this node.
  void CountLearned(std::size_t count) { learned_ += count; }
  // Marks the view as not confirmed and possibly outdated after a pause of the
  // process, and sends requests with the next tick.
  void OnPause(base::TimePoint now);
  // Reloads the seeds after they have changed in the settings.
  void OnSeeds(base::TimePoint now);
  // Brings the next request forward to sync_fast_interval from now at the
  // latest, because queued records were dropped or many zones differ.
  void ScheduleSoon(base::TimePoint now);
  // Returns true once a peer has confirmed that this node's view is complete.
  bool IsConfirmed() const { return confirmed_; }

 private:
  void Restart(base::TimePoint now);
  base::Duration Interval() const;
  void SendRequest(const MemberStore& store,
                   std::vector<SendMemberMessage>* out);
  std::vector<base::NodeAddress> PickPeers(const MemberStore& store);
  void OnZones(const MemberStore& store, const base::NodeAddress& from,
               const MemberMessage& message,
               std::vector<SendMemberMessage>* out);
  void OnBuckets(const MemberStore& store, const base::NodeAddress& from,
                 const MemberMessage& message, base::TimePoint now,
                 std::vector<SendMemberMessage>* out);
  void OnAnswer(const MemberMessage& message, base::TimePoint now);
  void SendRecords(const MemberStore& store, const ZoneGroup& zone,
                   const std::vector<std::uint64_t>& theirs,
                   const base::NodeAddress& to, base::TimePoint now,
                   std::vector<SendMemberMessage>* out);

  const MemberSettings& settings_;
  const MemberSelf& self_;
  base::Random* random_;
  ByteBudget budget_;
  SeedList seeds_;
  base::TimePoint next_sync_{};
  base::TimePoint unconfirmed_since_{};
  std::uint64_t next_sequence_;
  std::uint64_t first_valid_sequence_;  // older answers do not confirm the view
  bool started_ = false;
  bool confirmed_ = false;
  bool maybe_outdated_ = false;  // the process paused and has no confirmation
  bool was_equal_ = false;       // the last answer showed no difference
  std::size_t requests_ = 0;     // sent while not confirmed
  std::size_t answers_ = 0;      // since the start or the last Restart
  std::size_t learned_ = 0;      // new records since the last answer
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_SYNC_CONTROL_H_
