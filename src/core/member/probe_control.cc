#include "core/member/probe_control.h"

#include <algorithm>

#include "core/member/peer_choice.h"

namespace dogwoodrail::core::member {
namespace {

constexpr int kMaxHealthPenalty = 7;
constexpr base::Duration kFocusTime = std::chrono::seconds(30);
constexpr std::uint64_t kFocusProbeEvery = 2;  // every nth probe
constexpr std::size_t kMaxRelays = 64;

MemberMessage MakeMessage(MessageKind kind, std::uint64_t sequence) {
  MemberMessage message;
  message.kind = kind;
  message.sequence = sequence;
  return message;
}

}  // namespace

ProbeControl::ProbeControl(const MemberSettings& settings,
                           const MemberSelf& self, base::Random* random)
    : settings_(settings),
      self_(self),
      random_(random),
      next_sequence_((*random)()) {}

std::vector<ProbeResult> ProbeControl::Tick(
    const MemberStore& store, base::TimePoint now,
    std::vector<SendMemberMessage>* out) {
  std::vector<ProbeResult> results;
  ExpireRelays(now, out);
  for (Probe& it : probes_) {
    const base::Duration age = now - it.started;
    if (it.answered) continue;
    if (!it.indirect && age >= settings_.probe_timeout * scale()) {
      SendPingRequests(store, &it, out);
    }
  }
  const base::Duration limit =
      (settings_.probe_timeout + settings_.indirect_timeout) * scale();
  for (const Probe& it : probes_) {
    if (!it.answered && now - it.started < limit) continue;
    results.push_back({it.target, it.answered});
    FinishProbe(store, it, now);
  }
  probes_.erase(std::remove_if(probes_.begin(), probes_.end(),
                               [&](const Probe& it) {
                                 return it.answered ||
                                        now - it.started >= limit;
                               }),
                probes_.end());
  if (now < next_probe_) return results;
  next_probe_ = now + settings_.probe_interval * scale();
  StartProbe(store, now, out);
  return results;
}

void ProbeControl::OnMessage(const base::NodeAddress& from,
                             const MemberMessage& message, base::TimePoint now,
                             std::vector<SendMemberMessage>* out) {
  switch (message.kind) {
    case MessageKind::kPing:
      out->push_back({from, MakeMessage(MessageKind::kAck, message.sequence)});
      return;
    case MessageKind::kPingRequest: {
      if (relays_.size() >= kMaxRelays) return;
      const std::uint64_t sequence = ++next_sequence_;
      relays_.push_back(
          {from, message.sequence, message.target, sequence, now});
      out->push_back(
          {message.target, MakeMessage(MessageKind::kPing, sequence)});
      return;
    }
    case MessageKind::kAck:
      OnAck(message, out);
      return;
    case MessageKind::kNack:
      for (Probe& it : probes_) {
        if (it.sequence == message.sequence) ++it.nacks;
      }
      return;
    default:
      return;
  }
}

void ProbeControl::Restart(base::TimePoint now) {
  probes_.clear();
  relays_.clear();
  next_probe_ = now + settings_.probe_interval;
}

void ProbeControl::IncreaseHealthPenalty() {
  health_penalty_ = std::min(health_penalty_ + 1, kMaxHealthPenalty);
}

void ProbeControl::StartProbe(const MemberStore& store, base::TimePoint now,
                              std::vector<SendMemberMessage>* out) {
  const MemberIndex target = PickTarget(store, now);
  if (!target.IsValid()) return;
  Probe probe;
  probe.target = target;
  probe.address = store.Find(target)->record.address;
  probe.sequence = ++next_sequence_;
  probe.started = now;
  MemberMessage ping = MakeMessage(MessageKind::kPing, probe.sequence);
  // Tells a suspected member of the suspicion, so that it can refute it.
  if (store.Find(target)->record.state == MemberState::kSuspect) {
    ping.records.push_back(store.Find(target)->record);
  }
  out->push_back({probe.address, std::move(ping)});
  probes_.push_back(std::move(probe));
}

// Picks helpers from another zone of the region and from this node's zone, so
// that a fault between two zones does not hide the target.
void ProbeControl::SendPingRequests(const MemberStore& store, Probe* probe,
                                    std::vector<SendMemberMessage>* out) {
  probe->indirect = true;
  std::vector<MemberIndex> helpers;
  for (std::size_t it = 0; it < settings_.indirect_helpers; ++it) {
    const Proximity proximity = it == 0 ? Proximity::kRegion : Proximity::kZone;
    const MemberIndex index =
        PickPeerWithFallback(store, self_, proximity, random_);
    if (!index.IsValid() || index == probe->target) continue;
    if (std::find(helpers.begin(), helpers.end(), index) != helpers.end()) {
      continue;
    }
    helpers.push_back(index);
    MemberMessage request =
        MakeMessage(MessageKind::kPingRequest, probe->sequence);
    request.target = probe->address;
    out->push_back({store.Find(index)->record.address, std::move(request)});
  }
  probe->helpers = helpers.size();
}

void ProbeControl::ExpireRelays(base::TimePoint now,
                                std::vector<SendMemberMessage>* out) {
  const base::Duration limit = settings_.probe_timeout;
  for (const Relay& it : relays_) {
    if (now - it.started < limit) continue;
    MemberMessage nack = MakeMessage(MessageKind::kNack, it.origin_sequence);
    nack.target = it.target;
    out->push_back({it.origin, std::move(nack)});
  }
  relays_.erase(std::remove_if(
                    relays_.begin(), relays_.end(),
                    [&](const Relay& it) { return now - it.started >= limit; }),
                relays_.end());
}

// Helpers that sent neither an acknowledgement nor a negative one suggest that
// this node's own links are at fault, rather than the target.
void ProbeControl::FinishProbe(const MemberStore& store, const Probe& probe,
                               base::TimePoint now) {
  if (probe.answered) {
    health_penalty_ = std::max(health_penalty_ - 1, 0);
    return;
  }
  if (probe.helpers > probe.nacks) IncreaseHealthPenalty();
  const Member* member = store.Find(probe.target);
  if (member == nullptr || member->record.region != self_.region) return;
  if (member->record.zone == self_.zone) return;
  focus_zone_ = member->record.zone;
  focus_until_ = now + kFocusTime;
}

void ProbeControl::OnAck(const MemberMessage& message,
                         std::vector<SendMemberMessage>* out) {
  for (Probe& it : probes_) {
    if (it.sequence == message.sequence) it.answered = true;
  }
  const auto relay = std::find_if(
      relays_.begin(), relays_.end(),
      [&](const Relay& it) { return it.sequence == message.sequence; });
  if (relay == relays_.end()) return;
  out->push_back(
      {relay->origin, MakeMessage(MessageKind::kAck, relay->origin_sequence)});
  relays_.erase(relay);
}

MemberIndex ProbeControl::PickTarget(const MemberStore& store,
                                     base::TimePoint now) {
  ++probe_count_;
  if (probe_count_ % settings_.remote_probe_every == 0) {
    return PickPeerWithFallback(store, self_, Proximity::kRemote, random_);
  }
  if (now < focus_until_ && probe_count_ % kFocusProbeEvery == 0) {
    const MemberIndex index = PickInZone(store, self_, focus_zone_, random_);
    if (index.IsValid()) return index;
  }
  if (probe_count_ % settings_.region_probe_every == 0) {
    return PickPeerWithFallback(store, self_, Proximity::kRegion, random_);
  }
  const MemberIndex index = NextInZone(store);
  if (index.IsValid()) return index;
  return PickPeerWithFallback(store, self_, Proximity::kRegion, random_);
}

// Probes the zone's members in rounds of random order. This bounds the time
// until each of them has been probed.
MemberIndex ProbeControl::NextInZone(const MemberStore& store) {
  if (probe_order_.empty()) {
    const ZoneGroup* zone = store.FindZone(self_.zone);
    if (zone == nullptr) return {};
    probe_order_ = zone->live;
    std::shuffle(probe_order_.begin(), probe_order_.end(), *random_);
  }
  while (!probe_order_.empty()) {
    const MemberIndex index = probe_order_.back();
    probe_order_.pop_back();
    const Member* member = store.Find(index);
    if (member == nullptr || !member->record.IsLive()) continue;
    if (member->record.address != self_.address) return index;
  }
  return {};
}

}  // namespace dogwoodrail::core::member
