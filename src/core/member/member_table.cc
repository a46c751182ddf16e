#include "core/member/member_table.h"

#include <algorithm>

#include "core/base/hash_func.h"
#include "core/member/peer_choice.h"

namespace dogwoodrail::core::member {
namespace {

constexpr base::Duration kCleanupInterval = std::chrono::seconds(10);

std::uint32_t AccuserOf(const MemberSelf& self) {
  return static_cast<std::uint32_t>(base::StableHash(self.address.value()));
}

NoticeKind NoticeOf(const RecordChange& change, const MemberRecord& record) {
  if (record.state == MemberState::kLeft) return NoticeKind::kLeft;
  if (record.state == MemberState::kFailed) return NoticeKind::kFailed;
  if (!change.was_known || !change.before.IsLive()) return NoticeKind::kJoined;
  if (record.incarnation != change.before.incarnation) {
    return NoticeKind::kRestarted;
  }
  if (record.state == MemberState::kSuspect) return NoticeKind::kSuspected;
  if (record.backend != change.before.backend) {
    return NoticeKind::kBackendChanged;
  }
  return NoticeKind::kRefuted;
}

}  // namespace

MemberTable::MemberTable(MemberSelf self, MemberSettings settings,
                         std::uint64_t seed)
    : self_(std::move(self)),
      settings_(std::move(settings)),
      random_(seed),
      queue_(settings_.queue_limit, settings_.rumour_limit),
      suspicions_(settings_),
      probes_(settings_, self_, &random_),
      sync_(settings_, self_, &random_),
      gossip_budget_(settings_.gossip_bytes_per_s,
                     settings_.gossip_burst_bytes) {
  own_.address = self_.address;
  own_.incarnation = self_.incarnation;
  own_.version = self_.first_version;
  own_.zone = self_.zone;
  own_.region = self_.region;
  queue_.AddRecord(store_.Apply(own_, base::TimePoint{}).index);
}

std::vector<MemberAction> MemberTable::OnDatagram(const base::NodeAddress& from,
                                                  const MemberMessage& message,
                                                  base::TimePoint now) {
  std::vector<MemberAction> actions;
  std::vector<SendMemberMessage> out;
  CheckPause(now, &actions);
  CorrectSender(from, message, &out);
  ApplyRecord(message.sender, true, now, &actions);
  const bool is_sync = message.kind == MessageKind::kSyncRecords;
  const std::size_t before = actions.size();
  for (const MemberRecord& it : message.records) {
    ApplyRecord(it, !is_sync, now, &actions);
  }
  if (is_sync) sync_.CountLearned(actions.size() - before);
  for (const Rumour& it : message.rumours) {
    ApplyRumour(from, it);
  }
  probes_.OnMessage(from, message, now, &out);
  sync_.OnMessage(store_, from, message, now, &out);
  FinishMessages(std::move(out), &actions);
  return actions;
}

std::vector<MemberAction> MemberTable::Tick(base::TimePoint now) {
  std::vector<MemberAction> actions;
  std::vector<SendMemberMessage> out;
  CheckPause(now, &actions);
  last_tick_ = now;
  ticked_ = true;
  if (own_.state != MemberState::kLeft) {
    ApplyProbeResults(probes_.Tick(store_, now, &out), now, &actions);
    FailExpiredSuspects(now, &actions);
    if (queue_.overflow_count() != last_overflow_count_) {
      sync_.ScheduleSoon(now);
    }
    last_overflow_count_ = queue_.overflow_count();
    sync_.Tick(store_, now, &out);
  }
  Gossip(now, &out);
  if (now >= next_cleanup_) {
    next_cleanup_ = now + kCleanupInterval;
    store_.RemoveDeadBefore(now - settings_.tombstone_age);
  }
  FinishMessages(std::move(out), &actions);
  return actions;
}

std::vector<MemberAction> MemberTable::SetBackend(const BackendState& backend,
                                                  base::TimePoint now) {
  std::vector<MemberAction> actions;
  CheckPause(now, &actions);
  if (own_.backend == backend) return actions;
  own_.backend = backend;
  PublishOwn(now);
  return actions;
}

std::vector<MemberAction> MemberTable::BeginLeave(base::TimePoint now) {
  std::vector<MemberAction> actions;
  if (own_.state == MemberState::kLeft) return actions;
  own_.state = MemberState::kLeft;
  PublishOwn(now);
  return actions;
}

bool MemberTable::SpreadRumour(const Rumour& rumour) {
  return queue_.AddRumour(rumour, RumourQueue::Spread::kSend);
}

void MemberTable::ForEachReady(
    const base::ServiceName& service,
    const std::function<void(const MemberRecord&)>& fn) const {
  store_.ForEachReady(service, fn);
}

void MemberTable::ForEach(
    const std::function<void(const MemberRecord&)>& fn) const {
  store_.ForEach(fn);
}

const MemberRecord* MemberTable::Find(const base::NodeAddress& address) const {
  const Member* member = store_.Find(address);
  return member == nullptr ? nullptr : &member->record;
}

// After a pause of the process, timers, rumours and view are outdated. The node
// therefore restarts its timers instead of declaring members failed, drops what
// it had queued, announces its backend server as starting until the server
// announces itself again, and synchronizes its view with its peers.
void MemberTable::CheckPause(base::TimePoint now,
                             std::vector<MemberAction>* actions) {
  if (!ticked_ || now - last_tick_ <= settings_.pause_limit) return;
  const base::Duration gap = now - last_tick_;
  last_tick_ = now;
  queue_.ClearQueue();
  suspicions_.Restart(now);
  probes_.Restart(now);
  probes_.IncreaseHealthPenalty();
  sync_.OnPause(now);
  was_confirmed_ = false;
  if (gap >= settings_.tombstone_age) {
    store_.RemoveDeadBefore(now);  // other nodes have removed theirs
  }
  if (own_.backend.phase == BackendPhase::kReady) {
    own_.backend.phase = BackendPhase::kStarting;
  }
  if (own_.state != MemberState::kLeft) PublishOwn(now);
  actions->push_back(MemberNotice{NoticeKind::kPaused, own_});
}

void MemberTable::PublishOwn(base::TimePoint now) {
  ++own_.version;
  queue_.AddRecord(store_.Apply(own_, now).index);
  next_gossip_ = std::min(next_gossip_, now);
}

void MemberTable::ApplyRecord(const MemberRecord& record, bool spread,
                              base::TimePoint now,
                              std::vector<MemberAction>* actions) {
  if (record.address.empty()) return;
  if (record.address == self_.address) {
    RefuteOwnRecord(record, now);
    return;
  }
  const RecordChange change = store_.Apply(record, now);
  if (record.state == MemberState::kSuspect) ConfirmSuspicion(record, now);
  if (!change.accepted) return;
  const bool is_new = !change.was_known && record.IsLive();
  if (spread) queue_.AddRecord(change.index, is_new);
  NotifyChange(change, record, actions);
}

// The rumour is stored first, so that it counts as known. It is forwarded only
// if its module does not want to check it first.
void MemberTable::ApplyRumour(const base::NodeAddress& from,
                              const Rumour& rumour) {
  if (!queue_.AddRumour(rumour, RumourQueue::Spread::kHold)) return;
  if (rumour_hook_ && !rumour_hook_(from, rumour)) return;
  queue_.AddRumour(rumour, RumourQueue::Spread::kSend);
}

// Refutes a record of this node by a higher version, if the record is newer
// than the node's own or claims another state or incarnation.
void MemberTable::RefuteOwnRecord(const MemberRecord& record,
                                  base::TimePoint now) {
  const bool other_incarnation = record.incarnation != own_.incarnation;
  const bool worse =
      record.state != own_.state && own_.state != MemberState::kLeft;
  if (record.version < own_.version) return;
  if (record.version == own_.version && !worse && !other_incarnation) return;
  if (record.state == MemberState::kSuspect) probes_.IncreaseHealthPenalty();
  own_.version = record.version;
  PublishOwn(now);
}

void MemberTable::NotifyChange(const RecordChange& change,
                               const MemberRecord& record,
                               std::vector<MemberAction>* actions) {
  if (record.state != MemberState::kSuspect) {
    suspicions_.Cancel(record.address);
  }
  if (!change.was_known && !record.IsLive()) return;  // never known as live
  const bool still_dead =
      change.was_known && !change.before.IsLive() && !record.IsLive();
  if (still_dead) return;
  actions->push_back(MemberNotice{NoticeOf(change, record), record});
}

// Only nodes of the member's own region run a suspicion timer, so that regions
// cut off from each other do not declare each other's members failed.
void MemberTable::ConfirmSuspicion(const MemberRecord& record,
                                   base::TimePoint now) {
  const Member* member = store_.Find(record.address);
  if (member == nullptr || member->record.state != MemberState::kSuspect) {
    return;
  }
  if (member->record.version != record.version) return;
  if (record.region != self_.region) return;
  if (!suspicions_.Confirm(record.address, record.accuser, now)) return;
  const RecordChange change = store_.Apply(record, now);  // finds the index
  store_.SetAccuser(change.index, record.accuser);
  queue_.AddRecord(change.index);
}

// If this node has the sender as suspected, failed or with another incarnation,
// it sends the sender that record, so that the sender can refute it.
void MemberTable::CorrectSender(const base::NodeAddress& from,
                                const MemberMessage& message,
                                std::vector<SendMemberMessage>* out) {
  const Member* member = store_.Find(message.sender.address);
  if (member == nullptr || message.sender.address == self_.address) return;
  const MemberRecord& held = member->record;
  if (held.version < message.sender.version) return;
  const bool same_incarnation = held.incarnation == message.sender.incarnation;
  if (held.state == message.sender.state && same_incarnation) return;
  if (held.state < message.sender.state && same_incarnation) return;
  MemberMessage correction;
  correction.kind = MessageKind::kGossip;
  correction.records.push_back(held);
  out->push_back({from, std::move(correction)});
}

void MemberTable::ApplyProbeResults(const std::vector<ProbeResult>& results,
                                    base::TimePoint now,
                                    std::vector<MemberAction>* actions) {
  for (const ProbeResult& it : results) {
    const Member* member = store_.Find(it.target);
    if (member == nullptr || !member->record.IsLive()) continue;
    if (it.answered || member->record.region != self_.region) {
      store_.SetUnreachable(it.target, !it.answered);
      continue;
    }
    MemberRecord record = member->record;
    record.state = MemberState::kSuspect;
    record.accuser = AccuserOf(self_);
    ApplyRecord(record, true, now, actions);
  }
}

void MemberTable::FailExpiredSuspects(base::TimePoint now,
                                      std::vector<MemberAction>* actions) {
  for (const base::NodeAddress& it :
       suspicions_.TakeExpired(now, probes_.scale())) {
    const Member* member = store_.Find(it);
    if (member == nullptr) continue;
    if (member->record.state != MemberState::kSuspect) continue;
    MemberRecord record = member->record;
    record.state = MemberState::kFailed;
    ApplyRecord(record, true, now, actions);
  }
}

void MemberTable::Gossip(base::TimePoint now,
                         std::vector<SendMemberMessage>* out) {
  if (now < next_gossip_ || queue_.empty()) return;
  next_gossip_ = now + settings_.gossip_interval;
  for (std::size_t it = 0; it < settings_.gossip_fanout; ++it) {
    Proximity proximity = Proximity::kZone;
    if (it == 0) {
      const std::uint64_t turn = base::RandomBelow(random_, 4);
      if (turn <= 1) proximity = Proximity::kRegion;
      if (turn == 2) proximity = Proximity::kRemote;
    }
    const MemberIndex peer =
        PickPeerWithFallback(store_, self_, proximity, &random_);
    if (!peer.IsValid()) return;
    if (!gossip_budget_.HasAny(now) && !queue_.HasRumours()) return;
    MemberMessage message;
    message.kind = MessageKind::kGossip;
    out->push_back({store_.Find(peer)->record.address, std::move(message)});
  }
}

// Sets this node's record as the sender of each message and piggybacks rumours
// and records on it.
void MemberTable::FinishMessages(std::vector<SendMemberMessage> out,
                                 std::vector<MemberAction>* actions) {
  for (SendMemberMessage& it : out) {
    MemberMessage& message = it.message;
    message.sender = own_;
    if (message.kind == MessageKind::kSyncZones) {
      queue_.FillStored(settings_.datagram_bytes, &message);
    } else if (message.kind != MessageKind::kSyncRecords) {
      Piggyback(&message);
    }
    actions->push_back(std::move(it));
  }
  if (sync_.IsConfirmed() == was_confirmed_) return;
  was_confirmed_ = sync_.IsConfirmed();
  if (was_confirmed_) {
    actions->push_back(MemberNotice{NoticeKind::kViewConfirmed, own_});
  }
}

// Rumours are few and small and always sent. Records wait while the gossip
// budget is overdrawn, as after the loss of a zone. All piggybacked bytes are
// charged to that budget.
void MemberTable::Piggyback(MemberMessage* message) {
  const std::size_t before = EstimateBytes(*message);
  queue_.FillRumours(settings_.datagram_bytes, MaxSends(), message);
  const bool is_probe =
      message->kind == MessageKind::kPing || message->kind == MessageKind::kAck;
  if (is_probe && message->rumours.empty()) {
    queue_.FillPinned(settings_.datagram_bytes, message);
  }
  if (gossip_budget_.HasAny(last_tick_)) {
    queue_.FillRecords(store_, settings_.datagram_bytes, MaxSends(), message);
  }
  gossip_budget_.Charge(EstimateBytes(*message) - before, last_tick_);
}

std::size_t MemberTable::MaxSends() const {
  std::size_t digits = 1;
  for (std::size_t n = store_.live_count(); n >= 10; n /= 10) ++digits;
  return settings_.base_sends + settings_.sends_per_digit * digits;
}

}  // namespace dogwoodrail::core::member
