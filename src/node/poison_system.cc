#include "node/poison_system.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::node {

namespace poison = core::poison;
using core::base::CallId;
using core::base::Duration;
using core::base::EventNumber;
using core::base::NodeAddress;
using core::base::Ran;
using core::base::Reason;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
// Shortest time between records of lost attempts: all nodes have some when an
// availability zone is cut off.
constexpr Duration kAttemptRecordInterval = std::chrono::seconds(1);

// Time for which an attempt with an unknown outcome may turn out to have ended
// together with its serving node. Covers the loss of a silent link.
constexpr Duration kUnknownMemory = std::chrono::seconds(3);
constexpr std::size_t kMaxUnknownAttempts = 256;

CallId GateCallId(ExecutionIndex index) {
  constexpr unsigned kGenerationShift = 32;
  return CallId(
      (static_cast<std::uint64_t>(index.generation) << kGenerationShift) |
      index.slot);
}

poison::ExecutionEnd EndOf(const http::BackendOutcome& outcome) {
  if (outcome.ran == Ran::kRan) return poison::ExecutionEnd::kAnswered;
  if (outcome.ran == Ran::kNotRun) return poison::ExecutionEnd::kNotRun;
  return outcome.connection_lost ? poison::ExecutionEnd::kConnectionLost
                                 : poison::ExecutionEnd::kUnanswered;
}

std::string CrashText(const poison::CrashId& id) {
  return std::to_string(id.observer.value()) + "/" + std::to_string(id.number);
}

std::int64_t Millis(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

}  // namespace

PoisonSystem::PoisonSystem(const poison::PoisonSettings& settings,
                           NodeAddress self,
                           core::base::Incarnation incarnation,
                           PoisonPorts ports, core::base::EventSink emit)
    : self_(std::move(self)),
      incarnation_(incarnation),
      ports_(std::move(ports)),
      emit_(std::move(emit)),
      crashes_(settings),
      spread_(settings, crashes_, ports_.pick_peer, ports_.count_members),
      gate_(crashes_) {}

std::optional<Duration> PoisonSystem::RefuseFor(
    const poison::Fingerprint& fingerprint, TimePoint now) {
  if (crashes_.GetStatus(fingerprint) != poison::PoisonStatus::kBlocked) {
    return std::nullopt;
  }
  ++refused_count_;
  return std::max(Duration(0), crashes_.BlockedUntil(fingerprint) - now);
}

std::optional<Reason> PoisonSystem::MayStart(const Execution& execution,
                                             TimePoint now) {
  if (held_) return Reason::kOverloaded;
  const auto& fingerprint = execution.message.fingerprint;
  switch (gate_.TryStart(GateCallId(execution.index), fingerprint, now)) {
    case poison::StartDecision::kRefuse:
      ++refused_count_;
      return Reason::kPoisonRequest;
    case poison::StartDecision::kWait:
      return Reason::kOverloaded;
    case poison::StartDecision::kRun:
      break;
  }
  return std::nullopt;
}

void PoisonSystem::OnFinished(const Execution& execution,
                              const http::BackendOutcome& outcome,
                              TimePoint now) {
  const poison::ExecutionEnd end = EndOf(outcome);
  gate_.OnFinished(GateCallId(execution.index), end, now);
  if (end != poison::ExecutionEnd::kAnswered) return;
  Release(execution.message.fingerprint, now);
}

std::size_t PoisonSystem::Release(const poison::Fingerprint& fingerprint,
                                  TimePoint now) {
  const auto changed = crashes_.OnCompleted(fingerprint, now);
  for (const poison::CrashId& id : changed) {
    spread_.Queue(id, poison::CrashSpread::Change::kCleared);
    if (on_cleared_) on_cleared_(id);
  }
  return changed.size();
}

void PoisonSystem::OnProcessEnded(TimePoint now) { gate_.OnProcessEnded(now); }

void PoisonSystem::OnAttemptLost(const poison::Fingerprint& fingerprint,
                                 TimePoint sent_at, TimePoint now) {
  if (now < next_attempt_record_) return;
  if (lost_attempts_.size() >= poison::kMaxCrashEntries) return;
  const auto is_same = [&fingerprint](const poison::CrashEntry& it) {
    return it.fingerprint == fingerprint;
  };
  if (std::any_of(lost_attempts_.begin(), lost_attempts_.end(), is_same)) {
    return;
  }
  lost_attempts_.push_back({fingerprint, now - sent_at, false});
}

void PoisonSystem::OnAttemptUnknown(const poison::Fingerprint& fingerprint,
                                    const NodeAddress& serving_node,
                                    TimePoint sent_at, TimePoint now) {
  if (unknown_attempts_.size() >= kMaxUnknownAttempts) {
    unknown_attempts_.pop_front();
  }
  unknown_attempts_.push_back({fingerprint, serving_node, sent_at, now});
}

