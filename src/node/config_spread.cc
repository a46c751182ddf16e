#include "node/config_spread.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "core/config/config_cmd.h"
#include "core/spread/reader_choice.h"
#include "node/secret_func.h"
#include "objectapi/config_codec.h"
#include "wire/spread_codec.h"

namespace dogwoodrail::node {

namespace spread = core::spread;
using core::base::EventNumber;
using core::base::NodeAddress;
using core::base::TicketNumber;
using core::member::Rumour;
using core::member::RumourKind;

namespace {

constexpr std::chrono::milliseconds kTickInterval(100);
constexpr std::chrono::seconds kViewRefreshInterval(1);

spread::SpreadSettings MakeSpreadSettings(const Settings& settings) {
  spread::SpreadSettings result = settings.spread;
  result.platform_retry_min = settings.platform.retry_interval;
  const NodeAddress self(settings.identity.peer_address);
  result.has_peers =
      std::any_of(settings.seeds.begin(), settings.seeds.end(),
                  [&](const NodeAddress& it) { return it != self; });
  return result;
}

}  // namespace

ConfigSpread::ConfigSpread(Node& node, PlatformWorker& worker,
                           core::base::EventSink emit)
    : node_(node),
      worker_(worker),
      emit_(std::move(emit)),
      random_(RandomSeed()),
      settings_(MakeSpreadSettings(node.settings())),
      control_(settings_, MakeHooks(), RandomSeed()),
      tick_timer_(node.loop()) {}

ConfigSpread::~ConfigSpread() {
  node_.members().SetDatagramHook(nullptr);
  node_.members().table().SetRumourHook(nullptr);
  node_.SetFreshnessCheck(nullptr);
}

void ConfigSpread::Start() {
  SetHandlers();
  Tick();
}

spread::ConfigurationHooks ConfigSpread::MakeHooks() {
  spread::ConfigurationHooks hooks;
  hooks.apply_ticket = [this](const spread::Ticket& ticket) {
    return ApplyTicket(ticket);
  };
  hooks.apply_snapshot = [this](const spread::Snapshot& snapshot) {
    return ApplySnapshot(snapshot);
  };
  hooks.make_snapshot = [this] { return MakeSnapshot(); };
  return hooks;
}

bool ConfigSpread::ApplyTicket(const spread::Ticket& ticket) {
  auto decoded = objectapi::DecodeTicket(ticket.body);
  if (!decoded || decoded->number != ticket.number) return false;
  auto state = core::config::ApplyTicket(state_, *decoded);
  if (!state) return false;
  Activate(std::move(*state), std::move(*decoded));
  return true;
}

bool ConfigSpread::ApplySnapshot(const spread::Snapshot& snapshot) {
  auto head = objectapi::DecodeHead(snapshot.body);
  if (!head || head->state.number() != snapshot.number) return false;
  Activate(std::move(head->state), std::move(head->last_ticket));
  return true;
}

spread::Snapshot ConfigSpread::MakeSnapshot() {
  if (snapshot_cache_.number != state_.number()) {
    snapshot_cache_ = {state_.number(),
                       objectapi::EncodeHead({state_, last_ticket_})};
  }
  return snapshot_cache_;
}

void ConfigSpread::Activate(core::config::ConfigState state,
                            core::config::Ticket last_ticket) {
  state_ = std::move(state);
  last_ticket_ = std::move(last_ticket);
  node_.SetConfig(std::make_shared<const core::config::ConfigState>(state_));
}

void ConfigSpread::SetHandlers() {
  node_.links().SetHandler(
      wire::FrameKind::kSpread,
      [this](wire::LinkId from, const wire::Bytes& payload) {
        OnFrame(from, payload);
      });
  node_.members().SetDatagramHook(
      [this](TimePoint now) { control_.OnPeerContact(now); });
  node_.members().table().SetRumourHook(
      [this](const NodeAddress& from, const Rumour& rumour) {
        if (rumour.kind != RumourKind::kConfigurationNumber) return true;
        const TicketNumber number(rumour.version);
        Apply(control_.OnPeerNumber(from, number, Node::Now()));
        return !(control_.in_force() < number);
      });
  node_.SetFreshnessCheck(
      [this](TimePoint now) { return control_.IsFresh(now); });
}

void ConfigSpread::OnFrame(wire::LinkId from, const wire::Bytes& payload) {
  const auto message = wire::DecodeSpread(payload);
  if (!message) return node_.links().Refuse(from, message.error().detail);
  const wire::LinkPeer* peer = node_.links().PeerOf(from);
  if (peer == nullptr) return;
  const NodeAddress address = peer->address;
  const TimePoint now = Node::Now();
  if (const auto* query = std::get_if<spread::PeerQuery>(&*message)) {
    for (const spread::SpreadAction& it :
         control_.OnQuery(address, *query, now)) {
      const auto& answer = std::get<spread::SendAnswer>(it).answer;
      (void)node_.links().Reply(from, wire::EncodeSpread(answer));
    }
    return;
  }
  Apply(
      control_.OnAnswer(address, std::get<spread::PeerAnswer>(*message), now));
}

void ConfigSpread::Tick() {
  const TimePoint now = Node::Now();
  if (now >= next_view_refresh_) {
    next_view_refresh_ = now + kViewRefreshInterval;
    view_ = spread::MakePeerView(node_.members().table(), settings_, &random_);
  }
  Apply(control_.Tick(view_, now));
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) Tick();
  });
}

