#include "node/backend_system.h"

#include <chrono>
#include <string>
#include <utility>

namespace dogwoodrail::node {

using core::backend::BackendStatus;
using core::base::EventNumber;
using core::base::Ran;
using core::base::Reason;

namespace {

// The serving system drops an announcement when its lease ends, so it is
// renewed at this interval.
constexpr core::base::Duration kAnnounceInterval =
    std::chrono::milliseconds(500);
// Path of health checks if the configuration does not contain the service.
constexpr const char* kDefaultHealthPath = "/healthz";

// Returns the id and the start time of a process, for the event log.
std::string ProcessText(const core::backend::InstanceId& instance,
                        const std::optional<std::int64_t>& born_ms) {
  if (instance.empty()) return "none";
  return instance.value() + "@" + (born_ms ? std::to_string(*born_ms) : "?");
}

}  // namespace

BackendSystem::BackendSystem(
    const core::backend::BackendWatchSettings& settings, Node& node,
    const HostPorts& ports, core::base::EventSink emit)
    : node_(node),
      ports_(ports),
      emit_(std::move(emit)),
      watch_(settings, node.settings().host.service,
             node.settings().host.backend_address),
      assigned_service_(node.settings().host.service),
      reported_service_(assigned_service_) {
  watch_.SetServiceCheck([this](const core::base::ServiceName& service) {
    const auto& config = node_.config();
    return config != nullptr && config->FindService(service) != nullptr;
  });
}

bool BackendSystem::OnHeartbeat(const core::backend::Heartbeat& heartbeat,
                                TimePoint now) {
  const auto drained_before = watch_.drain_mark();
  const bool used = watch_.OnHeartbeat(heartbeat, now);
  ReportDrain(drained_before, now);
  if (used) Announce(now);
  return used;
}

void BackendSystem::OnLeave(const LeaveNotice& notice, TimePoint now) {
  const auto drained_before = watch_.drain_mark();
  const std::string known =
      ProcessText(watch_.status().instance, watch_.born_ms());
  watch_.OnLeave(notice.process, now);
  const bool draining =
      watch_.status().state == core::base::BackendServerState::kDraining;
  emit_({EventNumber::kBackendServerLeft,
         {},
         {},
         "sender=" +
             ProcessText(notice.process.instance, notice.process.born_ms) +
             " known=" + known + " draining=" + (draining ? "1" : "0")});
  ReportDrain(drained_before, now);
  Announce(now);
}

void BackendSystem::ReportDrain(const std::optional<DrainMark>& before,
                                TimePoint now) {
  const auto& mark = watch_.drain_mark();
  if (mark && mark != before && on_draining_) on_draining_(*mark, now);
}

void BackendSystem::OnSettings(const Settings& settings) {
  if (settings.host.service == assigned_service_) return;
  assigned_service_ = settings.host.service;
  watch_.OnAssigned(assigned_service_);
  ReportOwnService();
}

void BackendSystem::ReportOwnService() {
  if (watch_.own_service() == reported_service_) return;
  reported_service_ = watch_.own_service();
  ports_.set_own_service(reported_service_);
}

void BackendSystem::OnDrainMark(const DrainMark& mark, TimePoint now) {
  const BackendStatus before = watch_.status();
  watch_.OnDrainMark(mark);
  AnnounceChange(before, now);
}

void BackendSystem::OnOutcome(const http::BackendOutcome& outcome,
                              TimePoint now) {
  const BackendStatus before = watch_.status();
  if (outcome.response.status != 0) {
    watch_.OnAnswered(now);
    if (outcome.reason == Reason::kNoBackendServer) watch_.OnOtherInstance(now);
  } else if (outcome.ran == Ran::kNotRun &&
             outcome.reason == Reason::kBackendServerFailed) {
    watch_.OnUnreachable(now);
  }
  AnnounceChange(before, now);
}

void BackendSystem::Tick(TimePoint now) {
  const BackendStatus before = watch_.status();
  watch_.Tick(now);
  if (watch_.TakeReplaced()) node_.poison().OnProcessEnded(now);
  AnnounceChange(before, now);
  if (watch_.StartProbeIfDue(now)) CheckHealth();
  if (now - announced_at_ >= kAnnounceInterval) Announce(now);
}

void BackendSystem::CheckHealth() {
  std::string path = kDefaultHealthPath;
  if (node_.config()) {
    const auto* service = node_.config()->FindService(watch_.probed_service());
    if (service != nullptr) path = service->health_path;
  }
  ports_.check_health(watch_.status(), path,
                      [this](const core::backend::HealthReport& report) {
                        OnHealth(report, Node::Now());
                      });
}

void BackendSystem::OnHealth(const core::backend::HealthReport& report,
                             TimePoint now) {
  const BackendStatus before = watch_.status();
  watch_.OnHealth(report, now);
  ReportOwnService();
  AnnounceChange(before, now);
}

void BackendSystem::AnnounceChange(const BackendStatus& before, TimePoint now) {
  if (watch_.status() != before) Announce(now);
}

void BackendSystem::Announce(TimePoint now) {
  const auto& status = watch_.status();
  if (status.instance.empty()) return;
  announced_at_ = now;
  BackendAnnouncement announcement;
  announcement.service = status.service;
  announcement.address = status.address;
  announcement.instance = status.instance.value();
  announcement.state = status.state;
  announcement.load.slots = status.slots;
  node_.OnAnnouncement(announcement);
}

}  // namespace dogwoodrail::node
