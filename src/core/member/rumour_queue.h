#ifndef DOGWOODRAIL_CORE_MEMBER_RUMOUR_QUEUE_H_
#define DOGWOODRAIL_CORE_MEMBER_RUMOUR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/member/member_message_type.h"
#include "core/member/member_store.h"

namespace dogwoodrail::core::member {

// Bounded queue of the changed member records and the rumours of other modules
// that are piggybacked on datagrams. The least often sent records go first.
class RumourQueue {
 public:
  // Holds at most `record_limit` records and `rumour_limit` rumours.
  RumourQueue(std::size_t record_limit, std::size_t rumour_limit);

  // Queues a member's record, or restarts its count of sends if it is queued
  // already. A deferrable record is dropped while the queue is long, because
  // anti-entropy delivers it later.
  void AddRecord(MemberIndex index, bool deferrable = false);
  enum class Spread { kHold, kSend };

  // Stores the rumour if it is newer than the stored one, and queues it or
  // holds it back. A rumour that is held back may be queued by a later call.
  // Returns false if nothing changed.
  bool AddRumour(const Rumour& rumour, Spread spread);
  // Add queued rumours or records to a datagram of up to `bytes`. Those that
  // have been sent `max_sends` times are removed from the queue.
  void FillRumours(std::size_t bytes, std::size_t max_sends,
                   MemberMessage* message);
  void FillRecords(const MemberStore& store, std::size_t bytes,
                   std::size_t max_sends, MemberMessage* message);
  // Adds the rumours that are sent with probes and acknowledgements regardless
  // of their number of sends, so that a node that was cut off learns of them
  // from the first message it receives.
  void FillPinned(std::size_t bytes, MemberMessage* message);
  // Adds a few stored rumours to a datagram in round-robin order, regardless of
  // their number of sends.
  void FillStored(std::size_t bytes, MemberMessage* message);
  // Clears the queue. Rumours remain stored but are no longer queued.
  void ClearQueue();

  // Returns true if nothing is queued.
  bool empty() const { return records_.empty() && !HasRumours(); }
  // Returns true if rumours are queued.
  bool HasRumours() const;
  // Number of records dropped since the start because the queue was too long.
  std::size_t overflow_count() const { return overflow_count_; }

 private:
  struct QueuedRecord {
    MemberIndex index;
    std::size_t sends = 0;
  };
  struct StoredRumour {
    Rumour rumour;
    std::size_t sends = 0;
    bool queued = true;
    bool held = false;
  };

  std::size_t record_limit_;
  std::size_t rumour_limit_;
  std::vector<QueuedRecord> records_;
  std::vector<StoredRumour> rumours_;  // ordered by last change, oldest first
  std::size_t next_stored_ = 0;
  std::size_t overflow_count_ = 0;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_RUMOUR_QUEUE_H_