void ConfigSpread::Apply(const std::vector<spread::SpreadAction>& actions) {
  for (const spread::SpreadAction& it : actions) {
    std::visit([this](const auto& action) { Execute(action); }, it);
  }
}

// A job may still be running when this object is destroyed. Therefore it uses
// only the node; what it posts is not run, because the loop has already ended.
void ConfigSpread::Execute(const spread::WatchPlatform& action) {
  const auto wait = node_.settings().platform.watch_wait;
  worker_.Submit([this, &node = node_, wait, call = action.call,
                  after = version_](objectapi::ObjectStore& store) {
    objectapi::ConfigStore config(store);
    auto head = config.WatchHead(after, wait);
    node.Post([this, call, head = std::move(head)]() mutable {
      OnHead(call, std::move(head));
    });
  });
}

void ConfigSpread::Execute(const spread::ReadPlatform& action) {
  worker_.Submit(
      [this, &node = node_, call = action.call](objectapi::ObjectStore& store) {
        objectapi::ConfigStore config(store);
        Head head = config.ReadHead();
        node.Post([this, call, head = std::move(head)]() mutable {
          OnHead(call, std::move(head));
        });
      });
}

void ConfigSpread::Execute(const spread::ReadPlatformTickets& action) {
  worker_.Submit([this, &node = node_, action](objectapi::ObjectStore& store) {
    objectapi::ConfigStore config(store);
    core::base::Result<std::vector<spread::Ticket>> tickets;
    for (std::uint64_t it = action.first.value(); it <= action.last.value();
         ++it) {
      const auto ticket = config.ReadTicket(TicketNumber(it));
      if (!ticket) {
        tickets = tl::make_unexpected(ticket.error());
        break;
      }
      tickets->push_back({ticket->number, objectapi::EncodeTicket(*ticket)});
    }
    node.Post([this, call = action.call, tickets = std::move(tickets)] {
      OnTickets(call, tickets);
    });
  });
}

void ConfigSpread::Execute(const spread::SendQuery& action) {
  (void)node_.links().Send(action.to, wire::EncodeSpread(action.query));
}

void ConfigSpread::Execute(const spread::SendAnswer& action) {
  (void)node_.links().Send(action.to, wire::EncodeSpread(action.answer));
}

void ConfigSpread::Execute(const spread::AnnounceNumber& action) {
  Rumour rumour;
  rumour.kind = RumourKind::kConfigurationNumber;
  rumour.version = action.number.value();
  node_.members().table().SpreadRumour(rumour);
}

void ConfigSpread::Execute(const spread::FreshnessChanged& action) {
  if (action.fresh) return;
  emit_({EventNumber::kConfigurationStale,
         {},
         {},
         "number=" + std::to_string(control_.in_force().value())});
}

void ConfigSpread::OnHead(std::uint64_t call, Head head) {
  const TimePoint now = Node::Now();
  UpdatePlatformReachable(head.has_value(), head ? "" : head.error().detail);
  if (!head) return Apply(control_.OnPlatformFailed(call, now));
  if (!*head) {
    return Apply(control_.OnPlatformValue(call, head_number_, now));
  }
  const objectapi::StoredHead& stored = **head;
  NoteHead(call, stored);
  const TicketNumber number = stored.head.state.number();
  if (!(control_.in_force() < number)) {
    return Apply(control_.OnPlatformValue(call, number, now));
  }
  std::optional<spread::Ticket> last;
  if (ContinuesState(stored.head)) {
    last = {number, objectapi::EncodeTicket(stored.head.last_ticket)};
  }
  Apply(control_.OnPlatformHead(
      call, {number, objectapi::EncodeHead(stored.head)}, last, now));
  if (control_.in_force() == number) history_lost_ = false;
}

// The store may have come back from an older copy, and then have given numbers
// of tickets that are in force here to others. The next ticket shows it:
// applied here, it does not lead to the state of the store.
bool ConfigSpread::ContinuesState(const objectapi::ConfigHead& head) const {
  if (history_lost_) return false;
  const bool is_next =
      head.state.number().value() == state_.number().value() + 1;
  if (!is_next) return true;
  const auto state = core::config::ApplyTicket(state_, head.last_ticket);
  return state && *state == head.state;
}

// The version may be lower than before, if the store came back from an older
// copy. An answer that a later call has overtaken says nothing of that.
void ConfigSpread::NoteHead(std::uint64_t call,
                            const objectapi::StoredHead& head) {
  if (call < head_call_) return;
  head_call_ = call;
  if (head.version < version_) history_lost_ = true;
  version_ = head.version;
  head_number_ = head.head.state.number();
}

void ConfigSpread::OnTickets(
    std::uint64_t call,
    core::base::Result<std::vector<spread::Ticket>> tickets) {
  const TimePoint now = Node::Now();
  UpdatePlatformReachable(tickets.has_value(),
                          tickets ? "" : tickets.error().detail);
  if (!tickets) return Apply(control_.OnPlatformFailed(call, now));
  Apply(control_.OnPlatformTickets(call, *tickets, now));
}

void ConfigSpread::UpdatePlatformReachable(bool reachable,
                                           const std::string& cause) {
  if (reachable == reachable_) return;
  reachable_ = reachable;
  emit_(
      {reachable ? EventNumber::kPlatformRestored : EventNumber::kPlatformLost,
       {},
       {},
       reachable ? "" : "cause=" + cause});
}

}  // namespace dogwoodrail::node
