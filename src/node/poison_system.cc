#include "node/poison_system.h"

#include <algorithm>
#include <string>
#include <utility>

namespace dogwoodrail::node {

namespace poison = core::poison;
using core::base::CallId;
using core::base::Duration;
using core::base::EventNumber;
using core::base::Ran;
using core::base::Reason;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
// All connections of a server that crashed end within this time.
constexpr Duration kCrashWindow = std::chrono::milliseconds(30);
constexpr Duration kReportRetry = std::chrono::milliseconds(200);
constexpr int kReportSends = 25;
constexpr Duration kSpreadInterval = std::chrono::milliseconds(50);
constexpr std::size_t kSpreadFanout = 4;
constexpr int kSpreadRounds = 3;

poison::Fingerprint FingerprintOf(const wire::CallMessage& message) {
  return poison::Fingerprint{message.fingerprint, 0};
}

CallId GateId(ExecutionIndex index) {
  constexpr unsigned kGenerationShift = 32;
  return CallId(
      (static_cast<std::uint64_t>(index.generation) << kGenerationShift) |
      index.slot);
}

std::string RumourText(const poison::PoisonRumour& rumour) {
  return "fingerprint=" + std::to_string(rumour.fingerprint.high) +
         " crashes=" + std::to_string(rumour.crashes);
}

// True if the connection ended in the middle of an execution.
bool EndedEarly(const http::BackendOutcome& outcome) {
  return outcome.ran == Ran::kUnknown &&
         outcome.reason == Reason::kBackendServerFailed;
}

}  // namespace

PoisonSystem::PoisonSystem(const poison::PoisonSettings& settings,
                           ShardSystem& shards, wire::Links& links,
                           MembersPort members, std::uint64_t seed,
                           core::base::EventSink emit)
    : shards_(shards),
      links_(links),
      members_(std::move(members)),
      random_(seed),
      emit_(std::move(emit)),
      book_(settings),
      gate_(shards.self().incarnation, &book_) {}

std::optional<Reason> PoisonSystem::CheckCall(const wire::CallMessage& message,
                                              TimePoint now) const {
  const auto status = book_.GetStatus(FingerprintOf(message), now);
  if (status != poison::PoisonStatus::kBlocked) return std::nullopt;
  return Reason::kPoisonRequest;
}

std::optional<Reason> PoisonSystem::MayStart(const Execution& execution,
                                             TimePoint now) {
  const CallId id = GateId(execution.index);
  const auto fingerprint = FingerprintOf(execution.message);
  switch (gate_.TryStart(id, fingerprint, now)) {
    case poison::GateDecision::kRefuse:
      return Reason::kPoisonRequest;
    case poison::GateDecision::kWait:
      return Reason::kOverloaded;
    case poison::GateDecision::kRun:
      break;
  }
  running_[id] = Running{fingerprint, now, false};
  return std::nullopt;
}

// A failed execution stays with the gate until it is known whether the whole
// backend server went down.
void PoisonSystem::OnFinished(const Execution& execution,
                              const http::BackendOutcome& outcome,
                              TimePoint now) {
  const CallId id = GateId(execution.index);
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  if (EndedEarly(outcome)) {
    it->second.failed = true;
    if (!first_failure_) first_failure_ = now;
    return;
  }
  running_.erase(it);
  const bool completed = outcome.reason == Reason::kNone;
  const auto report = gate_.OnFinished(id, completed, now);
  if (report) AddReport(*report, now);
}

// A crash ends all that was in flight. If something that began before the
// failure goes on, only connections were lost.
void PoisonSystem::JudgeFailures(TimePoint now) {
  if (!first_failure_ || now < *first_failure_ + kCrashWindow) return;
  bool survivor = false;
  for (const auto& [id, it] : running_) {
    if (!it.failed && it.started < *first_failure_) survivor = true;
  }
  std::vector<std::pair<CallId, Running>> later;
  for (const auto& [id, it] : running_) {
    const bool ended = it.failed && survivor;
    if (ended || !it.failed) gate_.OnFinished(id, false, now);
    if (!it.failed) later.emplace_back(id, it);
  }
  if (!survivor) {
    for (const auto& report : gate_.OnCrash(now)) AddReport(report, now);
  }
  running_.clear();
  for (const auto& [id, it] : later) {
    gate_.TryStart(id, it.fingerprint, now);
    running_[id] = it;
  }
  first_failure_.reset();
}

