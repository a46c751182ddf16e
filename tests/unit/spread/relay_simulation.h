#ifndef DOGWOODRAIL_TESTS_UNIT_SPREAD_RELAY_SIMULATION_H_
#define DOGWOODRAIL_TESTS_UNIT_SPREAD_RELAY_SIMULATION_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/spread/proof_relay.h"
#include "core/spread/reader_choice.h"

namespace dogwoodrail::tests::spread {

using namespace core::spread;  // NOLINT(google-build-using-namespace)
namespace base = core::base;
namespace config = core::config;
namespace member = core::member;

// Simulated fleet whose nodes confirm the configuration through ProofRelay, in
// virtual time, against a fake store. Membership is one table that all nodes
// see, in which dead nodes are replaced by `member_delay` later.
class RelaySimulation {
 public:
  static constexpr base::Duration kStep = std::chrono::milliseconds(20);
  static constexpr base::Duration kViewInterval =
      std::chrono::milliseconds(500);

  // A call in progress at the store.
  struct StoreCall {
    config::FollowCall call;
    base::TimePoint arrives;
    bool is_lost = false;
  };

  struct Node {
    std::unique_ptr<ProofRelay> relay;
    member::MemberSelf self;
    RelayView view;
    base::TimePoint next_view;
    bool gone = false;
    bool paused = false;
    bool reverted = false;       // the number in force decreased
    std::uint64_t admitted = 0;  // number in force at the last step
    std::size_t store_calls = 0;
    std::size_t worst_second = 0;
    std::deque<base::TimePoint> call_times;
    std::vector<StoreCall> calls;
  };
  // State that the store may come back from.
  struct StoreState {
    std::uint64_t head = 0;      // number of the configuration
    std::uint64_t revision = 1;  // of the last write
    std::uint64_t changed = 0;   // revision of the configuration
  };

  RelaySimulation(std::uint64_t seed, std::size_t zones, std::size_t nodes)
      : seed_(seed), random_(seed), nodes_(nodes) {
    for (std::size_t n = 0; n < nodes; ++n) {
      Node& node = nodes_[n];
      node.self.address = base::NodeAddress("10.0." + std::to_string(n / 250) +
                                            "." + std::to_string(n % 250));
      node.self.zone = base::ZoneName("z" + std::to_string(n % zones));
      node.self.region = base::RegionName("r");
      index_[node.self.address] = n;
      Restart(n);
    }
  }

  // Starts or restarts a node without any state. What was on its way to the
  // earlier process is lost with its connections.
  void Restart(std::size_t n) {
    Node& node = nodes_[n];
    const auto to_earlier = [n](const Message& it) { return it.to == n; };
    messages_in_flight_.erase(
        std::remove_if(messages_in_flight_.begin(), messages_in_flight_.end(),
                       to_earlier),
        messages_in_flight_.end());
    const RelaySettings& settings = this->settings;
    node.relay = std::make_unique<ProofRelay>(
        settings, follow, [](const Snapshot&) { return true; },
        seed_ * 104729 + ++starts_);
    node.gone = false;
    node.calls.clear();
    node.view = {};
    node.admitted = 0;
    node.next_view = now_ + RandomTime(kViewInterval);
    SetMember(n, member::MemberState::kAlive);
  }
  // Ends a node. The others notice through the membership after a time.
  void Kill(std::size_t n) {
    nodes_[n].gone = true;
    deaths_.push_back({now_ + member_delay, n});
  }

  // Accepts a new configuration at the store.
  void Publish() { Publish(state_.head + 1); }
  // Accepts the configuration `number`, new or written again after a loss.
  void Publish(std::uint64_t number) {
    state_.head = number;
    state_.changed = ++state_.revision;
    published_at_.try_emplace(number, now_);
  }
  // Accepts a write of another kind of object.
  void WriteOther() { ++state_.revision; }
  std::uint64_t head() const { return state_.head; }
  std::uint64_t revision() const { return state_.revision; }

  // Keeps a copy of the store's state.
  void TakeCopy() { copy_ = state_; }
  // Replaces the store's state by the copy and begins the next era: what was
  // accepted since is lost, and its revisions are given out again.
  void RestoreCopy() {
    state_ = copy_;
    era_ = config::StoreEra(era_.value() + 1);
  }

  void Run(base::Duration time) {
    const base::TimePoint end = now_ + time;
    while (now_ < end) Step();
  }
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit) {
    const base::TimePoint end = now_ + limit;
    while (!condition()) {
      if (now_ >= end) return false;
      Step();
    }
    return true;
  }

