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
  Learn(message.sender, true, now, &actions);
  const bool is_sync = message.kind == MessageKind::kSyncRecords;
  const std::size_t before = actions.size();
  for (const MemberRecord& it : message.records) {
    Learn(it, !is_sync, now, &actions);
  }
  if (is_sync) sync_.NoteLearned(actions.size() - before);
  for (const Rumour& it : message.rumours) {
    LearnRumour(from, it);
  }
  probes_.OnMessage(from, message, now, &out);
  sync_.OnMessage(store_, from, message, now, &out);
  Emit(std::move(out), &actions);
  return actions;
}

std::vector<MemberAction> MemberTable::Tick(base::TimePoint now) {
  std::vector<MemberAction> actions;
  std::vector<SendMemberMessage> out;
  CheckPause(now, &actions);
  last_tick_ = now;
  ticked_ = true;
  if (own_.state != MemberState::kLeft) {
    TakeProbeResults(probes_.Tick(store_, now, &out), now, &actions);
    FailExpired(now, &actions);
    if (queue_.overflow_count() != seen_overflow_) sync_.Hasten(now);
    seen_overflow_ = queue_.overflow_count();
    sync_.Tick(store_, now, &out);
  }
  Gossip(now, &out);
  if (now >= next_cleanup_) {
    next_cleanup_ = now + kCleanupInterval;
    store_.RemoveDeadBefore(now - settings_.tombstone_age);
  }
  Emit(std::move(out), &actions);
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

// A node that was paused holds old timers, old rumours and an old view. It
// declares nobody failed on their strength, passes nothing on, announces its
// backend server as not ready until that is heard again, and asks anew.
void MemberTable::CheckPause(base::TimePoint now,
                             std::vector<MemberAction>* actions) {
  if (!ticked_ || now - last_tick_ <= settings_.pause_limit) return;
  const base::Duration gap = now - last_tick_;
  last_tick_ = now;
  queue_.StopSending();
  suspicions_.Restart(now);
  probes_.Restart(now);
  probes_.LowerHealth();
  sync_.Restart(now);
  was_confirmed_ = false;
  if (gap >= settings_.tombstone_age) {
    store_.RemoveDeadBefore(now);  // the others have forgotten theirs
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

void MemberTable::Learn(const MemberRecord& record, bool spread,
                        base::TimePoint now,
                        std::vector<MemberAction>* actions) {
  if (record.address.empty()) return;
  if (record.address == self_.address) {
    LearnOwn(record, now);
    return;
  }
  const RecordChange change = store_.Apply(record, now);
  if (record.state == MemberState::kSuspect) ConfirmSuspicion(record, now);
  if (!change.accepted) return;
  const bool is_new = !change.was_known && record.IsLive();
  if (spread) queue_.AddRecord(change.index, is_new);
  AfterChange(change, record, actions);
}

// A rumour that its module wants to check first is kept, so that it counts as
// known, but goes no further.
void MemberTable::LearnRumour(const base::NodeAddress& from,
                              const Rumour& rumour) {
  if (!queue_.AddRumour(rumour, RumourQueue::Spread::kHold)) return;
  if (rumour_hook_ && !rumour_hook_(from, rumour)) return;
  queue_.AddRumour(rumour, RumourQueue::Spread::kSend);
}

// Another's word about this node that is newer than its own, or worse, is
// overridden by a higher version.
void MemberTable::LearnOwn(const MemberRecord& record, base::TimePoint now) {
  const bool other_life = record.incarnation != own_.incarnation;
  const bool worse =
      record.state != own_.state && own_.state != MemberState::kLeft;
  if (record.version < own_.version) return;
  if (record.version == own_.version && !worse && !other_life) return;
  if (record.state == MemberState::kSuspect) probes_.LowerHealth();
  own_.version = record.version;
  PublishOwn(now);
}

void MemberTable::AfterChange(const RecordChange& change,
                              const MemberRecord& record,
                              std::vector<MemberAction>* actions) {
  if (record.state != MemberState::kSuspect) {
    suspicions_.Cancel(record.address);
  }
  if (!change.was_known && !record.IsLive()) return;  // died before we knew it
  const bool died_again =
      change.was_known && !change.before.IsLive() && !record.IsLive();
  if (died_again) return;
  actions->push_back(MemberNotice{NoticeOf(change, record), record});
}

// Only nodes of the member's own region time a suspicion: regions that cannot
// hear each other must not declare each other failed.
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

// A sender that is held as suspected, failed or in an older life is told, so
// that it can refute.
void MemberTable::CorrectSender(const base::NodeAddress& from,
                                const MemberMessage& message,
                                std::vector<SendMemberMessage>* out) {
  const Member* member = store_.Find(message.sender.address);
  if (member == nullptr || message.sender.address == self_.address) return;
  const MemberRecord& held = member->record;
  if (held.version < message.sender.version) return;
  const bool same_life = held.incarnation == message.sender.incarnation;
  if (held.state == message.sender.state && same_life) return;
  if (held.state < message.sender.state && same_life) return;
  MemberMessage correction;
  correction.kind = MessageKind::kGossip;
  correction.records.push_back(held);
  out->push_back({from, std::move(correction)});
}

void MemberTable::TakeProbeResults(const std::vector<ProbeResult>& results,
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
    Learn(record, true, now, actions);
  }
}

void MemberTable::FailExpired(base::TimePoint now,
                              std::vector<MemberAction>* actions) {
  for (const base::NodeAddress& it :
       suspicions_.TakeExpired(now, probes_.scale())) {
    const Member* member = store_.Find(it);
    if (member == nullptr) continue;
    if (member->record.state != MemberState::kSuspect) continue;
    MemberRecord record = member->record;
    record.state = MemberState::kFailed;
    Learn(record, true, now, actions);
  }
}

void MemberTable::Gossip(base::TimePoint now,
                         std::vector<SendMemberMessage>* out) {
  if (now < next_gossip_ || queue_.empty()) return;
  next_gossip_ = now + settings_.gossip_interval;
  for (std::size_t it = 0; it < settings_.gossip_fanout; ++it) {
    Proximity nearness = Proximity::kZone;
    if (it == 0) {
      const std::uint64_t turn = base::RandomBelow(random_, 4);
      if (turn <= 1) nearness = Proximity::kRegion;
      if (turn == 2) nearness = Proximity::kRemote;
    }
    const MemberIndex peer =
        PickPeerWithFallback(store_, self_, nearness, &random_);
    if (!peer.IsValid()) return;
    if (!gossip_budget_.HasAny(now) && !queue_.HasRumours()) return;
    MemberMessage message;
    message.kind = MessageKind::kGossip;
    out->push_back({store_.Find(peer)->record.address, std::move(message)});
  }
}

// Stamps each datagram with this node's record and fills it with rumours.
// Piggybacked bytes are charged to the gossip budget too.
void MemberTable::Emit(std::vector<SendMemberMessage> out,
                       std::vector<MemberAction>* actions) {
  for (SendMemberMessage& it : out) {
    MemberMessage& message = it.message;
    message.sender = own_;
    if (message.kind == MessageKind::kSyncZones) {
      queue_.FillKept(settings_.datagram_bytes, &message);
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

// Rumours of other modules are few and small; records wait while the budget is
// overdrawn, as after the loss of a zone.
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
