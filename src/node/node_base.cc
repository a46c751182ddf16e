#include "node/node_base.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cmath>
#include <ctime>
#include <utility>

#include "core/base/reason_table.h"
#include "node/close_event.h"
#include "node/reply_func.h"
#include "node/request_id.h"
#include "node/secret_func.h"
#include "wire/address_func.h"

namespace dogwoodrail::node {

namespace asio = boost::asio;
using boost::system::error_code;
using core::base::CallId;
using core::base::ErrorCode;
using core::base::EventNumber;
using core::base::MakeError;
using core::base::NodeAddress;
using core::base::Reason;

namespace {

constexpr std::chrono::milliseconds kTickInterval(5);
// Part of the memory that is for messages. Besides them there are copies of a
// message while it is encoded or decoded, and what the node holds of its own.
constexpr std::size_t kMessageMemoryDivisor = 3;
constexpr core::base::Duration kMemberUpdateInterval =
    std::chrono::milliseconds(200);
// Smallest change of the admitted share that is logged.
constexpr double kLoggedShareStep = 0.1;
// Smaller growth of the difference between the clocks is ignored.
constexpr core::base::Duration kMinSuspension = std::chrono::milliseconds(20);

// Returns the time for which the VM has been suspended since it was booted.
core::base::Duration SuspendedTime() {
  timespec boot{};
  timespec steady{};
  ::clock_gettime(CLOCK_BOOTTIME, &boot);
  ::clock_gettime(CLOCK_MONOTONIC, &steady);
  const auto seconds = std::chrono::seconds(boot.tv_sec - steady.tv_sec);
  const auto rest = std::chrono::nanoseconds(boot.tv_nsec - steady.tv_nsec);
  return std::chrono::duration_cast<core::base::Duration>(seconds + rest);
}

// Returns the identity that this node sends to its peers.
wire::LinkPeer MakeSelfPeer(const Settings& settings) {
  return wire::LinkPeer{NodeAddress(settings.identity.peer_address),
                        core::base::Incarnation(RandomSeed()),
                        settings.identity.zone, settings.identity.region};
}

// Returns the membership record of this node. Its first version is the wall
// time, so that it is higher after a restart. If the clock has stepped back,
// the peers report the higher version that they know and it is raised.
core::member::MemberSelf MakeMemberSelf(const wire::LinkPeer& self) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(wall);
  return {self.address, self.incarnation,
          static_cast<std::uint64_t>(ms.count()), self.zone, self.region};
}

// Returns the membership settings with the seed addresses added.
core::member::MemberSettings MakeMemberSettings(const Settings& settings) {
  core::member::MemberSettings result = settings.member;
  result.seeds = settings.seeds;
  return result;
}

// Returns the address at which the node listens for its peers. It differs from
// the advertised address if there is a relay in front of the node.
const std::string& PeerListenAddress(const Settings& settings) {
  const auto& identity = settings.identity;
  return identity.peer_listen.empty() ? identity.peer_address
                                      : identity.peer_listen;
}

// Opens a listener; errors name the setting and its value.
template <typename Listener>
core::base::Result<void> ListenAt(Listener& listener, const char* what,
                                  const std::string& address) {
  const auto parsed = wire::ParseIpPort(address);
  if (!parsed) return tl::make_unexpected(parsed.error());
  auto listening = listener.Listen(parsed->ip, parsed->port);
  if (!listening) {
    return MakeError(
        listening.error().code,
        std::string(what) + " " + address + ": " + listening.error().detail);
  }
  return {};
}

}  // namespace

