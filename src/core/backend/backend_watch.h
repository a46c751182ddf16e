#ifndef DOGWOODRAIL_CORE_BACKEND_BACKEND_WATCH_H_
#define DOGWOODRAIL_CORE_BACKEND_BACKEND_WATCH_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/backend/backend_type.h"

namespace dogwoodrail::core::backend {

// Times of watching the backend server.
struct BackendWatchSettings {
  // Pause between two health checks while the backend server is not known to
  // be ready; doubles up to the longest.
  base::Duration probe_min = std::chrono::milliseconds(250);
  base::Duration probe_max = std::chrono::seconds(4);
  // Silence after which a backend server that answers nothing counts as gone.
  base::Duration silence_limit = std::chrono::seconds(6);
};

// Follows the life of the backend server beside this node from its heartbeats,
// health checks and the fate of requests. A life that has said that it leaves
// never becomes ready again, whatever arrives later.
class BackendWatch {
 public:
  BackendWatch(const BackendWatchSettings& settings, base::ServiceName service,
               std::string address);

  // Takes a heartbeat; false if it is outdated or of another backend server.
  bool OnHeartbeat(const Heartbeat& heartbeat, base::TimePoint now);
  // Takes the word of a backend server that it leaves.
  void OnLeave(const InstanceId& instance, base::TimePoint now);
  // Takes a mark that an earlier life of this node has kept.
  void OnDrainMark(const DrainMark& mark);
  // Takes the answer to a health check.
  void OnHealth(const HealthReport& report, base::TimePoint now);
  // Notes that the address refuses connections.
  void OnUnreachable(base::TimePoint now);
  // Notes that another process answers at the address.
  void OnOtherInstance(base::TimePoint now);
  // Notes that a request was answered.
  void OnAnswered(base::TimePoint now);

  // True if a health check is due; it then counts as sent.
  bool StartProbeIfDue(base::TimePoint now);
  // Notices silence.
  void Tick(base::TimePoint now);

  // What is known now.
  const BackendStatus& status() const { return status_; }
  // The life that has said that it leaves, if any.
  const std::optional<DrainMark>& drain_mark() const { return drained_; }

 private:
  bool IsDrained(const InstanceId& instance,
                 const std::optional<std::int64_t>& born_ms) const;
  void ProbeFrom(base::TimePoint at);

  BackendWatchSettings settings_;
  BackendStatus status_;
  std::optional<std::int64_t> born_ms_;
  std::uint64_t sequence_ = 0;
  std::optional<DrainMark> drained_;
  base::TimePoint heard_at_;
  base::TimePoint probe_at_;
  base::Duration probe_pause_;
  bool probing_ = false;
};

}  // namespace dogwoodrail::core::backend

#endif  // DOGWOODRAIL_CORE_BACKEND_BACKEND_WATCH_H_
