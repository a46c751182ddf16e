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

// Anti-entropy: compares digests by zone, then by bucket, with one peer at a
// time, and exchanges the records of buckets that differ. It repairs what
// rumours missed, fills a fresh node, and carries a zone that returns.
class SyncControl {
 public:
  SyncControl(const MemberSettings& settings, const MemberSelf& self,
              base::Random* random);

  // Sends a request when it is time.
  void Tick(const MemberStore& store, base::TimePoint now,
            std::vector<SendMemberMessage>* out);
  // Handles a sync message; records in it are taken in by the caller.
  void OnMessage(const MemberStore& store, const base::NodeAddress& from,
                 const MemberMessage& message, base::TimePoint now,
                 std::vector<SendMemberMessage>* out);
  // Notes that `count` records of a sync message were news.
  void NoteLearned(std::size_t count) { learned_ += count; }
  // Trusts the view no longer, and asks for it anew at once.
  void Restart(base::TimePoint now);
  // Takes the seeds of the settings, which have changed.
  void OnSeeds(base::TimePoint now);
  // Asks soon, because rumours were dropped.
  void Hasten(base::TimePoint now);
  // True once a peer has shown that this view is whole.
  bool IsConfirmed() const { return confirmed_; }

 private:
  base::Duration Interval() const;
  void SendRequest(const MemberStore& store,
                   std::vector<SendMemberMessage>* out);
  std::vector<base::NodeAddress> PickPartners(const MemberStore& store);
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
  std::uint64_t first_valid_sequence_;  // asked since the view was distrusted
  bool started_ = false;
  bool confirmed_ = false;
  std::size_t answers_ = 0;  // since the view was last distrusted
  std::size_t learned_ = 0;  // records since the last answer
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_SYNC_CONTROL_H_