Node::Node(asio::io_context& loop, Settings settings,
           core::base::EventSink emit, Dialect dialect)
    : settings_(std::move(settings)),
      emit_(std::move(emit)),
      barrier_(emit_),
      memory_(settings_.identity.memory_bytes / kMessageMemoryDivisor),
      dialect_(std::move(dialect)),
      self_(settings_.identity.peer_address),
      self_peer_(MakeSelfPeer(settings_)),
      loop_(loop),
      tick_timer_(loop_),
      links_(loop_, self_peer_, settings_.links),
      datagrams_(loop_),
      shards_(settings_.shard,
              {{self_peer_.address, self_peer_.incarnation}, self_peer_.zone},
              links_, emit_, Now()),
      backend_client_(loop_, settings_.backend, dialect_.backend),
      admission_(settings_.admission, RandomSeed()),
      chain_(settings_.chain, RandomSeed()),
      chooser_(settings_.route, RandomSeed()),
      entry_(EntrySettings{settings_.retry, RandomSeed()}, chooser_,
             MakeEntryPorts()),
      grantors_(
          settings_.shard.shard_count,
          {{self_peer_.address, self_peer_.incarnation}, self_peer_.zone}),
      rates_(settings_.rate, settings_.shard.shard_count, MakeRateOwners(),
             links_, entry_),
      once_(settings_.once, shards_, links_, entry_, emit_),
      poison_(settings_.poison, self_peer_.address, self_peer_.incarnation,
              MakePoisonPorts(), emit_),
      serving_(settings_.serving, admission_, MakeServingPorts()),
      members_(MakeMemberSelf(self_peer_), MakeMemberSettings(settings_),
               RandomSeed(), datagrams_, chooser_, emit_),
      caller_server_(loop_, settings_.caller, MakeCallerHooks()) {
  links_.SetTraffic(&traffic_);
  links_.SetMemoryBudget(&memory_);
  backend_client_.SetMemoryBudget(&memory_);
  caller_server_.SetMemoryBudget(&memory_);
  datagrams_.SetTraffic(&traffic_, [this](const NodeAddress& address) {
    return ScopeOf(address);
  });
  SetLinkHandlers();
  if (settings_.features.shards) {
    shards_.AddListener(
        [this](const core::shard::ShardAction& action, TimePoint now) {
          rates_.OnShardAction(action, now);
        });
  }
  suspended_total_ = SuspendedTime();
  AddMetricsSources();
}

void Node::AddMetricsSources() {
  metrics_.AddSource([this](std::ostream& out) {
    WriteMetric(out, "dogwoodrail_handler_failures_total", "counter",
                "Pieces of work that an unforeseen exception ended.",
                barrier_.failures());
    WriteMetric(out, "dogwoodrail_message_bytes", "gauge",
                "Bytes of messages that the node holds.", memory_.used());
    WriteMetric(out, "dogwoodrail_message_bytes_limit", "gauge",
                "Bytes of messages that the node may hold.", memory_.limit());
    WriteMetric(out, "dogwoodrail_message_refusals_total", "counter",
                "Messages, or parts of them, that there was no memory for.",
                memory_.refusals());
  });
}

wire::TrafficScope Node::ScopeOf(const NodeAddress& address) const {
  const auto* record = members_.table().Find(address);
  if (record == nullptr) return wire::TrafficScope::kUnknown;
  if (record->region != self_peer_.region) {
    return wire::TrafficScope::kOtherRegion;
  }
  return record->zone == self_peer_.zone ? wire::TrafficScope::kSameZone
                                         : wire::TrafficScope::kOtherZone;
}

Node::~Node() {
  caller_server_.Close();
  datagrams_.Close();
  backend_client_.Close();
  links_.Close();
}

core::base::Result<void> Node::Listen() {
  auto peers = ListenAt(links_, "peer", PeerListenAddress(settings_));
  if (!peers) return peers;
  auto gossip = ListenAt(datagrams_, "peer", PeerListenAddress(settings_));
  if (!gossip) return gossip;
  return ListenAt(caller_server_, "caller", settings_.identity.caller_address);
}

void Node::Run() {
  emit_({EventNumber::kNodeStarted, {}, {}, "address=" + self_.value()});
  Tick();
  while (!loop_.stopped()) {
    barrier_.Run("event_loop", [this] { loop_.run(); });
  }
  ReportEnd();
}

