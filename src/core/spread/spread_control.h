#ifndef DOGWOODRAIL_CORE_SPREAD_SPREAD_CONTROL_H_
#define DOGWOODRAIL_CORE_SPREAD_SPREAD_CONTROL_H_

#include <optional>
#include <vector>

#include "core/base/random_type.h"
#include "core/spread/freshness_control.h"
#include "core/spread/spread_type.h"
#include "core/spread/ticket_log.h"

namespace dogwoodrail::core::spread {

// Fetches accepted tickets from the platform or from peers, applies them and
// passes them on to peers. The number in force never decreases.
class SpreadControl {
 public:
  SpreadControl(SpreadSettings settings, ConfigurationHooks hooks,
                std::uint64_t seed);
  SpreadControl(const SpreadControl&) = delete;
  SpreadControl& operator=(const SpreadControl&) = delete;

  // Runs the timers. Called about every 100 ms with the current membership.
  std::vector<SpreadAction> Tick(const PeerView& view, base::TimePoint now);

  // Handles the number that a peer has in force, received by gossip.
  std::vector<SpreadAction> OnPeerNumber(const base::NodeAddress& peer,
                                         base::TicketNumber number,
                                         base::TimePoint now);
  // Handles any other message from a peer. It proves that this node is not
  // partitioned.
  void OnPeerContact(base::TimePoint now) { freshness_.NoteContact(now); }
  // Answers a query of a peer.
  std::vector<SpreadAction> OnQuery(const base::NodeAddress& peer,
                                    const PeerQuery& query,
                                    base::TimePoint now);
  // Handles the answer of a peer.
  std::vector<SpreadAction> OnAnswer(const base::NodeAddress& peer,
                                     const PeerAnswer& answer,
                                     base::TimePoint now);

  // Handles the head number returned by a platform read or watch. A watch that
  // ends without a change returns the number of the head that it started from.
  std::vector<SpreadAction> OnPlatformValue(std::uint64_t call,
                                            base::TicketNumber head,
                                            base::TimePoint now);
  // Handles the head returned by the platform with its full state and its last
  // ticket. The state is applied only if this node is far behind, or if there
  // is no `last`: the tickets of the platform do not continue those applied
  // here.
  std::vector<SpreadAction> OnPlatformHead(std::uint64_t call,
                                           const Snapshot& head,
                                           const std::optional<Ticket>& last,
                                           base::TimePoint now);
  // Handles tickets read from the platform.
  std::vector<SpreadAction> OnPlatformTickets(
      std::uint64_t call, const std::vector<Ticket>& tickets,
      base::TimePoint now);
  // Handles a failed platform read or watch.
  std::vector<SpreadAction> OnPlatformFailed(std::uint64_t call,
                                             base::TimePoint now);

  // Returns true if requests with an API key may run with the configuration in
  // force.
  bool IsFresh(base::TimePoint now) const { return freshness_.IsFresh(now); }
  // Number of the configuration in force, or 0 if there is none yet.
  base::TicketNumber in_force() const { return in_force_; }

 private:
  void HandlePause(base::TimePoint now);
  void TryConfirm(base::TimePoint now, std::vector<SpreadAction>* actions);
  void QueryPeersToConfirm(const PeerView& view, base::TimePoint now,
                           std::vector<SpreadAction>* actions);
  void Pull(const PeerView& view, base::TimePoint now,
            std::vector<SpreadAction>* actions);
  void QueryPlatform(const PeerView& view, base::TimePoint now,
                     std::vector<SpreadAction>* actions);
  // Confirms the number in force by a head that the platform returned.
  void ConfirmByPlatform(base::TicketNumber head, base::TimePoint now);
  // Returns true if a watch may go on from the head that the platform returned
  // last.
  bool MayWatch(base::TimePoint now) const;
  void NoteAvailable(const base::NodeAddress& peer, base::TicketNumber number);
  void ApplyTickets(const std::vector<Ticket>& tickets,
                    std::vector<SpreadAction>* actions);
  void ApplySnapshot(const Snapshot& snapshot,
                     std::vector<SpreadAction>* actions);
  void OnApplied(std::vector<SpreadAction>* actions);
  bool TakeAnswerToken(base::TimePoint now);
  bool FinishCall(std::uint64_t call);
  void ReportFreshness(base::TimePoint now, std::vector<SpreadAction>* actions);
  base::Duration Jitter(base::Duration bound);

  const SpreadSettings settings_;
  const ConfigurationHooks hooks_;
  base::Random random_;
  TicketLog log_;
  FreshnessControl freshness_;
  base::TicketNumber in_force_;

  // Pulling from peers.
  base::TicketNumber highest_seen_;
  std::vector<base::NodeAddress> holders_;  // have newer tickets, latest last
  base::TimePoint next_pull_{};

  // Confirming the number after a start or a pause.
  std::uint64_t next_sequence_;
  std::uint64_t first_valid_sequence_ = 0;  // first query since then
  std::size_t confirmations_ = 0;
  base::TimePoint next_confirm_{};
  bool reported_fresh_ = false;

  // Reading the platform.
  std::uint64_t open_call_ = 0;  // 0: none, or discarded after a pause
  std::uint64_t last_call_ = 0;
  base::TimePoint next_platform_{};
  base::Duration platform_backoff_{};
  base::TicketNumber platform_head_;  // returned last
  std::optional<base::TimePoint>
      platform_answered_at_;  // unset by a failure or pause

  double answer_tokens_;
  base::TimePoint tokens_at_{};
};

}  // namespace dogwoodrail::core::spread

#endif  // DOGWOODRAIL_CORE_SPREAD_SPREAD_CONTROL_H_