// The serving node may have ended before it could report the crash.
void PoisonSystem::OnNodeLost(const NodeAddress& node, TimePoint now) {
  for (const UnknownAttempt& it : unknown_attempts_) {
    const bool recent = now - it.ended_at <= kUnknownMemory;
    if (it.serving_node != node || !recent) continue;
    OnAttemptLost(it.fingerprint, it.sent_at, now);
  }
}

void PoisonSystem::TakeLostAttempts(TimePoint now) {
  if (lost_attempts_.empty()) return;
  AddRecords({now, std::exchange(lost_attempts_, {})}, "attempt_lost", now);
  next_attempt_record_ = now + kAttemptRecordInterval;
}

void PoisonSystem::AddRecords(poison::ObservedCrash crash, const char* cause,
                              TimePoint now) {
  crashes_.RemoveHarmless(crash);
  const auto& entries = crash.entries;
  for (std::size_t first = 0; first < entries.size();
       first += poison::kMaxCrashEntries) {
    const std::size_t end =
        std::min(entries.size(), first + poison::kMaxCrashEntries);
    poison::CrashRecord record;
    record.id = {incarnation_, next_number_++};
    record.observer = self_;
    record.ended_at = crash.ended_at;
    record.entries.assign(entries.begin() + static_cast<std::ptrdiff_t>(first),
                          entries.begin() + static_cast<std::ptrdiff_t>(end));
    crashes_.Merge(record, now);
    spread_.Queue(record.id, poison::CrashSpread::Change::kRecord);
    std::string detail = "crash=" + CrashText(record.id) + " cause=" + cause +
                         " requests=" + std::to_string(record.entries.size()) +
                         " fingerprints=";
    for (const poison::CrashEntry& it : record.entries) {
      if (detail.back() != '=') detail += ',';
      detail += poison::FingerprintText(it.fingerprint);
    }
    emit_({EventNumber::kPoisonSuspected, {}, {}, std::move(detail)});
  }
}

void PoisonSystem::OnDatagram(const NodeAddress& from,
                              const wire::Bytes& payload, TimePoint now) {
  const auto message = wire::DecodeCrashes(payload, now);
  if (!message) {
    emit_({EventNumber::kFrameRefused,
           {},
           {},
           "peer=" + from.value() + " cause=" + message.error().detail});
    return;
  }
  Send(spread_.OnMessage(from, *message, now), now);
}

void PoisonSystem::Send(const poison::CrashSpread::Messages& messages,
                        TimePoint now) {
  for (const auto& it : messages) {
    ports_.send(it.to, wire::EncodeCrashes(it.message, now));
  }
}

// Names the crashes that count against each request, so that the log of any
// node leads from a refusal to them.
void PoisonSystem::ReportBlocked(TimePoint now) {
  if (crashes_.blocked_count() == 0 && reported_blocked_.empty()) return;
  std::unordered_set<poison::Fingerprint> blocked;
  for (const auto& it : crashes_.BlockedRequests()) blocked.insert(it);
  for (const auto& it : blocked) {
    if (!reported_blocked_.insert(it).second) continue;
    std::string detail = "fingerprint=" + poison::FingerprintText(it);
    for (const poison::Sighting& sighting : crashes_.SightingsOf(it)) {
      const poison::CrashRecord* record = crashes_.Find(sighting.record);
      detail += " crash=" + CrashText(sighting.record) +
                " node=" + record->observer.value() +
                " age_ms=" + std::to_string(Millis(now - sighting.end)) +
                " isolated=" + std::to_string(sighting.isolated ? 1 : 0);
    }
    emit_({EventNumber::kPoisonStopped, {}, {}, std::move(detail)});
  }
  for (auto it = reported_blocked_.begin(); it != reported_blocked_.end();) {
    if (blocked.count(*it) > 0) {
      ++it;
      continue;
    }
    emit_({EventNumber::kPoisonReleased,
           {},
           {},
           "fingerprint=" + poison::FingerprintText(*it)});
    it = reported_blocked_.erase(it);
  }
}

void PoisonSystem::Tick(TimePoint now) {
  if (now < last_tick_ + kTickInterval) return;
  last_tick_ = now;
  if (auto crash = gate_.TakeCrash(now)) {
    AddRecords(std::move(*crash), "process_ended", now);
  }
  TakeLostAttempts(now);
  crashes_.Tick(now);
  ReportBlocked(now);
  Send(spread_.Tick(now), now);
}

}  // namespace dogwoodrail::node
