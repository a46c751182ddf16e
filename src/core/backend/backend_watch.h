#ifndef DOGWOODRAIL_CORE_BACKEND_BACKEND_WATCH_H_
#define DOGWOODRAIL_CORE_BACKEND_BACKEND_WATCH_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "core/backend/backend_type.h"
#include "core/backend/drain_marks.h"

namespace dogwoodrail::core::backend {

// Timing of health checks and failure detection.
struct BackendWatchSettings {
  // Interval between health checks while the backend server is not ready. It
  // starts at probe_min and doubles up to probe_max.
  base::Duration probe_min = std::chrono::milliseconds(250);
  base::Duration probe_max = std::chrono::seconds(4);
  // A ready backend server is considered gone after this long without a
  // heartbeat or an answered request.
  base::Duration silence_limit = std::chrono::seconds(6);
};

// Tracks the backend server at the address beside this node from heartbeats,
// health checks and request outcomes: which process of which service stands
// there, and its state. A process that has announced its shutdown never becomes
// ready again, even if a later message reports it as ready.
//
// The address may be assigned to another process, also of another service. Only
// a process's own heartbeat says which service it belongs to; a health check
// reports its id alone.
class BackendWatch {
 public:
  // `service` is the service that the settings name for the address.
  BackendWatch(const BackendWatchSettings& settings, base::ServiceName service,
               std::string address);

  // Sets the check whether a service exists. Until it is set, only the service
  // of the settings does.
  void SetServiceCheck(std::function<bool(const base::ServiceName&)> check) {
    is_service_ = std::move(check);
  }
  // Handles a change of the service that the settings name for the address.
  void OnAssigned(const base::ServiceName& service);
  // Returns whether a heartbeat is of no process that could stand at the
  // address: it names another address or a service that does not exist.
  bool IsForeign(const Heartbeat& heartbeat) const;
  // Handles a heartbeat. Returns false if it is foreign or outdated.
  bool OnHeartbeat(const Heartbeat& heartbeat, base::TimePoint now);
  // Handles a shutdown announcement of a backend server. Its start time may be
  // missing.
  void OnLeave(const DrainMark& notice, base::TimePoint now);
  // Restores a drain mark that was stored before this node restarted.
  void OnDrainMark(const DrainMark& mark);
  // Handles the result of a health check.
  void OnHealth(const HealthReport& report, base::TimePoint now);
  // Handles a refused connection.
  void OnUnreachable(base::TimePoint now);
  // Handles an answer from a different process at the same address.
  void OnOtherInstance(base::TimePoint now);
  // Handles an answered request.
  void OnAnswered(base::TimePoint now);

  // Returns true once after another process was found at the address: the one
  // before has ended.
  bool TakeReplaced() { return std::exchange(replaced_, false); }

  // Returns true if a health check is due, and schedules the next one.
  bool StartProbeIfDue(base::TimePoint now);
  // Marks the backend server as gone once it exceeds the silence limit.
  void Tick(base::TimePoint now);

  // Last known status.
  const BackendStatus& status() const { return status_; }
  // Service whose health check is due: the one that is claimed for the address,
  // if it is not confirmed yet.
  const base::ServiceName& probed_service() const {
    return claim_ ? claim_->service : status_.service;
  }
  // Service of the VM, from the settings or a process found at the address.
  const base::ServiceName& own_service() const { return own_service_; }
  // The process that announced its shutdown last, if any.
  const std::optional<DrainMark>& drain_mark() const { return marks_.latest(); }
  // Start time of the process in status(), Unix ms. After a health check has
  // found a process by its id alone, it is a lower bound.
  const std::optional<std::int64_t>& born_ms() const { return born_ms_; }

 private:
  // Returns true if the heartbeat is of the process in status_.
  bool IsCurrent(const Heartbeat& heartbeat) const;
  // Returns true if a process that started then did so before the process in
  // status_.
  bool IsOlder(const std::optional<std::int64_t>& born_ms) const;
  // Handles a shutdown announcement by an earlier start time than the one
  // known: if its id is that of the ready process, a health check decides
  // whether this is the sender. Returns true if the status has changed.
  bool DoubtReadiness(const InstanceId& instance, base::TimePoint now);
  // Takes the process and its state from a heartbeat.
  void Apply(const Heartbeat& heartbeat, base::TimePoint now);
  // Keeps a heartbeat until a health check finds its sender at the address.
  void Claim(const Heartbeat& heartbeat, base::TimePoint now);
  // Decides the claim by a health check. Returns true if its sender was found.
  bool ConfirmClaim(const HealthReport& report, base::TimePoint now);
  // Marks the process as gone; from then on another may stand at the address.
  void SetGone(base::TimePoint first_probe_at);
  void StartProbing(base::TimePoint first_probe_at);

  BackendWatchSettings settings_;
  std::function<bool(const base::ServiceName&)> is_service_;
  BackendStatus status_;
  base::ServiceName own_service_;
  // Heartbeat of another process, not confirmed by a health check yet.
  std::optional<Heartbeat> claim_;
  // The process that the settings describe may still stand at the address.
  bool settings_hold_ = true;
  std::optional<std::int64_t> born_ms_;
  std::uint64_t sequence_ = 0;
  DrainMarks marks_;
  base::TimePoint last_contact_;
  base::TimePoint next_probe_at_;
  base::Duration probe_interval_;
  bool probing_ = false;
  bool replaced_ = false;
};

}  // namespace dogwoodrail::core::backend

#endif  // DOGWOODRAIL_CORE_BACKEND_BACKEND_WATCH_H_