// The connections are closed here so that each request that is still owed is
// reported with its id.
void Node::ReportEnd() {
  const core::stop::RemainingWork owed = Remaining();
  caller_server_.Close(CloseCauseOf(stop_end_));
  std::string detail = "address=" + self_.value() + " cause=" +
                       std::string(core::stop::StopEndText(stop_end_)) +
                       " requests=" + std::to_string(owed.entry_calls) +
                       " executions=" + std::to_string(owed.executions) +
                       " connections=" + std::to_string(owed.connections) +
                       " ended=" + std::to_string(ended_requests_);
  emit_({EventNumber::kNodeStopped, {}, {}, std::move(detail)});
}

void Node::Post(std::function<void()> task) {
  asio::post(loop_, std::move(task));
}

core::base::TimePoint Node::Now() {
  return TimePoint(std::chrono::duration_cast<core::base::Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void Node::SetConfig(std::shared_ptr<const core::config::ConfigState> config) {
  config_ = std::move(config);
  entry_.SetConfig(config_);
  rates_.SetConfig(*config_, Now());
  ApplyCallerLimits();
  emit_({EventNumber::kConfigurationInForce,
         {},
         {},
         "number=" + std::to_string(config_->number().value())});
}

void Node::ApplySettings(const Settings& settings) {
  settings_ = settings;
  ApplyCallerLimits();
  if (on_settings_) on_settings_(settings_);
}

// Limits that the configuration leaves out keep the values of the settings.
void Node::ApplyCallerLimits() {
  core::config::CallerLimits limits;
  if (config_) limits = config_->caller_limits();
  http::CallerServerSettings caller = settings_.caller;
  if (limits.max_header_bytes > 0) {
    caller.max_header_bytes = limits.max_header_bytes;
  }
  if (limits.max_body_bytes > 0) caller.max_body_bytes = limits.max_body_bytes;
  if (limits.header_timeout.count() > 0) {
    caller.header_timeout = limits.header_timeout;
  }
  if (limits.idle_timeout.count() > 0) {
    caller.idle_timeout = limits.idle_timeout;
  }
  caller_server_.SetLimits(caller);
}

void Node::OnAnnouncement(const BackendAnnouncement& announcement) {
  const auto address = wire::ParseIpPort(announcement.address);
  if (!address) return;
  backend_client_.SetAddress(
      {asio::ip::make_address(address->ip), address->port});
  serving_.OnAnnouncement(announcement, Now());
  // Repeated with every announcement: after a pause of the process, the member
  // table announces the backend server as starting until it is set again.
  members_.SetBackend(announcement, Now());
}

void Node::TickChain(TimePoint now) {
  const auto snapshot = admission_.Snapshot();
  core::chain::LoadSample sample;
  sample.in_flight = snapshot.in_flight;
  sample.queued = snapshot.queued;
  sample.limit = snapshot.limit;
  sample.finished = snapshot.finished;
  sample.repeat_refusals = snapshot.repeat_refusals;
  sample.offered = snapshot.offered;
  chain_.OnLoad(serving_.backend().service, sample, now);
  LogAdmittedShare(sample);
  chain_.Tick(now);
}

void Node::LogAdmittedShare(const core::chain::LoadSample& sample) {
  const auto& load = chain_.load();
  if (std::abs(load.common_share() - logged_share_) < kLoggedShareStep) return;
  logged_share_ = load.common_share();
  std::string detail = "share=" + std::to_string(logged_share_) +
                       " capacity=" + std::to_string(load.capacity()) +
                       " in_flight=" + std::to_string(sample.in_flight) +
                       " queued=" + std::to_string(sample.queued) +
                       " limit=" + std::to_string(sample.limit);
  for (std::size_t it = 0; it < load.admit().size(); ++it) {
    detail += " " +
              std::string(core::base::ImportanceText(
                  static_cast<core::base::Importance>(it))) +
              "=" + std::to_string(load.admit()[it]) + "/" +
              std::to_string(load.demand()[it]);
  }
  emit_({EventNumber::kAdmittedShareChanged, {}, {}, std::move(detail)});
}

void Node::SetFrameHandler(wire::FrameKind kind, const char* name,
                           wire::Links::FrameHandler handler) {
  links_.SetHandler(kind, [this, name, handler = std::move(handler)](
                              wire::LinkId from, const wire::Bytes& bytes) {
    barrier_.Run(name, [&] { handler(from, bytes); });
  });
}

void Node::SetLinkHandlers() {
  using wire::Bytes;
  using wire::FrameKind;
  using wire::LinkId;
  SetFrameHandler(FrameKind::kCall, "call_frame",
                  [this](LinkId from, const Bytes& bytes) {
                    auto call = wire::DecodeCall(bytes);
                    if (!call) return links_.Refuse(from, call.error().detail);
                    ReceiveCall(from, std::move(*call));
                  });
  SetFrameHandler(FrameKind::kAnswer, "answer_frame",
                  [this](LinkId from, const Bytes& bytes) {
                    auto answer = wire::DecodeAnswer(bytes);
                    if (!answer) {
                      return links_.Refuse(from, answer.error().detail);
                    }
                    entry_.OnAnswer(from, std::move(*answer), Now());
                  });
  SetFrameHandler(FrameKind::kCancel, "cancel_frame",
                  [this](LinkId from, const Bytes& bytes) {
                    const auto call = wire::DecodeCancel(bytes);
                    if (!call) {
                      return links_.Refuse(from, call.error().detail);
                    }
                    CancelReceived(from, *call);
                  });
  SetFrameHandler(FrameKind::kShard, "shard_frame",
                  [this](LinkId from, const Bytes& bytes) {
                    shards_.OnFrame(from, bytes, Now());
                  });
  SetFrameHandler(FrameKind::kRate, "rate_frame",
                  [this](LinkId from, const Bytes& bytes) {
                    rates_.OnFrame(from, bytes, Now());
                  });
  SetFrameHandler(FrameKind::kOnce, "once_frame",
                  [this](LinkId from, const Bytes& bytes) {
                    once_.OnFrame(from, bytes, Now());
                  });
  links_.SetTruncatedHandler([this](LinkId from, const wire::Frame& frame) {
    barrier_.Run("truncated_frame", [&] { OnTruncated(from, frame); });
  });
  datagrams_.SetHandler(
      [this](const NodeAddress& from, const wire::Frame& frame) {
        barrier_.Run("datagram", [&] {
          if (frame.kind == FrameKind::kPoison) {
            return poison_.OnDatagram(from, frame.payload, Now());
          }
          members_.OnDatagram(from, frame, Now());
        });
      });
  links_.SetLossHandler([this](const wire::LinkLoss& loss) {
    emit_({EventNumber::kLinkClosed,
           {},
           {},
           "peer=" + loss.address.value() + " cause=" + loss.cause});
    entry_.OnLinkLost(loss, Now());
    poison_.OnNodeLost(loss.address, Now());
    inbox_.RemoveAll(loss.link);
    serving_.OnLinkLost(loss.link, Now());
  });
  links_.SetRefusalHandler(
      [this](const wire::LinkPeer& peer, const std::string& cause) {
        emit_({EventNumber::kFrameRefused,
               {},
               {},
               "peer=" + peer.address.value() + " cause=" + cause});
      });
}

core::base::Result<std::optional<wire::SentFrame>> Node::SendCall(
    const NodeAddress& to, wire::CallMessage message) {
  if (to == self_) {
    ReceiveCall(wire::LinkId(), std::move(message));
    return std::nullopt;
  }
  if (message.body.size() > wire::kMaxCallBodyBytes) {
    return MakeError(ErrorCode::kExhausted, "body too large for a frame");
  }
  auto sent = links_.Send(to, wire::EncodeCall(message));
  if (!sent) return tl::make_unexpected(sent.error());
  return std::optional<wire::SentFrame>(*sent);
}

void Node::CancelCall(const Attempt& attempt) {
  if (!attempt.frame) return CancelReceived(wire::LinkId(), attempt.id);
  if (links_.Withdraw(*attempt.frame)) return;
  (void)links_.Reply(attempt.frame->link, wire::EncodeCancel(attempt.id));
}

void Node::ReceiveCall(wire::LinkId from, wire::CallMessage message) {
  if (inbox_.empty()) Post([this] { HandleReceivedCalls(); });
  inbox_.Add(from, std::move(message));
}

void Node::CancelReceived(wire::LinkId from, core::base::CallId call) {
  if (inbox_.Remove(from, call)) return;
  serving_.OnCancel(CallOrigin{from}, call, Now());
}

void Node::HandleReceivedCalls() {
  for (CallInbox::Entry& it : inbox_.Take()) HandleReceivedCall(it);
}

// A call that cannot be handled is answered, so that its sender does not wait.
void Node::HandleReceivedCall(CallInbox::Entry& entry) {
  const CallOrigin origin{entry.from};
  const CallId call = entry.message.call;
  const bool ok = barrier_.Run("call", [&] {
    serving_.OnCall(origin, std::move(entry.message), Now());
  });
  if (ok) return;
  barrier_.Run("failed_call",
               [&] { serving_.OnCallFailed(origin, call, Now()); });
}

void Node::Reply(const CallOrigin& origin, wire::AnswerMessage message) {
  if (origin.link == wire::LinkId()) {
    Post([this, message = std::move(message)]() mutable {
      entry_.OnAnswer(wire::LinkId(), std::move(message), Now());
    });
    return;
  }
  SendAnswer(origin.link, std::move(message));
}

// An answer that there is no memory for must not leave its call waiting.
void Node::SendAnswer(wire::LinkId link, wire::AnswerMessage message) {
  if (links_.Reply(link, wire::EncodeAnswer(message))) return;
  if (message.body.empty() || links_.PeerOf(link) == nullptr) return;
  message.ran = core::base::Ran::kUnknown;
  message.reason = Reason::kInternal;
  message.headers.clear();
  message.body.clear();
  (void)links_.Reply(link, wire::EncodeAnswer(message));
}

void Node::OnTruncated(wire::LinkId from, const wire::Frame& frame) {
  const auto id = wire::DecodeTruncatedId(frame.payload);
  if (!id) return links_.Refuse(from, id.error().detail);
  if (frame.kind == wire::FrameKind::kCall) {
    return serving_.OnTruncatedCall(CallOrigin{from}, *id);
  }
  entry_.OnTruncatedAnswer(from, *id, Now());
}

void Node::ScheduleTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const error_code& ec) {
    if (!ec) Tick();
  });
}

