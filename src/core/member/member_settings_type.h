#ifndef DOGWOODRAIL_CORE_MEMBER_MEMBER_SETTINGS_TYPE_H_
#define DOGWOODRAIL_CORE_MEMBER_MEMBER_SETTINGS_TYPE_H_

#include <cstddef>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::member {

// Settings of the membership protocol.
struct MemberSettings {
  // Addresses of nodes to contact at startup. May include this node's own.
  std::vector<base::NodeAddress> seeds;

  // Failure detection. A probe gets a ping, then ping requests to other members
  // after probe_timeout, and fails indirect_timeout later.
  base::Duration probe_interval = std::chrono::seconds(1);
  base::Duration probe_timeout = std::chrono::milliseconds(300);
  base::Duration indirect_timeout = std::chrono::milliseconds(700);
  std::size_t indirect_helpers = 3;
  std::size_t region_probe_every = 8;   // every nth probe leaves the zone
  std::size_t remote_probe_every = 64;  // every nth probe leaves the region

  // The suspicion timeout shrinks from max to min as more nodes confirm it.
  base::Duration suspicion_min = std::chrono::seconds(3);
  base::Duration suspicion_max = std::chrono::seconds(9);
  std::size_t suspicion_confirmations = 3;

  // Gossip.
  base::Duration gossip_interval = std::chrono::milliseconds(200);
  std::size_t gossip_fanout = 3;
  // A record or rumour is sent base_sends times, plus sends_per_digit times for
  // each decimal digit of the number of live members. base_sends is there so
  // that no node of a small fleet misses one.
  std::size_t sends_per_digit = 4;
  std::size_t base_sends = 4;
  std::size_t queue_limit = 128;
  std::size_t rumour_limit = 256;
  std::size_t datagram_bytes = 1200;
  std::size_t gossip_bytes_per_s = 700;
  std::size_t gossip_burst_bytes = 16'384;

  // Anti-entropy. Requests are sent at join_interval until the view is
  // confirmed, at sync_fast_interval while seeds are missing from it, and at
  // sync_interval otherwise.
  base::Duration sync_interval = std::chrono::seconds(10);
  base::Duration sync_fast_interval = std::chrono::seconds(1);
  base::Duration join_interval = std::chrono::milliseconds(250);
  // Answers of peers whose own view is not confirmed count after this time.
  base::Duration join_grace = std::chrono::seconds(3);
  std::size_t sync_datagrams = 16;  // maximum number sent per request
  std::size_t sync_bytes_per_s = 900;
  std::size_t sync_burst_bytes = 262'144;

  // A longer gap between two ticks is treated as a pause of the process.
  base::Duration pause_limit = std::chrono::seconds(2);
  // Records of failed and left members are removed after this time.
  base::Duration tombstone_age = std::chrono::minutes(10);
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_MEMBER_SETTINGS_TYPE_H_
