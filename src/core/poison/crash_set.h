#ifndef DOGWOODRAIL_CORE_POISON_CRASH_SET_H_
#define DOGWOODRAIL_CORE_POISON_CRASH_SET_H_

#include <array>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/poison/completion_log.h"
#include "core/poison/poison_type.h"

namespace dogwoodrail::core::poison {

// The executions that were in flight when a process ended; those of the same
// request are one entry.
struct ObservedCrash {
  base::TimePoint ended_at;
  std::vector<CrashEntry> entries;
};

// Number of groups over which digests of the records are computed.
constexpr std::size_t kDigestGroups = 16;
using CrashDigests = std::array<std::uint64_t, kDigestGroups>;

// An entry of a record that counts against a request.
struct Sighting {
  CrashId record;
  std::size_t entry = 0;  // index in the record
  base::TimePoint begin;  // start of the execution
  base::TimePoint end;
  bool isolated = false;
};

// The crash records known to a node: a set that nodes merge, so that all nodes
// with the same records come to the same decisions, and none owns a count.
class CrashSet {
 public:
  explicit CrashSet(PoisonSettings settings);
  virtual ~CrashSet() = default;

  // Returns what the records say of a request.
  PoisonStatus GetStatus(const Fingerprint& fingerprint) const;
  // Returns the entries that count against a request, the oldest first.
  std::vector<Sighting> SightingsOf(const Fingerprint& fingerprint) const;
  // Returns the blocked requests.
  std::vector<Fingerprint> BlockedRequests() const;
  // Returns when a blocked request may run again.
  base::TimePoint BlockedUntil(const Fingerprint& fingerprint) const;

  // Adds a record, or merges what is cleared into a known one. Returns true if
  // this changed the set. Expired records and empty ones are ignored.
  bool Merge(const CrashRecord& record, base::TimePoint now);
  // Clears entries of a record. Returns true if this changed the set.
  bool Clear(const CrashId& record, EntryMask entries);
  // Clears the entries of a request whose execution has completed. Returns the
  // records that changed.
  std::vector<CrashId> OnCompleted(const Fingerprint& fingerprint,
                                   base::TimePoint now);
  // Removes the entries of requests that have completed lately at this node:
  // they do not crash every backend server.
  void RemoveHarmless(ObservedCrash& crash) const;
  // Removes expired records.
  void Tick(base::TimePoint now);

  // Returns a record, or nullptr.
  const CrashRecord* Find(const CrashId& id) const;
  const std::map<CrashId, CrashRecord>& records() const { return records_; }
  // Digests over the records and what is cleared of them, without those that
  // are about to expire.
  CrashDigests Digests(base::TimePoint now) const;
  // Returns the group of a record.
  static std::size_t GroupOf(const CrashId& id);
  // True if the record is too old to be sent to other nodes.
  bool IsExpiring(const CrashRecord& record, base::TimePoint now) const;
  // True if the record counts against a blocked request.
  bool HasBlocked(const CrashRecord& record) const;

  // Number of changes of the set since its start.
  std::uint64_t change_count() const { return change_count_; }
  // Numbers of requests by status.
  std::size_t suspect_count() const { return sightings_.size(); }
  std::size_t blocked_count() const { return blocked_count_; }
  // Records removed because the set was full.
  std::uint64_t evicted_count() const { return evicted_count_; }

 protected:
  // Returns true if a completed execution clears a request; overridden by
  // tests.
  virtual bool ClearsOnCompletion() const;

 private:
  struct Suspect {
    std::vector<Sighting> sightings;  // ordered by end
    PoisonStatus status = PoisonStatus::kSuspect;
  };

  // True if the request of an entry has completed at this node lately.
  bool IsHarmless(const CrashEntry& entry, base::TimePoint ended_at) const;
  void AddSightings(const CrashRecord& record);
  void RemoveSighting(const CrashId& record, std::size_t entry,
                      const Fingerprint& fingerprint);
  void Remove(const CrashId& id);
  void Reassess(Suspect& suspect);
  // Makes room for one record.
  void EvictOne();

  PoisonSettings settings_;
  std::map<CrashId, CrashRecord> records_;
  std::unordered_map<Fingerprint, Suspect> sightings_;
  CompletionLog completions_;
  std::size_t blocked_count_ = 0;
  std::uint64_t evicted_count_ = 0;
  std::uint64_t change_count_ = 0;
};

// Returns the largest number of executions of which each began after the one
// before had ended. `sightings` are ordered by end.
std::uint32_t CountSuccessive(const std::vector<Sighting>& sightings);

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_CRASH_SET_H_
