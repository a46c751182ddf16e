#ifndef DOGWOODRAIL_CORE_MEMBER_MEMBER_TABLE_H_
#define DOGWOODRAIL_CORE_MEMBER_MEMBER_TABLE_H_

#include <functional>
#include <vector>

#include "core/base/random_type.h"
#include "core/member/byte_budget.h"
#include "core/member/member_message_type.h"
#include "core/member/member_settings_type.h"
#include "core/member/member_store.h"
#include "core/member/probe_control.h"
#include "core/member/rumour_queue.h"
#include "core/member/suspicion_control.h"
#include "core/member/sync_control.h"

namespace dogwoodrail::core::member {

// Membership of the nodes and their backend servers: gossip with a failure
// detector and suspicions, as in SWIM and Lifeguard. Each node holds the full
// list of members.
class MemberTable {
 public:
  // Called with each new rumour and its sender. If it returns true, the rumour
  // is forwarded at once; otherwise only after SpreadRumour is called with it.
  using RumourHook =
      std::function<bool(const base::NodeAddress& from, const Rumour&)>;

  MemberTable(MemberSelf self, MemberSettings settings, std::uint64_t seed);
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  // Handles a datagram received from `from`.
  std::vector<MemberAction> OnDatagram(const base::NodeAddress& from,
                                       const MemberMessage& message,
                                       base::TimePoint now);
  // Runs the timers. To be called about every 100 ms.
  std::vector<MemberAction> Tick(base::TimePoint now);
  // Announces the state of this node's backend server if it has changed.
  std::vector<MemberAction> SetBackend(const BackendState& backend,
                                       base::TimePoint now);
  // Announces that this node stops. Tick has to be called until that has
  // spread.
  std::vector<MemberAction> BeginLeave(base::TimePoint now);

  // Replaces the seeds and contacts them with the next tick.
  void SetSeeds(std::vector<base::NodeAddress> seeds, base::TimePoint now) {
    settings_.seeds = std::move(seeds);
    sync_.OnSeeds(now);
  }
  // Spreads a rumour of another module, or one that the hook held back. Returns
  // false if it is spreading already or a newer one is known.
  bool SpreadRumour(const Rumour& rumour);
  // Sets the function that is called with each rumour received for the first
  // time.
  void SetRumourHook(RumourHook hook) { rumour_hook_ = std::move(hook); }

  // Calls fn for each live member with a ready backend server of the service.
  void ForEachReady(const base::ServiceName& service,
                    const std::function<void(const MemberRecord&)>& fn) const;
  // Calls fn for each member, including this node and dead ones.
  void ForEach(const std::function<void(const MemberRecord&)>& fn) const;
  // Returns the record of a node, or nullptr if it is unknown.
  const MemberRecord* Find(const base::NodeAddress& address) const;
  // Returns false after a start or a pause until a peer has confirmed this
  // node's view.
  bool IsConfirmed() const { return sync_.IsConfirmed(); }
  // Return this node's identity and its own record.
  const MemberSelf& self() const { return self_; }
  const MemberRecord& own_record() const { return own_; }
  // Number of live members, including this node.
  std::size_t live_count() const { return store_.live_count(); }
  // Returns the store, for digests and the choice of peers.
  const MemberStore& store() const { return store_; }

 private:
  void CheckPause(base::TimePoint now, std::vector<MemberAction>* actions);
  void PublishOwn(base::TimePoint now);
  void ApplyRecord(const MemberRecord& record, bool spread, base::TimePoint now,
                   std::vector<MemberAction>* actions);
  void ApplyRumour(const base::NodeAddress& from, const Rumour& rumour);
  void RefuteOwnRecord(const MemberRecord& record, base::TimePoint now);
  void NotifyChange(const RecordChange& change, const MemberRecord& record,
                    std::vector<MemberAction>* actions);
  void ConfirmSuspicion(const MemberRecord& record, base::TimePoint now);
  void CorrectSender(const base::NodeAddress& from,
                     const MemberMessage& message,
                     std::vector<SendMemberMessage>* out);
  void ApplyProbeResults(const std::vector<ProbeResult>& results,
                         base::TimePoint now,
                         std::vector<MemberAction>* actions);
  void FailExpiredSuspects(base::TimePoint now,
                           std::vector<MemberAction>* actions);
  void Gossip(base::TimePoint now, std::vector<SendMemberMessage>* out);
  void FinishMessages(std::vector<SendMemberMessage> out,
                      std::vector<MemberAction>* actions);
  void Piggyback(MemberMessage* message);
  std::size_t MaxSends() const;

  const MemberSelf self_;
  MemberSettings settings_;  // sync_ refers to it
  base::Random random_;
  MemberStore store_;
  RumourQueue queue_;
  SuspicionControl suspicions_;
  ProbeControl probes_;
  SyncControl sync_;
  ByteBudget gossip_budget_;
  RumourHook rumour_hook_;
  MemberRecord own_;
  bool was_confirmed_ = false;
  bool ticked_ = false;
  base::TimePoint last_tick_{};
  base::TimePoint next_gossip_{};
  base::TimePoint next_cleanup_{};
  std::size_t last_overflow_count_ = 0;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_MEMBER_TABLE_H_
