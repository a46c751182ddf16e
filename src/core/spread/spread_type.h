#ifndef DOGWOODRAIL_CORE_SPREAD_SPREAD_TYPE_H_
#define DOGWOODRAIL_CORE_SPREAD_SPREAD_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::spread {

// Change ticket as it is spread; the configuration module reads the body.
struct Ticket {
  base::TicketNumber number;
  std::string body;
};

// Whole configuration after ticket `number`.
struct Snapshot {
  base::TicketNumber number;
  std::string body;
};

// Question to a peer: its number, and the tickets after `after`.
struct PeerQuery {
  std::uint64_t sequence = 0;  // echoed by the answer
  base::TicketNumber after;
  bool number_only = false;
};

// Answer of a peer. It carries tickets, or a snapshot, or neither if the peer
// has nothing newer or is busy.
struct PeerAnswer {
  std::uint64_t sequence = 0;
  base::TicketNumber in_force;
  bool fresh = false;  // the peer trusts its own number
  std::vector<Ticket> tickets;
  bool has_snapshot = false;
  Snapshot snapshot;
};

// Waits at the platform for a head above `after`. The number of the call
// comes back with its result.
struct WatchPlatform {
  std::uint64_t call = 0;
  base::TicketNumber after;
};
// Reads the head at the platform once.
struct ReadPlatform {
  std::uint64_t call = 0;
};
// Reads the tickets `first` to `last` at the platform.
struct ReadPlatformTickets {
  std::uint64_t call = 0;
  base::TicketNumber first;
  base::TicketNumber last;
};
// Sends a question or an answer to a peer.
struct SendQuery {
  base::NodeAddress to;
  PeerQuery query;
};
struct SendAnswer {
  base::NodeAddress to;
  PeerAnswer answer;
};
// Spreads the number as a rumour: this node has it in force.
struct AnnounceNumber {
  base::TicketNumber number;
};
// Tells the node that keyed requests may run, or may not.
struct FreshnessChanged {
  bool fresh;
};

// What the node has to do.
using SpreadAction =
    std::variant<WatchPlatform, ReadPlatform, ReadPlatformTickets, SendQuery,
                 SendAnswer, AnnounceNumber, FreshnessChanged>;

// The configuration that tickets are applied to. A refused ticket or snapshot
// leaves it as it was.
struct ConfigurationHooks {
  std::function<bool(const Ticket&)> apply_ticket;
  std::function<bool(const Snapshot&)> apply_snapshot;
  std::function<Snapshot()> make_snapshot;
};

// What is taken from the membership.
struct PeerView {
  std::vector<base::NodeAddress> peers;  // a random few, live
  bool is_reader = false;  // this node reads the platform for its region
};

// Settings of the spread of configuration.
struct SpreadSettings {
  std::size_t readers_per_region = 2;
  base::Duration ask_timeout = std::chrono::seconds(1);
  base::Duration retry_jitter = std::chrono::milliseconds(200);
  base::Duration platform_retry_min = std::chrono::seconds(1);
  base::Duration platform_retry_max = std::chrono::seconds(10);
  // A node unsure of its number asks this many peers, and the platform if
  // they do not suffice after a while.
  std::size_t confirm_peers = 3;
  base::Duration confirm_interval = std::chrono::milliseconds(500);
  base::Duration platform_after = std::chrono::milliseconds(500);
  base::Duration unsure_peers_after = std::chrono::seconds(10);
  // Without a word from the platform or any peer for this long the number is
  // stale.
  base::Duration stale_after = std::chrono::seconds(10);
  // False if this node is the whole fleet: it cannot be cut off from peers.
  bool has_peers = true;
  base::Duration pause_limit = std::chrono::seconds(2);
  std::size_t log_tickets = 256;
  std::size_t log_bytes = 262144;
  std::size_t answer_tickets = 64;
  double answers_per_s = 20;  // answers with tickets or a snapshot
  double answer_burst = 40;
};

}  // namespace dogwoodrail::core::spread

#endif  // DOGWOODRAIL_CORE_SPREAD_SPREAD_TYPE_H_
