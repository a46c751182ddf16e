#include "node/control_system.h"

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "node/operator_api.h"

namespace dogwoodrail::node {

using core::base::EventNumber;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
// Longest delay of an acknowledgement until the drain mark is written to the
// store.
constexpr core::base::Duration kDrainWriteTimeout =
    std::chrono::milliseconds(300);

}  // namespace

ControlSystem::ControlSystem(BackendSystem& backend,
                             const DirectorySystem& directory,
                             ControlPorts ports)
    : backend_(backend), directory_(directory), ports_(std::move(ports)) {}

void ControlSystem::OnRequest(http::ExchangeId exchange,
                              const http::Request& request, TimePoint now) {
  const BackendNotice notice = ports_.read_notice(request);
  if (const auto* heartbeat = std::get_if<core::backend::Heartbeat>(&notice)) {
    return OnHeartbeat(exchange, *heartbeat, now);
  }
  if (const auto* leave = std::get_if<LeaveNotice>(&notice)) {
    backend_.OnLeave(*leave, now);
    return Acknowledge(exchange, true, now);
  }
  ports_.emit({EventNumber::kHeartbeatIgnored, {}, {}, "cause=unreadable"});
  Answer(exchange, kBadRequest);
}

// A heartbeat that cannot be used is not acknowledged, so that its sender may
// ask elsewhere.
void ControlSystem::OnHeartbeat(http::ExchangeId exchange,
                                const core::backend::Heartbeat& heartbeat,
                                TimePoint now) {
  const bool foreign = backend_.IsForeign(heartbeat);
  if (!backend_.OnHeartbeat(heartbeat, now)) ReportIgnored(heartbeat, foreign);
  if (foreign) return Answer(exchange, kConflict);
  Acknowledge(exchange, heartbeat.draining, now);
}

// The service of a foreign heartbeat is any text and is left out.
void ControlSystem::ReportIgnored(const core::backend::Heartbeat& heartbeat,
                                  bool foreign) {
  std::string detail =
      foreign ? "cause=foreign"
              : "cause=outdated service=" + heartbeat.service.value();
  detail += " instance=" + heartbeat.instance.value() +
            " sequence=" + std::to_string(heartbeat.sequence);
  ports_.emit({EventNumber::kHeartbeatIgnored, {}, {}, std::move(detail)});
}

// After a restart the node must know which drains it has acknowledged, so the
// acknowledgement follows the write to the store. If the store is unavailable
// it is sent after kDrainWriteTimeout, because this process observes the drain
// in any case.
void ControlSystem::Acknowledge(http::ExchangeId exchange, bool wait_for_store,
                                TimePoint now) {
  if (wait_for_store && !directory_.is_written()) {
    pending_acks_.push_back({exchange, now + kDrainWriteTimeout});
    return;
  }
  Answer(exchange, kOk);
}

void ControlSystem::Tick(TimePoint now) {
  std::vector<PendingAck> waiting;
  for (const PendingAck& it : std::exchange(pending_acks_, {})) {
    if (directory_.is_written() || now >= it.deadline) {
      Answer(it.exchange, kOk);
    } else {
      waiting.push_back(it);
    }
  }
  pending_acks_ = std::move(waiting);
}

void ControlSystem::Answer(http::ExchangeId exchange, int status) {
  ports_.answer(exchange, MakeTextResponse(status, "application/json", "{}"));
}

}  // namespace dogwoodrail::node
