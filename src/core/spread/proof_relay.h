#ifndef DOGWOODRAIL_CORE_SPREAD_PROOF_RELAY_H_
#define DOGWOODRAIL_CORE_SPREAD_PROOF_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/base/random_type.h"
#include "core/config/config_follower.h"
#include "core/spread/spread_type.h"

namespace dogwoodrail::core::spread {

// What the node has to do after a call of ProofRelay.
struct RelayActions {
  std::optional<config::FollowCall> store_call;
  std::vector<SendQuery> queries;
  std::vector<SendAnswer> answers;
  std::optional<config::StoreEraChange> era_change;
};

// Keeps the configuration of a node current and proves that it is, without a
// watch of the store by every node: a reader in each zone watches the store,
// the others query it and a second relay. An answer holds the age of the
// store's confirmation, measured on the answering node; the receiver counts it
// from the time of its own query, so that a confirmation is never taken for
// younger than it is. A node that no answer reaches in time asks the store
// itself. So does one whose sources all know of no working watch: they cannot
// tell it of a change.
//
// The store may come back from an older copy, with an older configuration than
// other nodes have. A node that has just started therefore admits no requests
// with a key until it has compared its configuration with a node that has run
// for a while, or found none.
//
// Load pattern: calls to the store grow with the number of zones instead of
// nodes.
class ProofRelay {
 public:
  // Applies a configuration received from another node. Returns false if it
  // cannot be used.
  using ApplyHook = std::function<bool(const Snapshot&)>;

  ProofRelay(const RelaySettings& settings,
             const config::FollowSettings& follow, ApplyHook apply,
             std::uint64_t seed);

  // Runs the timers. Called about every 100 ms or more often.
  RelayActions Tick(const RelayView& view, base::TimePoint now);

  // Handles the result of a store call, with the position of the store and the
  // configuration if the result has one, which may be older than that in force.
  RelayActions OnStoreResult(std::uint64_t call, config::FollowResult result,
                             config::StorePosition position,
                             std::optional<Snapshot> snapshot,
                             base::TimePoint now);
  // Handles the era that an answer of the store states, to any call.
  RelayActions OnStoreEra(config::StoreEra era, base::TimePoint now);
  // Answers a query of another node.
  RelayActions OnQuery(const base::NodeAddress& peer, const PeerQuery& query,
                       base::TimePoint now);
  // Handles an answer, or a change that another node announces unasked.
  RelayActions OnAnswer(const base::NodeAddress& peer, const PeerAnswer& answer,
                        base::TimePoint now);
  // Accounts for a time during which the process was suspended and its clock
  // stopped.
  void OnSuspended(base::Duration time);

  // Returns true if requests with a key may be admitted.
  bool IsFresh(base::TimePoint now) const {
    const bool is_outdated = opened_behind_ && IsBehind();
    return settled_ && !is_outdated && follower_.IsFresh(now);
  }
  // Returns true once the first configuration has been compared with those of
  // other nodes, or the time for that is over.
  bool is_settled() const { return settled_; }
  // Returns whether another node ended the comparison, not its timeout.
  bool compared_with_peer() const { return compared_; }
  // Returns the time since the first configuration was received.
  base::Duration StartTime(base::TimePoint now) const {
    return now - started_at_;
  }
  // Returns the latest era of the store that is known.
  config::StoreEra era() const { return era_.era(); }
  // Returns the time since the store last confirmed the configuration.
  base::Duration Age(base::TimePoint now) const { return follower_.Age(now); }
  // Returns what the latest confirmation came from.
  config::ConfirmSource confirmed_by() const {
    return follower_.confirmed_by();
  }
  // Returns true if the node is not to be relied on as a source for now.
  bool IsExcluded(const base::NodeAddress& peer) const {
    return excluded_.count(peer) != 0;
  }
  // Number of the configuration in force; 0 if there is none yet.
  base::TicketNumber in_force() const { return snapshot_.number; }