// If one system fails, the others run all the same.
void Node::Tick() {
  barrier_.Run("suspension_tick", [this] { CheckSuspension(); });
  const TimePoint now = Now();
  barrier_.Run("entry_tick", [&] { entry_.Tick(now); });
  barrier_.Run("serving_tick", [&] { serving_.Tick(now); });
  barrier_.Run("route_tick", [&] { chooser_.Tick(now); });
  barrier_.Run("member_tick", [&] { members_.Tick(now); });
  barrier_.Run("owner_tick", [&] {
    settings_.features.shards ? TickShards(now) : TickGrantors(now);
  });
  barrier_.Run("rate_tick", [&] { rates_.Tick(now); });
  barrier_.Run("poison_tick", [&] { poison_.Tick(now); });
  if (settings_.chain.enabled) {
    barrier_.Run("chain_tick", [&] { TickChain(now); });
  }
  for (const auto& it : tick_handlers_) {
    barrier_.Run("added_tick", [&] { it(now); });
  }
  if (stop_) barrier_.Run("stop_tick", [this] { ContinueStop(); });
  if (!loop_.stopped()) ScheduleTick();
}

void Node::TickShards(TimePoint now) {
  if (now >= last_member_update_ + kMemberUpdateInterval) {
    last_member_update_ = now;
    shards_.OnMembers(members_.LivePeers());
  }
  shards_.Tick(now);
  once_.Tick(now);
}

