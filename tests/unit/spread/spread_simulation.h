#ifndef DOGWOODRAIL_TESTS_UNIT_SPREAD_SPREAD_SIMULATION_H_
#define DOGWOODRAIL_TESTS_UNIT_SPREAD_SPREAD_SIMULATION_H_

#include <map>
#include <memory>
#include <vector>

#include "core/spread/reader_choice.h"
#include "core/spread/spread_control.h"
#include "tests/unit/member/member_simulation.h"

namespace dogwoodrail::tests::spread {

using namespace core::spread;  // NOLINT(google-build-using-namespace)
namespace base = core::base;
namespace member = tests::member;

// Simulated fleet whose nodes distribute configuration from a fake platform.
class SpreadSimulation {
 public:
  static constexpr base::Duration kWatchTime = std::chrono::seconds(5);

  struct Node {
    std::unique_ptr<SpreadControl> control;
    std::uint64_t state = 0;  // number of the applied configuration
    bool reverted = false;    // the number decreased or a ticket was skipped
    bool fresh = false;
    std::size_t queries_received = 0;
    std::uint64_t watch_call = 0;
    base::TicketNumber watch_after;
    base::TimePoint watch_since;
  };

  explicit SpreadSimulation(std::uint64_t seed) : sim(seed), seed_(seed) {
    sim.on_rumour = [this](std::size_t n, const base::NodeAddress& from,
                           const member::Rumour& rumour) {
      const base::TicketNumber number(rumour.version);
      RunActions(n, nodes_[n].control->OnPeerNumber(from, number, sim.now()));
      return !(nodes_[n].control->in_force() < number);
    };
    sim.on_step = [this] { Step(); };
  }

  // Creates a SpreadControl for each member of `sim`.
  void AddControls() {
    nodes_.resize(sim.size());
    for (std::size_t n = 0; n < nodes_.size(); ++n) Start(n);
  }

  // Starts or restarts a node without any state.
  void Start(std::size_t n) {
    Node& node = nodes_[n];
    node = Node();
    ConfigurationHooks hooks;
    hooks.apply_ticket = [&node](const Ticket& ticket) {
      if (ticket.body == "corrupt") return false;
      node.reverted |= ticket.number.value() != node.state + 1;
      node.state = ticket.number.value();
      return true;
    };
    hooks.apply_snapshot = [&node](const Snapshot& snapshot) {
      node.reverted |= snapshot.number.value() < node.state;
      node.state = snapshot.number.value();
      return true;
    };
    hooks.make_snapshot = [&node] {
      return Snapshot{base::TicketNumber(node.state), "state"};
    };
    settings.has_peers = sim.size() > 1;
    node.control =
        std::make_unique<SpreadControl>(settings, hooks, seed_ * 104729 + n);
  }

  // Accepts the next ticket at the platform.
  void AcceptTicket() { head_ += 1; }
  // Number of the last accepted ticket.
  std::uint64_t head() const { return head_; }

