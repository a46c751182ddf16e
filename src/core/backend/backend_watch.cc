#include "core/backend/backend_watch.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::core::backend {

using base::BackendServerState;

BackendWatch::BackendWatch(const BackendWatchSettings& settings,
                           base::ServiceName service, std::string address)
    : settings_(settings), probe_interval_(settings.probe_min) {
  own_service_ = service;
  status_.service = std::move(service);
  status_.address = std::move(address);
}

// The service of a process that is known comes from its heartbeat.
void BackendWatch::OnAssigned(const base::ServiceName& service) {
  own_service_ = service;
  if (status_.instance.empty()) status_.service = service;
}

bool BackendWatch::IsForeign(const Heartbeat& heartbeat) const {
  if (heartbeat.address != status_.address) return true;
  const bool known =
      heartbeat.service == status_.service || heartbeat.service == own_service_;
  return !known && !(is_service_ && is_service_(heartbeat.service));
}

bool BackendWatch::IsCurrent(const Heartbeat& heartbeat) const {
  return heartbeat.instance == status_.instance &&
         heartbeat.service == status_.service && heartbeat.born_ms == born_ms_;
}

bool BackendWatch::IsOlder(const std::optional<std::int64_t>& born_ms) const {
  return born_ms_ && born_ms && *born_ms < *born_ms_;
}

// A delayed heartbeat may arrive after its sender has exited and a new process
// has started, so heartbeats with an earlier start time are ignored while that
// process serves. Start times are wall times, which may step back; once nothing
// serves, a health check decides. It also decides on a change of the service,
// unless the sender is draining: nothing is sent to that one.
bool BackendWatch::OnHeartbeat(const Heartbeat& heartbeat,
                               base::TimePoint now) {
  if (IsForeign(heartbeat)) return false;
  if (IsCurrent(heartbeat)) {
    if (heartbeat.sequence <= sequence_) return false;
    Apply(heartbeat, now);
    return true;
  }
  const bool older = IsOlder(heartbeat.born_ms);
  if (older && status_.state == BackendServerState::kReady) {
    if (!heartbeat.draining) return false;
    marks_.Add({heartbeat.instance, heartbeat.born_ms});
    return DoubtReadiness(heartbeat.instance, now);
  }
  const bool other_service = heartbeat.service != status_.service;
  if (older || (other_service && !heartbeat.draining)) {
    Claim(heartbeat, now);
    return true;
  }
  claim_.reset();
  Apply(heartbeat, now);
  return true;
}

void BackendWatch::Apply(const Heartbeat& heartbeat, base::TimePoint now) {
  const bool other_start =
      born_ms_ && heartbeat.born_ms && *heartbeat.born_ms != *born_ms_;
  const bool other_instance =
      !status_.instance.empty() && heartbeat.instance != status_.instance;
  if (other_start || other_instance) replaced_ = true;
  status_.instance = heartbeat.instance;
  status_.service = heartbeat.service;
  status_.slots = heartbeat.slots;
  born_ms_ = heartbeat.born_ms;
  sequence_ = heartbeat.sequence;
  last_contact_ = now;
  probing_ = claim_.has_value();
  settings_hold_ = false;
  if (heartbeat.draining) marks_.Add({heartbeat.instance, born_ms_});
  status_.state = marks_.Covers(heartbeat.instance, born_ms_)
                      ? BackendServerState::kDraining
                      : BackendServerState::kReady;
}

// A process that was taken for one of another service gets no further request.
void BackendWatch::Claim(const Heartbeat& heartbeat, base::TimePoint now) {
  const bool same_sender = claim_ && claim_->instance == heartbeat.instance &&
                           claim_->service == heartbeat.service &&
                           claim_->born_ms == heartbeat.born_ms;
  if (same_sender && heartbeat.sequence <= claim_->sequence) return;
  claim_ = heartbeat;
  settings_hold_ = false;
  const bool misnamed = heartbeat.instance == status_.instance &&
                        heartbeat.service != status_.service;
  if (misnamed) status_.state = BackendServerState::kGone;
  StartProbing(now);
}

// While another process serves, a claim that the first health check does not
// confirm is dropped; its sender may repeat it.
bool BackendWatch::ConfirmClaim(const HealthReport& report,
                                base::TimePoint now) {
  if (report.healthy && report.instance == claim_->instance) {
    const Heartbeat heartbeat = *claim_;
    claim_.reset();
    own_service_ = heartbeat.service;
    Apply(heartbeat, now);
    return true;
  }
  if (status_.state == BackendServerState::kReady) {
    claim_.reset();
    probing_ = false;
  }
  return false;
}

