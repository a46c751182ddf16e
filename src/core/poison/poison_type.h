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

// Identifies requests that are the same but for their idempotency key.
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

// Digest of a body; the node passes one that callers cannot collide.
using DigestHook = std::function<std::uint64_t(std::string_view)>;

// What a fingerprint is made of.
struct FingerprintSource {
  base::AccountName account;
  base::RouteName route;
  std::string method;
  std::string path;
  std::string_view body;
};

// Makes the fingerprint of a request.
Fingerprint MakeFingerprint(const FingerprintSource& source,
                            const DigestHook& digest);

// Returns the text that places a fingerprint in a shard.
std::string PoisonShardKey(const Fingerprint& fingerprint);

enum class PoisonStatus : std::uint8_t {
  kClean = 0,
  kSuspect = 1,  // was in flight at a crash; runs apart from other suspects
  kBlocked = 2,  // refused until the conviction expires
  kIsolatedSuspect = 3,  // a suspect that the next crash convicts; runs alone
};

// Tells one crash from another, so that a repeated report counts once.
struct CrashId {
  base::Incarnation observer;
  std::uint64_t number = 0;

  friend bool operator==(const CrashId& a, const CrashId& b) {
    return a.observer == b.observer && a.number == b.number;
  }
};

// What a serving node saw of a request.
enum class PoisonObservation : std::uint8_t {
  kInFlight = 1,     // in flight at a crash, not known as a suspect before
  kOnlySuspect = 2,  // in flight at a crash as the only suspect
  kCompleted = 3,    // is a suspect and was answered whole
};

// Serving node to the owner of the fingerprint's shard.
struct PoisonReport {
  Fingerprint fingerprint;
  CrashId id;
  PoisonObservation observation = PoisonObservation::kInFlight;
};

// What the owner decided, spread to all nodes. A higher version replaces a
// lower one.
struct PoisonRumour {
  Fingerprint fingerprint;
  std::uint64_t version = 0;
  std::uint32_t crashes = 0;
  PoisonStatus status = PoisonStatus::kClean;
  base::Duration expires_in{0};
};

// Bounds and times.
struct PoisonSettings {
  std::uint32_t crash_bound = 3;  // crashes after which a request is refused
  base::Duration suspect_time = std::chrono::minutes(2);
  base::Duration conviction_time = std::chrono::minutes(10);
  std::size_t max_entries = 10'000;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_POISON_TYPE_H_