  // Returns true if every running node has `number` in force.
  bool AllHave(std::uint64_t number) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!sim.IsStopped(n) && nodes_[n].state != number) return false;
    }
    return true;
  }
  // Returns true if every running node may run requests with an API key.
  bool AllFresh() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!sim.IsStopped(n) && !IsFresh(n)) return false;
    }
    return true;
  }
  bool IsFresh(std::size_t n) { return nodes_[n].control->IsFresh(sim.now()); }
  // Returns true if the number of any node has decreased or a ticket was
  // skipped.
  bool AnyReverted() const {
    for (const Node& it : nodes_) {
      if (it.reverted) return true;
    }
    return false;
  }
  Node& operator[](std::size_t n) { return nodes_[n]; }

  member::Simulation sim;
  SpreadSettings settings;
  bool platform_down = false;
  // If set, returns true for nodes that can't reach the platform.
  std::function<bool(std::size_t)> platform_unreachable;
  std::uint64_t stale_head = 0;  // if not 0, platform reads return this head
  double loss = 0;               // fraction of lost messages between nodes
  std::size_t platform_calls = 0;

 private:
  struct Message {
    std::size_t from;
    std::size_t to;
    std::variant<PeerQuery, PeerAnswer> body;
  };

  void Step() {
    std::vector<Message> arriving;
    arriving.swap(in_flight_);
    for (const Message& it : arriving) Deliver(it);
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (sim.IsStopped(n)) continue;
      const core::member::MemberTable& table = *sim[n].table;
      const PeerView view = MakePeerView(table, settings, &sim.random());
      if (!view.peers.empty() && !IsCutOff(n)) {
        nodes_[n].control->OnPeerContact(sim.now());
      }
      RunActions(n, nodes_[n].control->Tick(view, sim.now()));
      UpdateWatch(n);
    }
  }

  // Returns true if the partition separates the node from all other nodes.
  bool IsCutOff(std::size_t n) {
    if (!sim.cut) return false;
    for (std::size_t it = 0; it < nodes_.size(); ++it) {
      if (it != n && !sim.cut(it, n)) return false;
    }
    return true;
  }

  void Deliver(const Message& it) {
    if (sim.IsStopped(it.to)) return;
    const base::NodeAddress& from = sim[it.from].address;
    if (const auto* query = std::get_if<PeerQuery>(&it.body)) {
      ++nodes_[it.to].queries_received;
      RunActions(it.to,
                 nodes_[it.to].control->OnQuery(from, *query, sim.now()));
      return;
    }
    const auto& answer = std::get<PeerAnswer>(it.body);
    RunActions(it.to, nodes_[it.to].control->OnAnswer(from, answer, sim.now()));
  }

  bool IsPlatformUnreachable(std::size_t n) {
    return platform_down || (platform_unreachable && platform_unreachable(n));
  }

  void UpdateWatch(std::size_t n) {
    Node& node = nodes_[n];
    if (node.watch_call == 0) return;
    const std::uint64_t call = node.watch_call;
    if (IsPlatformUnreachable(n)) {
      node.watch_call = 0;
      RunActions(n, node.control->OnPlatformFailed(call, sim.now()));
    } else if (node.watch_after.value() < head_ ||
               sim.now() - node.watch_since >= kWatchTime) {
      node.watch_call = 0;
      RunActions(n, node.control->OnPlatformValue(
                        call, base::TicketNumber(head_), sim.now()));
    }
  }

  void RunActions(std::size_t n, const std::vector<SpreadAction>& actions) {
    for (const SpreadAction& it : actions) {
      std::visit([&](const auto& action) { RunAction(n, action); }, it);
    }
  }

  void RunAction(std::size_t n, const WatchPlatform& action) {
    ++platform_calls;
    nodes_[n].watch_call = action.call;
    nodes_[n].watch_after = action.after;
    nodes_[n].watch_since = sim.now();
  }
  void RunAction(std::size_t n, const ReadPlatform& action) {
    ++platform_calls;
    SpreadControl& control = *nodes_[n].control;
    if (IsPlatformUnreachable(n)) {
      RunActions(n, control.OnPlatformFailed(action.call, sim.now()));
      return;
    }
    const std::uint64_t head = stale_head != 0 ? stale_head : head_;
    RunActions(n, control.OnPlatformValue(action.call, base::TicketNumber(head),
                                          sim.now()));
  }
  void RunAction(std::size_t n, const ReadPlatformTickets& action) {
    SpreadControl& control = *nodes_[n].control;
    if (IsPlatformUnreachable(n)) {
      ++platform_calls;
      RunActions(n, control.OnPlatformFailed(action.call, sim.now()));
      return;
    }
    std::vector<Ticket> tickets;
    for (std::uint64_t it = action.first.value(); it <= action.last.value();
         ++it) {
      ++platform_calls;
      tickets.push_back({base::TicketNumber(it), "ticket"});
    }
    RunActions(n, control.OnPlatformTickets(action.call, tickets, sim.now()));
  }
  void RunAction(std::size_t n, const SendQuery& action) {
    Send(n, action.to, action.query);
  }
  void RunAction(std::size_t n, const SendAnswer& action) {
    Send(n, action.to, action.answer);
  }
  void RunAction(std::size_t n, const AnnounceNumber& action) {
    member::Rumour rumour;
    rumour.version = action.number.value();
    sim[n].table->SpreadRumour(rumour);
  }
  void RunAction(std::size_t n, const FreshnessChanged& action) {
    nodes_[n].fresh = action.fresh;
  }

  void Send(std::size_t n, const base::NodeAddress& to,
            std::variant<PeerQuery, PeerAnswer> body) {
    const std::size_t index = sim.IndexOf(to);
    if (base::RandomUnit(sim.random()) < loss) return;
    if (sim.cut && sim.cut(n, index)) return;
    in_flight_.push_back({n, index, std::move(body)});
  }

  std::uint64_t seed_;
  std::vector<Node> nodes_;
  std::vector<Message> in_flight_;
  std::uint64_t head_ = 0;
};

}  // namespace dogwoodrail::tests::spread

#endif  // DOGWOODRAIL_TESTS_UNIT_SPREAD_SPREAD_SIMULATION_H_
