#include "core/spread/ticket_log.h"

namespace dogwoodrail::core::spread {

TicketLog::TicketLog(std::size_t max_tickets, std::size_t max_bytes)
    : max_tickets_(max_tickets), max_bytes_(max_bytes) {}

void TicketLog::Add(const Ticket& ticket) {
  tickets_.push_back(ticket);
  bytes_ += ticket.body.size();
  while (tickets_.size() > max_tickets_ || bytes_ > max_bytes_) {
    bytes_ -= tickets_.front().body.size();
    tickets_.pop_front();
  }
}

void TicketLog::Clear() {
  tickets_.clear();
  bytes_ = 0;
}

bool TicketLog::Covers(base::TicketNumber after) const {
  if (tickets_.empty()) return false;
  return tickets_.front().number.value() <= after.value() + 1;
}

std::vector<Ticket> TicketLog::After(base::TicketNumber after,
                                     std::size_t limit) const {
  std::vector<Ticket> found;
  for (const Ticket& it : tickets_) {
    if (found.size() >= limit) break;
    if (after < it.number) found.push_back(it);
  }
  return found;
}

}  // namespace dogwoodrail::core::spread