// The announcement names no service. Every one is remembered, because the first
// heartbeat of its sender may come later. It ends the use of the address unless
// another process serves there, or one that has started since. Without a start
// time it is of the process that is known by the id.
void BackendWatch::OnLeave(const DrainMark& notice, base::TimePoint now) {
  const bool same = status_.instance == notice.instance;
  const bool claimed = claim_ && claim_->instance == notice.instance;
  DrainMark mark = notice;
  if (!mark.born_ms && same) mark.born_ms = born_ms_;
  if (!mark.born_ms && claimed) mark.born_ms = claim_->born_ms;
  marks_.Add(mark);
  const bool present = same || claimed || status_.instance.empty() ||
                       status_.state == BackendServerState::kGone;
  if (!present) return;
  if (IsOlder(mark.born_ms)) {
    DoubtReadiness(mark.instance, now);
    return;
  }
  if (same && mark.born_ms != born_ms_) {
    replaced_ = replaced_ || born_ms_.has_value();
    sequence_ = 0;
  }
  if (!same) {
    sequence_ = claimed ? claim_->sequence : 0;
    if (claimed) status_.service = claim_->service;
  }
  claim_.reset();
  born_ms_ = mark.born_ms;
  status_.instance = mark.instance;
  status_.state = BackendServerState::kDraining;
  last_contact_ = now;
  probing_ = false;
}

// The sender is one of before, unless the time of day has stepped back between
// its start and that of the process known by the same id. A health check is
// refused by a process that leaves.
bool BackendWatch::DoubtReadiness(const InstanceId& instance,
                                  base::TimePoint now) {
  const bool ready = status_.state == BackendServerState::kReady;
  if (!ready || instance != status_.instance) return false;
  status_.state = BackendServerState::kDraining;
  StartProbing(now);
  return true;
}

void BackendWatch::OnDrainMark(const DrainMark& mark) {
  marks_.AddStored(mark);
  if (!marks_.Covers(status_.instance, born_ms_)) return;
  status_.state = BackendServerState::kDraining;
}

// Health checks report the id but neither the start time nor the service. A
// process with a drain mark therefore stays draining until a heartbeat has
// reported a later start time, and an id that no heartbeat has named may belong
// to another service. Only the process that the settings describe is accepted
// by its id alone, when it is found before the address was seen vacant.
void BackendWatch::OnHealth(const HealthReport& report, base::TimePoint now) {
  if (!probing_) return;
  if (!report.answered) {
    settings_hold_ = false;
    return;
  }
  if (claim_ && ConfirmClaim(report, now)) return;
  if (!report.healthy || report.instance.empty()) return;
  const bool same = status_.instance == report.instance;
  if (marks_.Covers(report.instance, same ? born_ms_ : std::nullopt)) return;
  if (!same) {
    if (!settings_hold_) return;
    status_.instance = report.instance;
    born_ms_.reset();
    sequence_ = 0;
  }
  if (report.load.slots > 0) status_.slots = report.load.slots;
  status_.state = BackendServerState::kReady;
  last_contact_ = now;
  probing_ = claim_.has_value();
}

void BackendWatch::OnUnreachable(base::TimePoint now) {
  if (status_.state != BackendServerState::kReady) return;
  SetGone(now + settings_.probe_min);
}

void BackendWatch::OnOtherInstance(base::TimePoint now) {
  replaced_ = true;
  if (status_.state != BackendServerState::kReady) return;
  SetGone(now);
}

void BackendWatch::SetGone(base::TimePoint first_probe_at) {
  status_.state = BackendServerState::kGone;
  settings_hold_ = false;
  StartProbing(first_probe_at);
}

void BackendWatch::OnAnswered(base::TimePoint now) { last_contact_ = now; }

void BackendWatch::StartProbing(base::TimePoint first_probe_at) {
  probing_ = true;
  probe_interval_ = settings_.probe_min;
  next_probe_at_ = first_probe_at;
}

bool BackendWatch::StartProbeIfDue(base::TimePoint now) {
  if (last_contact_ == base::TimePoint()) {
    last_contact_ = now;
    StartProbing(now);
  }
  if (!probing_ || now < next_probe_at_) return false;
  next_probe_at_ = now + probe_interval_;
  probe_interval_ = std::min(probe_interval_ * 2, settings_.probe_max);
  return true;
}

void BackendWatch::Tick(base::TimePoint now) {
  if (status_.state != BackendServerState::kReady) return;
  if (now - last_contact_ < settings_.silence_limit) return;
  SetGone(now);
}

}  // namespace dogwoodrail::core::backend