 private:
  // A node that this one queries.
  struct Source {
    std::uint64_t sequence = 0;  // of the open query; 0: none
    base::TimePoint sent_at;
    base::TimePoint next_query;
    bool watched = true;  // as last told
  };
  // A node that queries this one.
  struct Subscriber {
    base::TimePoint expires;
    base::TicketNumber known;      // configuration that it has
    base::TicketNumber announced;  // highest number that it was told
    bool told_watched = false;     // PeerAnswer::watched as last told
  };

  void UpdateSources(const RelayView& view);
  void ExcludeSilentSources(base::TimePoint now);
  void SendQueries(base::TimePoint now, RelayActions* actions);
  void SendChanges(base::TimePoint now, RelayActions* actions);
  // Asks other nodes for a newer configuration than the first one.
  void SendStartQueries(const RelayView& view, base::TimePoint now,
                        RelayActions* actions);
  // Returns true if the time to compare the first configuration is over.
  bool IsStartOver(const RelayView& view, base::TimePoint now) const;
  // Counts an answer towards the comparison at the start.
  void CompareStart(const base::NodeAddress& peer, const PeerAnswer& answer);
  // Returns true if this node can tell a starting one that nothing is newer.
  bool IsWitness(base::TimePoint now) const;
  // Forgets a number that no node has stated for a long time.
  void ForgetUnseenNumber(base::TimePoint now);
  // Takes a configuration and a number from another node.
  void LearnFrom(const PeerAnswer& answer, base::TimePoint now,
                 RelayActions* actions);
  // Notes the number of a configuration that another node has.
  void OnPeerNumber(base::TicketNumber number, base::TimePoint now);
  void UpdateWatched(const RelayView& view, base::TimePoint now);
  void SetInForce(const Snapshot& snapshot);
  PeerAnswer MakeAnswer(std::uint64_t sequence, base::TimePoint now) const;
  // Adds the configuration if the subscriber lacks it and the limit of this
  // tick allows it.
  void AddSnapshot(Subscriber* subscriber, PeerAnswer* answer);
  config::StoreUse ChooseStoreUse(const RelayView& view,
                                  base::TimePoint now) const;
  // Returns true if another node has a configuration that this one lacks.
  bool IsBehind() const { return in_force() < highest_seen_; }
  // Returns true if the store has to be asked once.
  bool NeedsConfirmation(base::TimePoint now) const;
  base::Duration DrawJitter();

  const RelaySettings settings_;
  const ApplyHook apply_;
  base::Random random_;
  config::ConfigFollower follower_;
  config::StoreEraTracker era_;
  base::Duration validity_;  // of a confirmation
  Snapshot snapshot_;
  bool settled_ = false;
  bool compared_ = false;
  bool opened_behind_ = false;  // settled while another node had a newer one
  base::TimePoint started_at_;  // time of the first configuration
  std::optional<base::TimePoint> others_known_at_;
  std::unordered_set<base::NodeAddress> start_answers_;  // nodes that answered
  base::TimePoint next_start_query_;

  std::map<base::NodeAddress, Source> sources_;
  std::unordered_map<base::NodeAddress, base::TimePoint> excluded_;  // until
  std::unordered_map<base::NodeAddress, Subscriber> subscribers_;
  std::uint64_t last_sequence_;
  base::TimePoint last_tick_;
  base::TimePoint last_heard_;  // answer of a source or the store
  config::StoreUse store_use_ = config::StoreUse::kNone;
  // Result of UpdateWatched, as told to other nodes.
  bool watched_ = false;
  base::TimePoint sources_watched_at_;  // last time that one told so
  base::TicketNumber highest_seen_;
  base::TimePoint highest_seen_at_;
  base::TimePoint highest_stated_at_;  // last time that a node stated it
  base::Duration jitter_;
  std::size_t snapshot_bytes_left_;
};

}  // namespace dogwoodrail::core::spread

#endif  // DOGWOODRAIL_CORE_SPREAD_PROOF_RELAY_H_
