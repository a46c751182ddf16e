#include "core/backend/backend_watch.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::core::backend {

using base::BackendServerState;

BackendWatch::BackendWatch(const BackendWatchSettings& settings,
                           base::ServiceName service, std::string address)
    : settings_(settings), probe_pause_(settings.probe_min) {
  status_.service = std::move(service);
  status_.address = std::move(address);
}

// The same id may come back with a new life; only its time of birth tells.
bool BackendWatch::IsDrained(const InstanceId& instance,
                             const std::optional<std::int64_t>& born_ms) const {
  if (!drained_ || drained_->instance != instance) return false;
  if (!drained_->born_ms || !born_ms) return true;
  return *born_ms <= *drained_->born_ms;
}

// A heartbeat can be held up on its way until its sender is long gone and
// another life has begun.
bool BackendWatch::OnHeartbeat(const Heartbeat& heartbeat,
                               base::TimePoint now) {
  if (heartbeat.service != status_.service) return false;
  if (heartbeat.address != status_.address) return false;
  if (born_ms_ && heartbeat.born_ms && *heartbeat.born_ms < *born_ms_) {
    return false;
  }
  const bool same_life =
      heartbeat.instance == status_.instance && heartbeat.born_ms == born_ms_;
  if (same_life && heartbeat.sequence <= sequence_) return false;
  status_.instance = heartbeat.instance;
  status_.slots = heartbeat.slots;
  born_ms_ = heartbeat.born_ms;
  sequence_ = heartbeat.sequence;
  heard_at_ = now;
  probing_ = false;
  if (heartbeat.draining) drained_ = DrainMark{heartbeat.instance, born_ms_};
  status_.state = IsDrained(heartbeat.instance, born_ms_)
                      ? BackendServerState::kDraining
                      : BackendServerState::kReady;
  return true;
}

void BackendWatch::OnLeave(const InstanceId& instance, base::TimePoint now) {
  const bool current = status_.instance.empty() || status_.instance == instance;
  if (!current) return;
  drained_ = DrainMark{instance, born_ms_};
  status_.instance = instance;
  status_.state = BackendServerState::kDraining;
  heard_at_ = now;
  probing_ = false;
}

void BackendWatch::OnDrainMark(const DrainMark& mark) {
  if (drained_) return;
  drained_ = mark;
  if (!IsDrained(status_.instance, born_ms_)) return;
  status_.state = BackendServerState::kDraining;
}

// A health check tells the id but not the time of birth, so a life that is
// marked as leaving stays so until a heartbeat shows a later one.
void BackendWatch::OnHealth(const HealthReport& report, base::TimePoint now) {
  if (!probing_) return;
  if (!report.answered || !report.healthy || report.instance.empty()) return;
  if (IsDrained(report.instance, std::nullopt)) return;
  if (status_.instance != report.instance) {
    status_.instance = report.instance;
    born_ms_.reset();
    sequence_ = 0;
  }
  if (report.load.slots > 0) status_.slots = report.load.slots;
  status_.state = BackendServerState::kReady;
  heard_at_ = now;
  probing_ = false;
}

void BackendWatch::OnUnreachable(base::TimePoint now) {
  if (status_.state != BackendServerState::kReady) return;
  status_.state = BackendServerState::kGone;
  ProbeFrom(now + settings_.probe_min);
}

void BackendWatch::OnOtherInstance(base::TimePoint now) {
  if (status_.state != BackendServerState::kReady) return;
  status_.state = BackendServerState::kGone;
  ProbeFrom(now);
}

void BackendWatch::OnAnswered(base::TimePoint now) { heard_at_ = now; }

void BackendWatch::ProbeFrom(base::TimePoint at) {
  probing_ = true;
  probe_pause_ = settings_.probe_min;
  probe_at_ = at;
}

bool BackendWatch::StartProbeIfDue(base::TimePoint now) {
  if (heard_at_ == base::TimePoint()) {
    heard_at_ = now;
    ProbeFrom(now);
  }
  if (!probing_ || now < probe_at_) return false;
  probe_at_ = now + probe_pause_;
  probe_pause_ = std::min(probe_pause_ * 2, settings_.probe_max);
  return true;
}

void BackendWatch::Tick(base::TimePoint now) {
  if (status_.state != BackendServerState::kReady) return;
  if (now - heard_at_ < settings_.silence_limit) return;
  status_.state = BackendServerState::kGone;
  ProbeFrom(now);
}

}  // namespace dogwoodrail::core::backend
