#ifndef DOGWOODRAIL_OBJECTAPI_CONFIG_STORE_H_
#define DOGWOODRAIL_OBJECTAPI_CONFIG_STORE_H_

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

#include "core/base/error_type.h"
#include "core/config/config_type.h"
#include "objectapi/config_codec.h"
#include "objectapi/object_store.h"

namespace dogwoodrail::objectapi {

// The configuration as read from the Object API. Version 0 and an empty state
// if no ticket was ever accepted.
struct StoredHead {
  ConfigHead head;
  ObjectVersion version;
};

// How a ticket whose write got no answer is followed up.
struct ConfigStoreOptions {
  int write_attempts = 6;
  std::chrono::milliseconds first_pause{100};  // doubles after each attempt
  // Waits; std::this_thread::sleep_for unless a test replaces it.
  std::function<void(std::chrono::milliseconds)> pause;
};

// Configuration and its history in the Object API.
class ConfigStore {
 public:
  explicit ConfigStore(ObjectStore& objects, ConfigStoreOptions options = {});

  // Returns the configuration in force.
  core::base::Result<StoredHead> ReadHead();

  // Waits for a configuration above the version; empty if there is none in
  // that time.
  core::base::Result<std::optional<StoredHead>> WatchHead(
      ObjectVersion after, std::chrono::milliseconds wait);

  // Gives the ticket the next number and makes it the configuration in force.
  // The ticket has its id, author, time and entries. Errors: kInvalidArgument
  // (refused by a check), kConflict (another ticket took the number, this one
  // will never apply), kUnavailable (not written), kOutcomeUnknown.
  core::base::Result<core::base::TicketNumber> SubmitTicket(
      core::config::Ticket ticket);

  // Checks the ticket against the configuration in force and returns the
  // number it would get, without writing.
  core::base::Result<core::base::TicketNumber> CheckTicket(
      core::config::Ticket ticket);

  // Returns one accepted ticket; kNotFound if there is none of that number.
  core::base::Result<core::config::Ticket> ReadTicket(
      core::base::TicketNumber number);

  // Returns the numbers of all accepted tickets, in order.
  core::base::Result<std::vector<core::base::TicketNumber>> ListTickets();

 private:
  // Keeps the last ticket of the head in the history.
  core::base::Result<void> ArchiveLast(const ConfigHead& head);
  // Writes the new head until the outcome is known or attempts run out.
  core::base::Result<core::base::TicketNumber> WriteHead(
      const ConfigHead& next, const std::string& value, ObjectVersion expected);
  // Tells whether the ticket got its number, once the head has moved on.
  core::base::Result<core::base::TicketNumber> FindWinner(
      const core::config::Ticket& ticket);

  ObjectStore& objects_;
  ConfigStoreOptions options_;
};

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_CONFIG_STORE_H_
