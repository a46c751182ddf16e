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

// Membership of the nodes and of the backend servers beside them, by gossip
// with suspicion. Each node holds the full list.
class MemberTable {
 public:
  // Called with each new rumour and who told it. True passes it on at once;
  // false holds it back until SpreadRumour is called with it.
  using RumourHook =
      std::function<bool(const base::NodeAddress& from, const Rumour&)>;

  MemberTable(MemberSelf self, MemberSettings settings, std::uint64_t seed);
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  // Handles a datagram that came from `from`.
  std::vector<MemberAction> OnDatagram(const base::NodeAddress& from,
                                       const MemberMessage& message,
                                       base::TimePoint now);
  // Runs the timers; called each 100 ms or so.
  std::vector<MemberAction> Tick(base::TimePoint now);
  // Announces the backend server beside this node, if it changed.
  std::vector<MemberAction> SetBackend(const BackendState& backend,
                                       base::TimePoint now);
  // Tells the others that this node stops. Ticks go on until it has spread.
  std::vector<MemberAction> BeginLeave(base::TimePoint now);

  // Replaces the seeds, and asks them soon.
  void SetSeeds(std::vector<base::NodeAddress> seeds, base::TimePoint now) {
    settings_.seeds = std::move(seeds);
    sync_.OnSeeds(now);
  }
  // Spreads a rumour of another module, or one that was held back; false if it
  // is spreading already or a newer one is known.
  bool SpreadRumour(const Rumour& rumour);
  // Sets what is called with each rumour heard for the first time.
  void SetRumourHook(RumourHook hook) { rumour_hook_ = std::move(hook); }

  // Calls fn for each live member whose backend server is ready for service.
  void ForEachReady(const base::ServiceName& service,
                    const std::function<void(const MemberRecord&)>& fn) const;
  // Calls fn for each member, this node and dead ones included.
  void ForEach(const std::function<void(const MemberRecord&)>& fn) const;
  // Returns what is held of a node, or nullptr.
  const MemberRecord* Find(const base::NodeAddress& address) const;
  // False until a peer has confirmed the view, after a start or a pause.
  bool IsConfirmed() const { return sync_.IsConfirmed(); }
  // This node's identity, and its own record.
  const MemberSelf& self() const { return self_; }
  const MemberRecord& own_record() const { return own_; }
  // Number of live members, this node included.
  std::size_t live_count() const { return store_.live_count(); }
  // The table itself, for digests and choice of peers.
  const MemberStore& store() const { return store_; }

 private:
  void CheckPause(base::TimePoint now, std::vector<MemberAction>* actions);
  void PublishOwn(base::TimePoint now);
  void Learn(const MemberRecord& record, bool spread, base::TimePoint now,
             std::vector<MemberAction>* actions);
  void LearnRumour(const base::NodeAddress& from, const Rumour& rumour);
  void LearnOwn(const MemberRecord& record, base::TimePoint now);
  void AfterChange(const RecordChange& change, const MemberRecord& record,
                   std::vector<MemberAction>* actions);
  void ConfirmSuspicion(const MemberRecord& record, base::TimePoint now);
  void CorrectSender(const base::NodeAddress& from,
                     const MemberMessage& message,
                     std::vector<SendMemberMessage>* out);
  void TakeProbeResults(const std::vector<ProbeResult>& results,
                        base::TimePoint now,
                        std::vector<MemberAction>* actions);
  void FailExpired(base::TimePoint now, std::vector<MemberAction>* actions);
  void Gossip(base::TimePoint now, std::vector<SendMemberMessage>* out);
  void Emit(std::vector<SendMemberMessage> out,
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
  std::size_t seen_overflow_ = 0;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_MEMBER_TABLE_H_
