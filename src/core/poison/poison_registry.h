#ifndef DOGWOODRAIL_CORE_POISON_POISON_REGISTRY_H_
#define DOGWOODRAIL_CORE_POISON_POISON_REGISTRY_H_

#include <map>
#include <optional>
#include <vector>

#include "core/poison/poison_type.h"

namespace dogwoodrail::core::poison {

// State of one fingerprint at a node.
struct PoisonEntry {
  std::uint64_t version = 0;  // 0: suspected locally, no decision received
  std::uint32_t crashes = 0;
  PoisonStatus status = PoisonStatus::kClean;
  base::TimePoint expires;
  // Reports that this node counted as owner; limited to the crash bound.
  std::vector<CrashId> counted_reports;
};

// Suspected and blocked requests as known to a node. For the shards that it
// owns, the node also counts crashes. A new owner continues from the state that
// it received by rumours.
class PoisonRegistry {
 public:
  explicit PoisonRegistry(PoisonSettings settings);
  virtual ~PoisonRegistry() = default;

  // Returns the current status of a request.
  PoisonStatus GetStatus(const Fingerprint& fingerprint,
                         base::TimePoint now) const;

  // Marks a request that was in flight at a crash observed by this node.
  // Applies until the decision of the owner arrives.
  void MarkSuspect(const Fingerprint& fingerprint, base::TimePoint now);

  // Called on the owner, in shard epoch `epoch`: applies a report and returns
  // the rumour to spread, or nullopt if the report changes nothing, such as a
  // repeated one.
  std::optional<PoisonRumour> OnReport(const PoisonReport& report,
                                       std::uint64_t epoch,
                                       base::TimePoint now);

  // Applies a rumour. Returns true if it was new and must be passed on.
  bool OnRumour(const PoisonRumour& rumour, base::TimePoint now);

  // Returns the rumours to send to a node that has just started.
  std::vector<PoisonRumour> Rumours(base::TimePoint now) const;

  // Removes expired entries.
  void Tick(base::TimePoint now);

  // Returns the number of known fingerprints.
  std::size_t size() const { return entries_.size(); }

 protected:
  // Returns true if a completed execution clears a suspect; overridden by
  // tests.
  virtual bool ClearsOnCompletion() const;

 private:
  PoisonRumour MakeRumour(const Fingerprint& fingerprint,
                          const PoisonEntry& entry, base::TimePoint now) const;
  // Updates an entry with a report that was not counted before.
  void ApplyReport(PoisonEntry& entry, const PoisonReport& report,
                   base::TimePoint now) const;
  // Returns the entry of a fingerprint, evicting another one if the table is
  // full.
  PoisonEntry* FindOrCreate(const Fingerprint& fingerprint,
                            base::TimePoint now);
  void EvictOne();

  PoisonSettings settings_;
  std::map<Fingerprint, PoisonEntry> entries_;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_POISON_REGISTRY_H_
