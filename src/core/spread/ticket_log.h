#ifndef DOGWOODRAIL_CORE_SPREAD_TICKET_LOG_H_
#define DOGWOODRAIL_CORE_SPREAD_TICKET_LOG_H_

#include <deque>
#include <vector>

#include "core/spread/spread_type.h"

namespace dogwoodrail::core::spread {

// Most recent applied tickets, kept for peers that lag by a few tickets.
class TicketLog {
 public:
  TicketLog(std::size_t max_tickets, std::size_t max_bytes);

  // Appends the next ticket; drops the oldest ones beyond the limits.
  void Add(const Ticket& ticket);
  // Removes all tickets. Called after a snapshot was applied.
  void Clear();
  // Returns true if the log holds every ticket after `after`.
  bool Covers(base::TicketNumber after) const;
  // Returns the first tickets after `after`, at most `limit`.
  std::vector<Ticket> After(base::TicketNumber after, std::size_t limit) const;

 private:
  std::size_t max_tickets_;
  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  std::deque<Ticket> tickets_;
};

}  // namespace dogwoodrail::core::spread

#endif  // DOGWOODRAIL_CORE_SPREAD_TICKET_LOG_H_
