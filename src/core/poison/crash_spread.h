#ifndef DOGWOODRAIL_CORE_POISON_CRASH_SPREAD_H_
#define DOGWOODRAIL_CORE_POISON_CRASH_SPREAD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/base/random_type.h"
#include "core/poison/crash_set.h"

namespace dogwoodrail::core::poison {

// What is cleared of a record that the receiver may know.
struct CrashSummary {
  CrashId id;
  EntryMask cleared = 0;
};

// Datagram between nodes about crashes.
struct CrashMessage {
  std::vector<CrashRecord> records;
  std::vector<CrashSummary> cleared;  // changes to known records
  // Anti-entropy: the digests of the sender; then the summaries of the groups
  // that differ; then the records that the sender of the summaries lacks, and
  // the ids of those that it should send.
  std::optional<CrashDigests> digests;
  std::vector<CrashSummary> offers;
  std::uint16_t offered_groups = 0;  // bit mask of the groups of the offers
  std::vector<CrashId> requests;
};

// Datagram to send.
struct SendCrashMessage {
  base::NodeAddress to;
  CrashMessage message;
};

// Spreads crash records to all nodes: gossip of what is new, and anti-entropy
// with random peers for nodes that missed it. Does no I/O itself.
class CrashSpread {
 public:
  // Returns a random live peer, or an empty address.
  using PickPeer = std::function<base::NodeAddress()>;
  // Returns the number of live members.
  using CountMembers = std::function<std::size_t()>;
  using Messages = std::vector<SendCrashMessage>;

  CrashSpread(const PoisonSettings& settings, CrashSet& crashes,
              PickPeer pick_peer, CountMembers count_members);

  // Queues a record, or only what is cleared of it.
  enum class Change { kRecord, kCleared };
  void Queue(const CrashId& id, Change change);
  // Handles a datagram. Returns the answer, which may be empty.
  Messages OnMessage(const base::NodeAddress& from, const CrashMessage& message,
                     base::TimePoint now);
  // Returns the datagrams that are due.
  Messages Tick(base::TimePoint now);

  // Number of records waiting to be sent.
  std::size_t queued() const { return queue_.size(); }
  // Bytes sent since the start, as counted against the limit.
  std::uint64_t sent_bytes() const { return sent_bytes_; }

 private:
  struct QueuedRecord {
    std::size_t sends_left = 0;
    Change change = Change::kCleared;
  };

  void AddGossip(base::TimePoint now, Messages& messages);
  CrashMessage NextGossip(base::TimePoint now);
  void AddOffers(const CrashMessage& message, base::TimePoint now,
                 CrashMessage& answer) const;
  void AnswerOffers(const CrashMessage& message, base::TimePoint now,
                    Messages& messages, const base::NodeAddress& to);
  void Send(const base::NodeAddress& to, CrashMessage message,
            Messages& messages);
  void Refill(base::TimePoint now);
  std::size_t SendsPerRecord() const;

  PoisonSettings settings_;
  CrashSet& crashes_;
  PickPeer pick_peer_;
  CountMembers count_members_;
  std::map<CrashId, QueuedRecord> queue_;
  base::TimePoint next_gossip_;
  base::TimePoint next_sync_;
  base::TimePoint refilled_at_;
  double allowance_ = 0;  // bytes that may be sent
  std::uint64_t sent_bytes_ = 0;
};

// Returns the approximate size of a message in bytes.
std::size_t MessageBytes(const CrashMessage& message);

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_CRASH_SPREAD_H_
