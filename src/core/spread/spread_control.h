#ifndef DOGWOODRAIL_CORE_SPREAD_SPREAD_CONTROL_H_
#define DOGWOODRAIL_CORE_SPREAD_SPREAD_CONTROL_H_

#include <vector>

#include "core/base/random_type.h"
#include "core/spread/freshness_control.h"
#include "core/spread/spread_type.h"
#include "core/spread/ticket_log.h"

namespace dogwoodrail::core::spread {

// Brings each accepted ticket to this node, and from it to its peers. The
// number in force never falls.
class SpreadControl {
 public:
  SpreadControl(SpreadSettings settings, ConfigurationHooks hooks,
                std::uint64_t seed);
  SpreadControl(const SpreadControl&) = delete;
  SpreadControl& operator=(const SpreadControl&) = delete;

  // Runs the timers; called each 100 ms or so with the present peers.
  std::vector<SpreadAction> Tick(const PeerView& view, base::TimePoint now);

  // A peer says that it has `number` in force: a rumour, or a link's greeting.
  std::vector<SpreadAction> OnPeerNumber(const base::NodeAddress& peer,
                                         base::TicketNumber number,
                                         base::TimePoint now);
  // Any word from a peer that shows this node is not cut off.
  void OnPeerContact(base::TimePoint now) { freshness_.NoteHeard(now); }
  // A peer asks.
  std::vector<SpreadAction> OnQuery(const base::NodeAddress& peer,
                                    const PeerQuery& ask, base::TimePoint now);
  // A peer answers.
  std::vector<SpreadAction> OnAnswer(const base::NodeAddress& peer,
                                     const PeerAnswer& answer,
                                     base::TimePoint now);

  // The head at the platform, from a read or a watch. A watch that ends
  // without news gives the number it waited after.
  std::vector<SpreadAction> OnPlatformValue(std::uint64_t call,
                                            base::TicketNumber head,
                                            base::TimePoint now);
  // The head at the platform with its state and the ticket that made it; the
  // state is taken only by a node that is far behind.
  std::vector<SpreadAction> OnPlatformHead(std::uint64_t call,
                                           const Snapshot& head,
                                           const Ticket& last,
                                           base::TimePoint now);
  // Tickets read at the platform.
  std::vector<SpreadAction> OnPlatformTickets(
      std::uint64_t call, const std::vector<Ticket>& tickets,
      base::TimePoint now);
  // A read or watch failed.
  std::vector<SpreadAction> OnPlatformFailed(std::uint64_t call,
                                             base::TimePoint now);

  // True if keyed requests may run on the number in force.
  bool IsFresh(base::TimePoint now) const { return freshness_.IsFresh(now); }
  // Number of the configuration in force; 0 before the first.
  base::TicketNumber in_force() const { return in_force_; }

 private:
  void CheckTime(base::TimePoint now);
  void Confirm(base::TimePoint now, std::vector<SpreadAction>* actions);
  void AskToConfirm(const PeerView& view, base::TimePoint now,
                    std::vector<SpreadAction>* actions);
  void Pull(const PeerView& view, base::TimePoint now,
            std::vector<SpreadAction>* actions);
  void UsePlatform(const PeerView& view, base::TimePoint now,
                   std::vector<SpreadAction>* actions);
  void NoteWanted(const base::NodeAddress& peer, base::TicketNumber number);
  void ApplyTickets(const std::vector<Ticket>& tickets,
                    std::vector<SpreadAction>* actions);
  void ApplySnapshot(const Snapshot& snapshot,
                     std::vector<SpreadAction>* actions);
  void AfterApply(std::vector<SpreadAction>* actions);
  bool TakeAnswerToken(base::TimePoint now);
  bool EndCall(std::uint64_t call);
  void ReportFreshness(base::TimePoint now, std::vector<SpreadAction>* actions);
  base::Duration Jitter(base::Duration bound);

  const SpreadSettings settings_;
  const ConfigurationHooks hooks_;
  base::Random random_;
  TicketLog log_;
  FreshnessControl freshness_;
  base::TicketNumber in_force_;

  // Pulling from peers.
  base::TicketNumber wanted_;               // highest number heard
  std::vector<base::NodeAddress> holders_;  // who said so, latest last
  base::TimePoint next_pull_{};

  // Confirming the number after a start or a pause.
  std::uint64_t next_sequence_;
  std::uint64_t first_valid_sequence_ = 0;  // asked since then
  std::size_t confirmations_ = 0;
  base::TimePoint next_confirm_{};
  bool reported_fresh_ = false;

  // Reading the platform.
  std::uint64_t open_call_ =
      0;  // 0: none; one from before a pause is forgotten
  std::uint64_t last_call_ = 0;
  base::TimePoint next_platform_{};
  base::Duration platform_backoff_{};
  base::TicketNumber platform_head_;

  double answer_tokens_;
  base::TimePoint tokens_at_{};
};

}  // namespace dogwoodrail::core::spread

#endif  // DOGWOODRAIL_CORE_SPREAD_SPREAD_CONTROL_H_