void Node::TickGrantors(TimePoint now) {
  if (now < last_member_update_ + kMemberUpdateInterval) return;
  last_member_update_ = now;
  for (const auto shard : grantors_.OnMembers(members_.LivePeers(), now)) {
    rates_.OnAuthorityGained(shard, kAssignedGrantorEpoch,
                             core::shard::History::kNone, now);
  }
  if (!grantors_.is_assigned()) return;
  rates_.SetLiveShare(grantors_.LiveShare(), grantors_.recent_count(), now);
}

// The steady clock does not advance while the VM is suspended, so leases timed
// by it would run too long. The boot clock does advance; the growth of the
// difference between the two is the time spent suspended.
void Node::CheckSuspension() {
  const core::base::Duration total = SuspendedTime();
  const core::base::Duration time = total - suspended_total_;
  if (time < kMinSuspension) return;
  suspended_total_ = total;
  if (on_suspended_) on_suspended_(time);
}

// Requests in progress continue, and their responses carry "Connection: close"
// so that callers do not reuse the connections. A repeated signal must not cut
// them off; a stop that takes too long is ended by its deadline.
bool Node::BeginStop(core::stop::StopCause cause) {
  if (stop_) return false;
  stop_began_ = Now();
  emit_({EventNumber::kNodeStopping,
         {},
         {},
         "address=" + self_.value() +
             " cause=" + std::string(core::stop::StopCauseText(cause))});
  stop_.emplace(settings_.shutdown.steps, stop_began_);
  caller_server_.BeginStop();
  if (settings_.features.shards) shards_.BeginStop(stop_began_);
  ContinueStop();
  return true;
}

