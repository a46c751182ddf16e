#ifndef DOGWOODRAIL_CORE_POISON_POISON_TYPE_H_
#define DOGWOODRAIL_CORE_POISON_POISON_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::poison {

// Identifies requests that are identical apart from their idempotency key.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const Fingerprint& a, const Fingerprint& b) {
    return a.high == b.high && a.low == b.low;
  }
  friend bool operator<(const Fingerprint& a, const Fingerprint& b) {
    return a.high != b.high ? a.high < b.high : a.low < b.low;
  }
};

// Hash function for fingerprints. The node passes one for which callers cannot
// construct collisions.
using DigestFunction = std::function<std::uint64_t(std::string_view)>;

// Properties of a request that determine its fingerprint.
struct FingerprintSource {
  base::AccountName account;
  base::RouteName route;
  std::string method;
  std::string path;
  std::string_view body;
};

// Computes the fingerprint of a request.
Fingerprint MakeFingerprint(const FingerprintSource& source,
                            const DigestFunction& digest);

// Returns the key that determines the shard of a fingerprint.
std::string PoisonShardKey(const Fingerprint& fingerprint);

// Whether a request is suspected of crashing backend servers.
enum class PoisonStatus : std::uint8_t {
  kClean = 0,
  kSuspect = 1,          // was in flight at a crash; runs with no other suspect
  kBlocked = 2,          // refused until the entry expires
  kIsolatedSuspect = 3,  // the next crash blocks it; runs alone
};

// Identifies a report of a crash, so that a repeated report is counted once.
struct CrashId {
  base::Incarnation observer;
  std::uint64_t number = 0;

  friend bool operator==(const CrashId& a, const CrashId& b) {
    return a.observer == b.observer && a.number == b.number;
  }
};

// What a serving node observed of a request.
enum class PoisonObservation : std::uint8_t {
  kInFlight = 1,     // in flight at a crash, no suspect when it started
  kOnlySuspect = 2,  // in flight at a crash as the only suspect
  kCompleted = 3,    // a suspect whose response was complete
};

// Sent by a serving node to the owner of the fingerprint's shard.
struct PoisonReport {
  Fingerprint fingerprint;
  CrashId id;
  PoisonObservation observation = PoisonObservation::kInFlight;
};

// Decision of the owner, spread to all nodes. A higher version replaces a lower
// one.
struct PoisonRumour {
  Fingerprint fingerprint;
  std::uint64_t version = 0;
  std::uint32_t crashes = 0;
  PoisonStatus status = PoisonStatus::kClean;
  base::Duration expires_in{0};
};

// Settings of the detection of poison requests.
struct PoisonSettings {
  std::uint32_t crash_bound = 3;  // crashes after which a request is blocked
  base::Duration suspect_time = std::chrono::minutes(2);
  // Time for which a request stays blocked.
  base::Duration conviction_time = std::chrono::minutes(10);
  std::size_t max_entries = 10'000;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_POISON_TYPE_H_