  bool IsRunning(std::size_t n) const {
    return !nodes_[n].gone && !nodes_[n].paused;
  }
  bool AllHave(std::uint64_t number) const {
    return All([&](std::size_t n) {
      return nodes_[n].relay->in_force().value() == number;
    });
  }
  bool AllFresh() const {
    return All([&](std::size_t n) { return nodes_[n].relay->IsFresh(now_); });
  }
  // Returns true if any node admits keys by a configuration longer than `bound`
  // after a newer one was published, also one that the store has lost since.
  bool AnyAdmitsWithdrawnKey(base::Duration bound) const {
    for (const Node& it : nodes_) {
      if (it.gone) continue;
      const auto newer =
          published_at_.upper_bound(it.relay->in_force().value());
      const bool old =
          newer != published_at_.end() && now_ - newer->second > bound;
      if (old && it.relay->IsFresh(now_)) return true;
    }
    return false;
  }
  bool AnyReverted() const {
    return std::any_of(nodes_.begin(), nodes_.end(),
                       [](const Node& it) { return it.reverted; });
  }
  std::vector<std::size_t> Readers() const {
    std::vector<std::size_t> result;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (IsRunning(n) && nodes_[n].view.is_reader) result.push_back(n);
    }
    return result;
  }
  std::size_t store_calls() const { return store_calls_; }
  std::size_t messages() const { return messages_; }
  // Largest number of store calls within one second, since the last reset.
  std::size_t worst_second() const { return worst_second_; }
  // As before, of the node with the most.
  std::size_t worst_second_of_a_node() const {
    std::size_t worst = 0;
    for (const Node& it : nodes_) worst = std::max(worst, it.worst_second);
    return worst;
  }
  void ResetCounters() {
    store_calls_ = 0;
    messages_ = 0;
    worst_second_ = 0;
    call_times_.clear();
    for (Node& it : nodes_) {
      it.worst_second = 0;
      it.call_times.clear();
    }
  }

  Node& operator[](std::size_t n) { return nodes_[n]; }
  std::size_t size() const { return nodes_.size(); }
  base::TimePoint now() const { return now_; }

  RelaySettings settings;
  config::FollowSettings follow;
  base::Duration member_delay = std::chrono::seconds(3);
  double loss = 0;  // fraction of messages that arrive a retransmission later
  bool store_down = false;
  // If set, return true for nodes whose store calls fail at once, for nodes
  // whose store calls get no answer until they time out, and for pairs of nodes
  // that cannot reach each other.
  std::function<bool(std::size_t)> store_cut;
  std::function<bool(std::size_t)> store_silent;
  std::function<bool(std::size_t, std::size_t)> cut;

 private:
  static constexpr base::Duration kPathTime = std::chrono::milliseconds(20);
  static constexpr base::Duration kRetransmission =
      std::chrono::milliseconds(250);
  // After the wait of a call.
  static constexpr base::Duration kStoreTimeout = std::chrono::seconds(1);

  struct Message {
    base::TimePoint arrives;
    std::size_t from;
    std::size_t to;
    std::variant<PeerQuery, PeerAnswer> body;
  };
  struct Death {
    base::TimePoint noticed;
    std::size_t node;
  };

  bool All(const std::function<bool(std::size_t)>& check) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (IsRunning(n) && !check(n)) return false;
    }
    return true;
  }

  base::Duration RandomTime(base::Duration bound) {
    return base::Duration(base::RandomBelow(random_, bound.count()));
  }

  void SetMember(std::size_t n, member::MemberState state) {
    member::MemberRecord record;
    record.address = nodes_[n].self.address;
    record.zone = nodes_[n].self.zone;
    record.region = nodes_[n].self.region;
    record.version = ++version_;
    record.state = state;
    members_.Apply(record, now_);
  }

  void Step() {
    now_ += kStep;
    NoticeDeaths();
    DeliverMessages();
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!IsRunning(n)) continue;
      AnswerStoreCalls(n);
      Tick(n);
    }
  }

  void NoticeDeaths() {
    while (!deaths_.empty() && deaths_.front().noticed <= now_) {
      const std::size_t n = deaths_.front().node;
      deaths_.pop_front();
      if (nodes_[n].gone) SetMember(n, member::MemberState::kFailed);
    }
  }

  void Tick(std::size_t n) {
    Node& node = nodes_[n];
    if (now_ >= node.next_view) {
      node.next_view = now_ + kViewInterval;
      node.view = MakeRelayView(members_, node.self, settings,
                                [&](const base::NodeAddress& it) {
                                  return node.relay->IsExcluded(it);
                                });
      if (!node.relay->is_settled()) {
        node.next_view = now_;
        node.view.others = nodes_.size() - 1;
        node.view.witnesses = ChooseWitnesses(
            members_, node.self, settings.start_witnesses, &random_);
      }
    }
    Execute(n, node.relay->Tick(node.view, now_));
    const std::uint64_t number = node.relay->in_force().value();
    node.reverted |= number < node.admitted;
    node.admitted = number;
  }

  void Execute(std::size_t n, RelayActions actions) {
    for (const SendQuery& it : actions.queries) Send(n, it.to, it.query);
    for (SendAnswer& it : actions.answers) {
      Send(n, it.to, std::move(it.answer));
    }
    if (!actions.store_call) return;
    ++store_calls_;
    ++nodes_[n].store_calls;
    CountCall(&call_times_, &worst_second_);
    CountCall(&nodes_[n].call_times, &nodes_[n].worst_second);
    nodes_[n].calls.push_back({*actions.store_call, now_ + kPathTime});
  }

  void CountCall(std::deque<base::TimePoint>* times, std::size_t* worst) {
    times->push_back(now_);
    while (now_ - times->front() > std::chrono::seconds(1)) {
      times->pop_front();
    }
    *worst = std::max(*worst, times->size());
  }

  void Send(std::size_t from, const base::NodeAddress& to,
            std::variant<PeerQuery, PeerAnswer> body) {
    const std::size_t target = index_.at(to);
    ++messages_;
    if (cut && cut(from, target)) return;
    base::TimePoint arrives = now_ + kPathTime;
    if (base::RandomUnit(random_) < loss) arrives += kRetransmission;
    messages_in_flight_.push_back({arrives, from, target, std::move(body)});
  }

  // Messages to a paused node wait for it; those to a dead one are lost.
  void DeliverMessages() {
    std::vector<Message> due;
    std::vector<Message> later;
    for (Message& it : messages_in_flight_) {
      if (nodes_[it.to].gone) continue;
      const bool waits = it.arrives > now_ || nodes_[it.to].paused;
      (waits ? later : due).push_back(std::move(it));
    }
    messages_in_flight_ = std::move(later);
    for (Message& it : due) {
      ProofRelay& relay = *nodes_[it.to].relay;
      const base::NodeAddress& from = nodes_[it.from].self.address;
      if (const auto* query = std::get_if<PeerQuery>(&it.body)) {
        Execute(it.to, relay.OnQuery(from, *query, now_));
      } else {
        Execute(it.to,
                relay.OnAnswer(from, std::get<PeerAnswer>(it.body), now_));
      }
    }
  }

  void AnswerStoreCalls(std::size_t n) {
    const std::vector<StoreCall> calls = std::move(nodes_[n].calls);
    nodes_[n].calls.clear();
    for (StoreCall it : calls) {
      if (!AnswerStoreCall(n, &it)) nodes_[n].calls.push_back(it);
    }
  }

  // Returns false if the call stays in progress.
  bool AnswerStoreCall(std::size_t n, StoreCall* open) {
    const config::FollowCall& call = open->call;
    if (now_ < open->arrives) return false;
    open->is_lost |= store_silent && store_silent(n);
    const base::Duration taken = now_ - open->arrives;
    const std::uint64_t after = call.after.revision.value();
    if (open->is_lost && taken < call.wait + kStoreTimeout) return false;
    const bool failed =
        open->is_lost || store_down || (store_cut && store_cut(n));
    const bool lacks = call.watch && state_.revision < after;
    const bool changed = call.watch && after < state_.changed;
    const bool waits = call.watch && !lacks && !changed && taken < call.wait;
    if (!failed && waits) return false;
    config::FollowResult result = config::FollowResult::kRead;
    if (call.watch) {
      result = changed ? config::FollowResult::kChanged
                       : config::FollowResult::kUnchanged;
    }
    if (lacks) result = config::FollowResult::kHistoryGone;
    if (failed) result = config::FollowResult::kFailed;
    Respond(n, call.id, result);
    return true;
  }

  // Sends the result of a call, with the configuration if it has one.
  void Respond(std::size_t n, std::uint64_t call, config::FollowResult result) {
    const bool has_config = result == config::FollowResult::kRead ||
                            result == config::FollowResult::kChanged;
    config::StorePosition position;
    if (result != config::FollowResult::kFailed) position.era = era_;
    if (has_config || result == config::FollowResult::kUnchanged) {
      position.revision = config::StoreRevision(state_.revision);
    }
    std::optional<Snapshot> snapshot;
    if (has_config && state_.head != 0) {
      snapshot = Snapshot{base::TicketNumber(state_.head), "body"};
    }
    Execute(n, nodes_[n].relay->OnStoreResult(call, result, position, snapshot,
                                              now_));
  }

  std::uint64_t seed_;
  base::Random random_;
  std::vector<Node> nodes_;
  std::unordered_map<base::NodeAddress, std::size_t> index_;
  member::MemberStore members_;
  std::uint64_t version_ = 0;
  std::uint64_t starts_ = 0;
  StoreState state_;
  StoreState copy_;
  config::StoreEra era_{1};
  base::TimePoint now_ = base::TimePoint(std::chrono::seconds(100));
  // First time at which the store accepted a number, also if it lost it.
  std::map<std::uint64_t, base::TimePoint> published_at_;
  std::vector<Message> messages_in_flight_;
  std::deque<Death> deaths_;
  std::deque<base::TimePoint> call_times_;
  std::size_t store_calls_ = 0;
  std::size_t messages_ = 0;
  std::size_t worst_second_ = 0;
};

}  // namespace dogwoodrail::tests::spread

#endif  // DOGWOODRAIL_TESTS_UNIT_SPREAD_RELAY_SIMULATION_H_
