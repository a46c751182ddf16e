#ifndef DOGWOODRAIL_CORE_POISON_POISON_TYPE_H_
#define DOGWOODRAIL_CORE_POISON_POISON_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::poison {

// Identifies requests that are identical apart from their ids.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const Fingerprint& a, const Fingerprint& b) {
    return a.high == b.high && a.low == b.low;
  }
  friend bool operator!=(const Fingerprint& a, const Fingerprint& b) {
    return !(a == b);
  }
  friend bool operator<(const Fingerprint& a, const Fingerprint& b) {
    return a.high != b.high ? a.high < b.high : a.low < b.low;
  }
};

// Returns the fingerprint as 32 hex digits.
std::string FingerprintText(const Fingerprint& fingerprint);
// Parses 32 hex digits.
std::optional<Fingerprint> ParseFingerprint(std::string_view text);
// Parses 16 hex digits.
std::optional<std::uint64_t> ParseHexNumber(std::string_view text);

// Digest of a text. Callers of the node must not be able to construct two texts
// with the same digest.
using DigestFunction = std::function<Fingerprint(std::string_view)>;

// Properties of a request that determine its fingerprint.
struct FingerprintSource {
  std::string_view account;  // empty for a request without a key
  std::string_view route;
  std::string_view method;
  std::string_view target;
  std::string_view body;
};

// Computes the fingerprint of a request.
Fingerprint MakeFingerprint(const FingerprintSource& source,
                            const DigestFunction& digest);

// What the crashes known to a node say of a request.
enum class PoisonStatus : std::uint8_t {
  kClean = 0,
  kSuspect = 1,   // was in flight at a crash; not restricted
  kIsolated = 2,  // in flight at several; runs beside no other such request
  kBlocked = 3,   // refused
};

// Identifies a crash record.
struct CrashId {
  base::Incarnation observer;
  std::uint64_t number = 0;  // counted by the observer

  friend bool operator==(const CrashId& a, const CrashId& b) {
    return a.observer == b.observer && a.number == b.number;
  }
  friend bool operator<(const CrashId& a, const CrashId& b) {
    return a.observer != b.observer ? a.observer < b.observer
                                    : a.number < b.number;
  }
};

// An execution that was in flight when its backend server ended.
struct CrashEntry {
  Fingerprint fingerprint;
  base::Duration run{0};  // from its start to its end
  bool isolated = false;  // no other isolated request was in flight
};

// Set of entries of a crash record, one bit each.
using EntryMask = std::uint64_t;

// Maximum number of entries of a record; a record fits into one datagram.
constexpr std::size_t kMaxCrashEntries = 40;

// The end of a backend server process, as observed by one node. An immutable
// element of the replicated set, except for `cleared`, which only grows.
struct CrashRecord {
  CrashId id;
  base::NodeAddress observer;
  base::TimePoint ended_at;  // on the clock of the node that holds the record
  std::vector<CrashEntry> entries;
  // Entries whose request has completed since, and which no longer count.
  EntryMask cleared = 0;
};

// Settings of the detection of poison requests.
struct PoisonSettings {
  std::uint32_t crash_bound = 3;  // crashes after which a request is blocked
  // Time for which a crash counts. A request that crashes backend servers
  // reaches at most crash_bound of them within it, once all nodes know.
  base::Duration suspect_time = std::chrono::minutes(10);
  std::size_t max_records = 1024;
  // Gossip of new records.
  base::Duration gossip_interval = std::chrono::milliseconds(50);
  std::size_t gossip_fanout = 4;
  // Anti-entropy with a random peer.
  base::Duration sync_interval = std::chrono::milliseconds(500);
  // Limit of what a node sends about crashes.
  std::size_t bytes_per_s = 2048;
  std::size_t burst_bytes = 131'072;
};

}  // namespace dogwoodrail::core::poison

template <>
struct std::hash<dogwoodrail::core::poison::Fingerprint> {
  // The fingerprint is a digest already.
  std::size_t operator()(
      const dogwoodrail::core::poison::Fingerprint& it) const {
    return static_cast<std::size_t>(it.high ^ it.low);
  }
};

#endif  // DOGWOODRAIL_CORE_POISON_POISON_TYPE_H_
