#ifndef DOGWOODRAIL_CORE_SPREAD_SPREAD_TYPE_H_
#define DOGWOODRAIL_CORE_SPREAD_SPREAD_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"
#include "core/config/store_era.h"

namespace dogwoodrail::core::spread {

// Change ticket in transit. The body is opaque to this module.
struct Ticket {
  base::TicketNumber number;
  std::string body;
};

// Complete configuration as of ticket `number`.
struct Snapshot {
  base::TicketNumber number;
  std::string body;
};

// Query to a peer for its configuration number and the tickets after `after`.
struct PeerQuery {
  std::uint64_t sequence = 0;  // echoed in the answer
  base::TicketNumber after;
  bool number_only = false;  // no tickets or snapshot wanted
};

// Answer to a PeerQuery. It holds tickets or a snapshot, or neither if the peer
// has nothing newer or has reached its answer rate.
struct PeerAnswer {
  std::uint64_t sequence = 0;
  base::TicketNumber in_force;
  bool fresh = false;  // the number of the peer is confirmed and recent
  // Time since the platform confirmed `in_force`, at the moment of the answer.
  // Set by ProofRelay only.
  std::optional<base::Duration> confirmed_age;
  // A watch of the platform, by the peer or a node that it queries, is working,
  // so that the peer will learn of a change at once. Set by ProofRelay only.
  bool watched = false;
  // Latest era of the platform's store that the peer knows. Set by ProofRelay
  // only.
  config::StoreEra store_era;
  // The peer has run for a while or compared its first configuration with those
  // of others. Set by ProofRelay only.
  bool settled = false;
  std::vector<Ticket> tickets;
  bool has_snapshot = false;
  Snapshot snapshot;
};

// Watches the platform for a head above `after`. `call` identifies the call
// and is passed back with its result.
struct WatchPlatform {
  std::uint64_t call = 0;
  base::TicketNumber after;
};
// Reads the head from the platform once.
struct ReadPlatform {
  std::uint64_t call = 0;
};
// Reads the tickets `first` to `last`, inclusive, from the platform.
struct ReadPlatformTickets {
  std::uint64_t call = 0;
  base::TicketNumber first;
  base::TicketNumber last;
};
// Send a query or an answer to a peer.
struct SendQuery {
  base::NodeAddress to;
  PeerQuery query;
};
struct SendAnswer {
  base::NodeAddress to;
  PeerAnswer answer;
};
// Announces by gossip that this node has applied the number.
struct AnnounceNumber {
  base::TicketNumber number;
};
// Reports whether requests with an API key may run.
struct FreshnessChanged {
  bool fresh;
};

// Action for the node to carry out.
using SpreadAction =
    std::variant<WatchPlatform, ReadPlatform, ReadPlatformTickets, SendQuery,
                 SendAnswer, AnnounceNumber, FreshnessChanged>;

// Callbacks to the configuration. The apply functions return false and leave
// the configuration unchanged if they reject the ticket or snapshot.
struct ConfigurationHooks {
  std::function<bool(const Ticket&)> apply_ticket;
  std::function<bool(const Snapshot&)> apply_snapshot;
  std::function<Snapshot()> make_snapshot;
};

// Membership as needed by SpreadControl.
struct PeerView {
  std::vector<base::NodeAddress> peers;  // small random sample of live members
  bool is_reader = false;  // this node reads the platform for its region
};

// Place of a node in the relay of configuration confirmations.
struct RelayView {
  bool is_reader = false;  // this node reads the platform for its zone
  std::vector<base::NodeAddress> sources;  // nodes to query
  // Some other nodes, to be asked by a node that has just started.
  std::vector<base::NodeAddress> witnesses;
  std::size_t others = 0;  // number of live nodes known, without this one
};

// Settings of the relay of configuration confirmations.
struct RelaySettings {
  // False: every node watches the platform itself.
  bool enabled = true;
  // Interval of the queries to each source.
  base::Duration query_interval = std::chrono::milliseconds(500);
  // A source that has not answered a query for this long is replaced.
  base::Duration answer_timeout = std::chrono::milliseconds(900);
  // Time for which a replaced source is not chosen again.
  base::Duration exclusion_time = std::chrono::seconds(5);
  // A node asks the platform itself if no source has answered for this long.
  base::Duration max_silence = std::chrono::milliseconds(1300);
  // It also does if the last confirmation is older than this. Less than the
  // time for which a confirmation is valid, so that a confirmation from the
  // platform arrives before.
  base::Duration max_age = std::chrono::milliseconds(2600);
  // It also does if a higher number was announced and its configuration has not
  // arrived for this long.
  base::Duration max_lag = std::chrono::milliseconds(500);
  // Random delay of each of these, and of the watch of a node whose sources
  // know of no working watch, so that nodes do not ask all at once.
  base::Duration jitter = std::chrono::milliseconds(200);
  // A node that queried within this time is told of changes.
  base::Duration subscription_time = std::chrono::seconds(3);
  // A node that has just started asks some other nodes this often for a newer
  // configuration than the store's, until one that has run for a while has
  // answered. It stops start_timeout after it knows others, if start_answers of
  // them have answered, or longest_start after its first configuration.
  base::Duration start_query_interval = std::chrono::milliseconds(100);
  base::Duration start_timeout = std::chrono::milliseconds(250);
  base::Duration longest_start = std::chrono::seconds(3);
  std::size_t start_witnesses = 4;
  std::size_t start_answers = 3;
  // A higher number than that in force is forgotten if no node has stated it
  // for this long.
  base::Duration max_unseen = std::chrono::seconds(30);
  // Nodes of a zone that one node answers.
  std::size_t fanout = 100;
  // Limit on the configurations sent in one tick.
  std::size_t snapshot_bytes_per_tick = std::size_t{1024} * 1024;
};

// Settings of configuration distribution.
struct SpreadSettings {
  std::size_t readers_per_region = 2;
  base::Duration query_timeout = std::chrono::seconds(1);
  base::Duration retry_jitter = std::chrono::milliseconds(200);
  base::Duration platform_retry_min = std::chrono::seconds(1);
  base::Duration platform_retry_max = std::chrono::seconds(10);
  // A node that needs to confirm its number queries this many peers per
  // interval.
  std::size_t confirm_peers = 3;
  base::Duration confirm_interval = std::chrono::milliseconds(500);
  // It also reads the platform if still unconfirmed after this long.
  base::Duration query_platform_after = std::chrono::milliseconds(500);
  // It also accepts answers of peers that are not fresh after this long.
  base::Duration accept_unconfirmed_peers_after = std::chrono::seconds(10);
  // The number is stale after this long without contact with the platform or
  // any peer.
  base::Duration stale_after = std::chrono::seconds(10);
  // False in a fleet of one node, whose number doesn't go stale for lack of
  // contact.
  bool has_peers = true;
  // A longer gap between two calls counts as a pause of the process.
  base::Duration pause_limit = std::chrono::seconds(2);
  std::size_t log_tickets = 256;
  std::size_t log_bytes = 262144;
  std::size_t answer_tickets = 64;
  // Rate limit of answers that hold tickets or a snapshot.
  double answers_per_s = 20;
  double answer_burst = 40;
};

}  // namespace dogwoodrail::core::spread

#endif  // DOGWOODRAIL_CORE_SPREAD_SPREAD_TYPE_H_