core::stop::RemainingWork Node::Remaining() const {
  core::stop::RemainingWork remaining;
  remaining.executions = serving_.size();
  remaining.entry_calls = entry_.size();
  remaining.connections = caller_server_.size();
  remaining.reading = caller_server_.ReadingCount();
  remaining.is_handed_over = IsHandedOver();
  remaining.unwritten_links = links_.UnwrittenCount();
  remaining.links = links_.size();
  return remaining;
}

void Node::EndRun(core::stop::StopEnd end) {
  stop_end_ = end;
  loop_.stop();
}

void Node::ContinueStop() {
  const core::stop::RemainingWork remaining = Remaining();
  const TimePoint now = Now();
  while (const auto step = stop_->Next(remaining, now)) {
    ExecuteStopStep(*step, now);
  }
}

void Node::ExecuteStopStep(core::stop::StopStep step, TimePoint now) {
  using core::stop::StopStep;
  switch (step) {
    case StopStep::kLeave:
      return members_.BeginLeave(now);
    case StopStep::kStopServing:
      return serving_.BeginStop();
    case StopStep::kStopAccepting:
      return caller_server_.StopAccepting();
    case StopStep::kCloseIdle:
      return caller_server_.CloseIdle();
    case StopStep::kCloseLinks:
      entry_.BeginEnd();
      // The other nodes are told that all calls that were read are handled.
      HandleReceivedCalls();
      return links_.BeginClose();
    case StopStep::kEnd:
      return EndRun(now - stop_began_ >= settings_.shutdown.steps.deadline
                        ? core::stop::StopEnd::kDeadline
                        : core::stop::StopEnd::kFinished);
    case StopStep::kEndRequests:
      return EndRequests(now);
    case StopStep::kRefuseCallers:
      return entry_.RefuseCallers(stop_->RequestsEndAt());
  }
}

// The answers of this node's executions to its own callers are posted, so the
// calls that wait for others are ended behind them.
void Node::EndRequests(TimePoint now) {
  ended_requests_ = entry_.size();
  entry_.BeginEnd();
  serving_.EndAll(now);
  Post([this] { entry_.EndAll(Now()); });
}

bool Node::IsHandedOver() const {
  if (!settings_.features.shards) return true;
  const bool shards_gone =
      shards_.IsStopped(Now()) ||
      Now() - stop_began_ >= settings_.shutdown.shard_grace;
  return once_.size() == 0 && shards_gone;
}

}  // namespace dogwoodrail::node