void PoisonSystem::AddReport(const poison::PoisonReport& report,
                             TimePoint now) {
  if (report.observation != poison::PoisonObservation::kCompleted) {
    emit_({EventNumber::kPoisonSuspected,
           {},
           {},
           "fingerprint=" + std::to_string(report.fingerprint.high)});
  }
  reports_.push_back(PendingReport{report, now, 0});
  SendReport(reports_.back(), now);
}

void PoisonSystem::SendReport(PendingReport& pending, TimePoint now) {
  pending.sent = now;
  ++pending.sends;
  const auto shard = shards_.table().ShardFor(
      poison::PoisonShardKey(pending.report.fingerprint));
  const auto owner = shards_.table().KnownPrimary(shard);
  if (!owner) return shards_.table().RequestOwner(shard, now);
  if (*owner == shards_.self()) return;  // counted by Tick()
  wire::PoisonMessage message;
  message.reports.push_back(pending.report);
  (void)links_.Send(owner->address, wire::EncodePoison(message));
}

// As owner: true if the report needs not be sent again.
bool PoisonSystem::Count(const poison::PoisonReport& report, TimePoint now) {
  const auto shard =
      shards_.table().ShardFor(poison::PoisonShardKey(report.fingerprint));
  const auto epoch = shards_.table().AuthorityEpoch(shard, now);
  if (epoch == core::shard::Epoch()) return false;
  const auto rumour = book_.OnReport(report, epoch.value(), now);
  if (rumour) Announce(*rumour);
  return true;
}

void PoisonSystem::TakeAck(const poison::CrashId& id) {
  const auto is_acked = [&id](const PendingReport& it) {
    return it.report.id == id;
  };
  reports_.erase(std::remove_if(reports_.begin(), reports_.end(), is_acked),
                 reports_.end());
}

void PoisonSystem::OnFrame(wire::LinkId from, const wire::Bytes& payload,
                           TimePoint now) {
  const auto message = wire::DecodePoison(payload);
  if (!message) return links_.Refuse(from, message.error().detail);
  wire::PoisonMessage answer;
  for (const auto& report : message->reports) {
    if (Count(report, now)) answer.acks.push_back(report.id);
  }
  for (const auto& id : message->acks) TakeAck(id);
  for (const auto& rumour : message->rumours) {
    if (book_.OnRumour(rumour, now)) Announce(rumour);
  }
  if (answer.acks.empty()) return;
  (void)links_.Reply(from, wire::EncodePoison(answer));
}

void PoisonSystem::Announce(const poison::PoisonRumour& rumour) {
  if (rumour.status == poison::PoisonStatus::kBlocked) {
    emit_({EventNumber::kPoisonStopped, {}, {}, RumourText(rumour)});
  }
  spreads_.push_back(Spread{rumour, kSpreadRounds});
}

// Each node passes news on to a few others, some times; whoever has it already
// stops there.
void PoisonSystem::SpreadRumours() {
  if (spreads_.empty()) return;
  wire::PoisonMessage message;
  for (Spread& it : spreads_) {
    message.rumours.push_back(it.rumour);
    --it.rounds_left;
  }
  const auto ended = [](const Spread& it) { return it.rounds_left <= 0; };
  spreads_.erase(std::remove_if(spreads_.begin(), spreads_.end(), ended),
                 spreads_.end());
  std::vector<core::shard::Member> members = members_();
  std::shuffle(members.begin(), members.end(), random_);
  std::size_t sent = 0;
  for (const core::shard::Member& it : members) {
    if (it.id == shards_.self()) continue;
    if (sent++ == kSpreadFanout) break;
    (void)links_.Send(it.id.address, wire::EncodePoison(message));
  }
}

void PoisonSystem::Tick(TimePoint now) {
  if (now < ticked_ + kTickInterval) return;
  ticked_ = now;
  JudgeFailures(now);
  for (auto it = reports_.begin(); it != reports_.end();) {
    if (Count(it->report, now) || it->sends >= kReportSends) {
      it = reports_.erase(it);
      continue;
    }
    if (now - it->sent >= kReportRetry) SendReport(*it, now);
    ++it;
  }
  if (now < spread_at_ + kSpreadInterval) return;
  spread_at_ = now;
  SpreadRumours();
  book_.Tick(now);
}

}  // namespace dogwoodrail::node
