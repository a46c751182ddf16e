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

// Configuration head and the object version it was read at. Version 0 and an
// empty state if no ticket has been accepted yet.
struct StoredHead {
  ConfigHead head;
  ObjectVersion version;
};

// Retries of a write whose outcome is unknown.
struct ConfigStoreOptions {
  int write_attempts = 6;
  std::chrono::milliseconds first_pause{100};  // doubles after each attempt
  // Waits; std::this_thread::sleep_for unless a test replaces it.
  std::function<void(std::chrono::milliseconds)> pause;
};

// Reads and updates the configuration and its ticket history in the Object API.
class ConfigStore {
 public:
  explicit ConfigStore(ObjectStore& objects, ConfigStoreOptions options = {});

  // Returns the configuration in force.
  core::base::Result<StoredHead> ReadHead();

  // Waits for a configuration newer than the version; empty if there is
  // none within `wait`.
  core::base::Result<std::optional<StoredHead>> WatchHead(
      ObjectVersion after, std::chrono::milliseconds wait);

  // Assigns the next number to the ticket and applies it to the configuration
  // in force. The caller sets id, author, time and entries. Errors:
  // kInvalidArgument (validation failed), kConflict (another ticket got the
  // number; this one will never be applied), kUnavailable (not written),
  // kOutcomeUnknown.
  core::base::Result<core::base::TicketNumber> SubmitTicket(
      core::config::Ticket ticket);

  // Dry run: validates the ticket against the configuration in force and
  // returns the number it would get, without writing.
  core::base::Result<core::base::TicketNumber> CheckTicket(
      core::config::Ticket ticket);

  // Returns an accepted ticket; kNotFound if no ticket has that number.
  core::base::Result<core::config::Ticket> ReadTicket(
      core::base::TicketNumber number);

  // Returns the numbers of all accepted tickets, in ascending order.
  core::base::Result<std::vector<core::base::TicketNumber>> ListTickets();

 private:
  // Writes the last ticket of the head to the history.
  core::base::Result<void> ArchiveLastTicket(const ConfigHead& head);
  // Retries the write of the new head until the outcome is known or the
  // attempts are exhausted.
  core::base::Result<core::base::TicketNumber> WriteHead(
      const ConfigHead& next, const std::string& value, ObjectVersion expected);
  // After a version conflict: returns the ticket's number if the ticket was
  // accepted, kConflict if another ticket got the number.
  core::base::Result<core::base::TicketNumber> ResolveConflict(
      const core::config::Ticket& ticket);

  ObjectStore& objects_;
  ConfigStoreOptions options_;
};

}  // namespace dogwoodrail::objectapi

#endif  // DOGWOODRAIL_OBJECTAPI_CONFIG_STORE_H_
