#ifndef DOGWOODRAIL_CORE_POISON_POISON_REGISTRY_H_
#define DOGWOODRAIL_CORE_POISON_POISON_REGISTRY_H_

#include <map>
#include <optional>
#include <vector>

#include "core/poison/poison_type.h"

namespace dogwoodrail::core::poison {

// What a node knows of one fingerprint.
struct PoisonEntry {
  std::uint64_t version = 0;  // 0: seen here, not yet decided by the owner
  std::uint32_t crashes = 0;
  PoisonStatus status = PoisonStatus::kClean;
  base::TimePoint expires;
  std::vector<CrashId> counted;  // by the owner; at most the crash bound
};

// A node's knowledge of suspects and convictions, and the counting of crashes
// for the shards that it owns. A new owner goes on from what rumours told it.
class PoisonRegistry {
 public:
  explicit PoisonRegistry(PoisonSettings settings);
  virtual ~PoisonRegistry() = default;

  // Returns how a request is to be treated.
  PoisonStatus GetStatus(const Fingerprint& fingerprint,
                         base::TimePoint now) const;

  // Marks a request that was in flight at a crash seen here, until the owner
  // has decided.
  void MarkSuspect(const Fingerprint& fingerprint, base::TimePoint now);

  // As owner under `epoch`: counts a report and returns what to spread; none
  // if it was counted before.
  std::optional<PoisonRumour> OnReport(const PoisonReport& report,
                                       std::uint64_t epoch,
                                       base::TimePoint now);

  // Takes a rumour; true if it was news and is to be spread further.
  bool OnRumour(const PoisonRumour& rumour, base::TimePoint now);

  // Returns what a node that starts has to know.
  std::vector<PoisonRumour> Rumours(base::TimePoint now) const;

  // Forgets what has expired.
  void Tick(base::TimePoint now);

  // Number of fingerprints known.
  std::size_t size() const { return entries_.size(); }

 protected:
  // True if a suspect that completed is cleared; tests switch it off.
  virtual bool ClearsOnCompletion() const;

 private:
  PoisonRumour MakeRumour(const Fingerprint& fingerprint,
                          const PoisonEntry& entry, base::TimePoint now) const;
  void Count(PoisonEntry& entry, const PoisonReport& report,
             base::TimePoint now) const;
  PoisonEntry* Room(const Fingerprint& fingerprint, base::TimePoint now);
  void DropOne();

  PoisonSettings settings_;
  std::map<Fingerprint, PoisonEntry> entries_;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_POISON_REGISTRY_H_
