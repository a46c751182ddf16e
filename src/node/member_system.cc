#include "node/member_system.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "core/member/peer_choice.h"
#include "wire/member_codec.h"

namespace dogwoodrail::node {

using core::base::BackendServerState;
using core::base::EventNumber;
using core::base::NodeAddress;
using core::member::BackendPhase;
using core::member::MemberAction;
using core::member::MemberNotice;
using core::member::MemberRecord;
using core::member::NoticeKind;

namespace {

constexpr core::base::Duration kTickInterval = std::chrono::milliseconds(100);

BackendPhase ToBackendPhase(BackendServerState state) {
  switch (state) {
    case BackendServerState::kStarting:
      return BackendPhase::kStarting;
    case BackendServerState::kReady:
      return BackendPhase::kReady;
    case BackendServerState::kDraining:
      return BackendPhase::kDraining;
    default:
      return BackendPhase::kGone;
  }
}

// Returns the backend server state for the endpoint chooser, if the member is
// live and has a backend server.
std::optional<BackendServerState> EndpointState(const MemberRecord& record) {
  if (!record.IsLive()) return std::nullopt;
  switch (record.backend.phase) {
    case BackendPhase::kStarting:
      return BackendServerState::kStarting;
    case BackendPhase::kReady:
      return BackendServerState::kReady;
    case BackendPhase::kDraining:
      return BackendServerState::kDraining;
    default:
      return std::nullopt;
  }
}

std::optional<EventNumber> ToEventNumber(NoticeKind kind) {
  switch (kind) {
    case NoticeKind::kJoined:
    case NoticeKind::kRestarted:
      return EventNumber::kMemberJoined;
    case NoticeKind::kSuspected:
      return EventNumber::kMemberSuspected;
    case NoticeKind::kFailed:
    case NoticeKind::kLeft:
      return EventNumber::kMemberLeft;
    default:
      return std::nullopt;
  }
}

}  // namespace

MemberSystem::MemberSystem(const core::member::MemberSelf& self,
                           core::member::MemberSettings settings,
                           std::uint64_t seed, wire::DatagramSocket& datagrams,
                           core::route::EndpointChooser& chooser,
                           core::base::EventSink emit)
    : datagrams_(datagrams),
      chooser_(chooser),
      emit_(std::move(emit)),
      table_(self, std::move(settings), seed),
      random_(seed) {}

// Announcements are periodic; the member table ignores unchanged ones.
void MemberSystem::SetBackend(const BackendAnnouncement& backend,
                              TimePoint now) {
  if (table_.own_record().state == core::member::MemberState::kLeft) return;
  constexpr std::uint32_t kMaxSlots = std::numeric_limits<std::uint16_t>::max();
  core::member::BackendState state;
  state.service = backend.service;
  state.phase = ToBackendPhase(backend.state);
  state.slots =
      static_cast<std::uint16_t>(std::min(backend.load.slots, kMaxSlots));
  Apply(table_.SetBackend(state, now), now);
  UpdateEndpoint(table_.own_record(), now);
  next_tick_ = now;  // send the change without delay
}

void MemberSystem::BeginLeave(TimePoint now) {
  Apply(table_.BeginLeave(now), now);
  next_tick_ = now;
}

void MemberSystem::OnDatagram(const NodeAddress& from, const wire::Frame& frame,
                              TimePoint now) {
  if (frame.kind != wire::FrameKind::kMember) return;
  const auto message = wire::DecodeMember(frame.payload);
  if (!message) {
    emit_({EventNumber::kFrameRefused,
           {},
           {},
           "peer=" + from.value() + " cause=" + message.error().detail});
    return;
  }
  if (on_datagram_) on_datagram_(now);
  Apply(table_.OnDatagram(from, *message, now), now);
}

void MemberSystem::Tick(TimePoint now) {
  if (now < next_tick_) return;
  next_tick_ = now + kTickInterval;
  Apply(table_.Tick(now), now);
}

NodeAddress MemberSystem::PickPeer() {
  const auto& store = table_.store();
  const auto index = core::member::PickAnyPeer(store, table_.self(), &random_);
  const auto* peer = store.Find(index);
  return peer == nullptr ? NodeAddress() : peer->record.address;
}

std::vector<core::shard::Member> MemberSystem::LivePeers() const {
  std::vector<core::shard::Member> members;
  members.reserve(table_.live_count());
  table_.ForEach([&](const MemberRecord& it) {
    if (!it.IsLive() || it.address == table_.self().address) return;
    members.push_back({{it.address, it.incarnation}, it.zone});
  });
  return members;
}

void MemberSystem::Apply(const std::vector<MemberAction>& actions,
                         TimePoint now) {
  for (const MemberAction& it : actions) {
    if (const auto* notice = std::get_if<MemberNotice>(&it)) {
      OnNotice(*notice, now);
      continue;
    }
    const auto& send = std::get<core::member::SendMemberMessage>(it);
    const auto datagram = wire::EncodeMember(send.message);
    if (datagram) datagrams_.Send(send.to, *datagram);
  }
}

void MemberSystem::OnNotice(const MemberNotice& notice, TimePoint now) {
  UpdateEndpoint(notice.record, now);
  const auto event = ToEventNumber(notice.kind);
  if (!event) return;
  emit_({*event,
         {},
         {},
         "address=" + notice.record.address.value() +
             " zone=" + notice.record.zone.value() +
             " version=" + std::to_string(notice.record.version)});
}

void MemberSystem::UpdateEndpoint(const MemberRecord& record, TimePoint now) {
  const auto state = EndpointState(record);
  const auto found = endpoints_.find(record.address);
  const bool moved = found != endpoints_.end() &&
                     (!state || found->second != record.backend.service);
  if (moved) {
    chooser_.Remove(found->second, record.address);
    endpoints_.erase(found);
  }
  if (!state) return;
  endpoints_[record.address] = record.backend.service;
  chooser_.Upsert({record.backend.service, record.address, record.zone, *state},
                  now);
}

}  // namespace dogwoodrail::node
