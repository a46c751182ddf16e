#include "tests/unit/once/once_simulation.h"

namespace dogwoodrail::core::once {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kNodes = 5;
constexpr ShardIndex kShard{0};
constexpr Duration kLease = milliseconds{300};
constexpr Duration kLeaseMargin = milliseconds{50};
constexpr Duration kCallTime = milliseconds{800};
constexpr std::int64_t kEpochStart = 1'800'000'000'000;
constexpr int kClockErrorMs = 50;
constexpr std::uint64_t kClockSpanMs = 100;

class FaultyClaimTable : public ClaimTable {
 public:
  FaultyClaimTable(OnceSettings settings, AuthorityCheck check, InjectedBug bug)
      : ClaimTable(settings, std::move(check)), bug_(bug) {}

 protected:
  bool MayAct(ShardIndex index, const ClaimShard& shard,
              TimePoint now) const override {
    return bug_.no_fence || ClaimTable::MayAct(index, shard, now);
  }
  bool WaitsForCopyAck() const override { return !bug_.no_copy_ack; }
  bool IsCopyComplete(const ClaimShard& shard, Epoch epoch) const override {
    return bug_.no_completeness || ClaimTable::IsCopyComplete(shard, epoch);
  }
  void MergeGap(ClaimShard& shard, const ClaimCopy& copy) const override {
    if (!bug_.no_gap_copy) ClaimTable::MergeGap(shard, copy);
  }

 private:
  InjectedBug bug_;
};

class FaultyClaimClient : public ClaimClient {
 public:
  FaultyClaimClient(OnceSettings settings, base::Incarnation incarnation,
                    InjectedBug bug)
      : ClaimClient(settings, incarnation), bug_(bug) {}

 protected:
  base::Ran ReportedRan(base::Ran ran) const override {
    return bug_.release_after_run && ran == base::Ran::kUnknown
               ? base::Ran::kNotRun
               : ran;
  }

 private:
  InjectedBug bug_;
};

}  // namespace

struct OnceSimulation::Node {
  std::size_t number = 0;
  MemberId id;
  bool up = true;
  TimePoint paused_until{};
  TimePoint lease_until{};
  bool notified_as_owner = false;
  Duration clock_offset{0};
  std::optional<MemberId> known_owner;
  std::unique_ptr<FaultyClaimTable> table;
  std::unique_ptr<FaultyClaimClient> client;
  std::map<std::uint64_t, int> running;  // call -> key
};

struct OnceSimulation::Submission {
  int key = 0;
  bool executed = false;
  bool refused_not_run = false;
  std::function<void(base::Ran, bool)> answer;
};

OnceSimulation::OnceSimulation(std::uint64_t seed, SimulationFaults faults,
                               InjectedBug bug)
    : random_(seed), faults_(faults), bug_(bug) {
  settings_.retention = std::chrono::seconds(4);
  settings_.clock_skew = milliseconds{2 * kClockErrorMs};
  settings_.copy_retry = milliseconds{40};
  settings_.claim_retry = milliseconds{60};
  settings_.claim_timeout = milliseconds{600};
  settings_.outcome_margin = milliseconds{200};
  settings_.snapshot_batch = 4;
  for (std::size_t it = 0; it < kNodes; ++it) {
    nodes_.push_back(std::make_unique<Node>());
    nodes_[it]->number = it;
    StartProcess(it);
  }
}

OnceSimulation::~OnceSimulation() = default;

void OnceSimulation::At(TimePoint when, Handler handler) {
  events_.emplace(std::make_pair(when, ++sequence_), std::move(handler));
}

// Runs `handler` at a node if that process is still up; a paused node runs it
// when it resumes.
void OnceSimulation::AtNode(std::size_t node, std::uint64_t incarnation,
                            TimePoint when,
                            std::function<void(Node&)> handler) {
  At(when, [this, node, incarnation, handler = std::move(handler)] {
    Node& target = *nodes_[node];
    if (!target.up || target.id.incarnation.value() != incarnation) return;
    if (target.paused_until > now_) {
      AtNode(node, incarnation, target.paused_until, handler);
      return;
    }
    handler(target);
  });
}

bool OnceSimulation::Chance(double probability) {
  return base::RandomUnit(random_) < probability;
}

Duration OnceSimulation::Delay() {
  if (Chance(faults_.slow)) {
    return milliseconds{base::RandomBelow(random_, 1000)};
  }
  return Duration{200 + base::RandomBelow(random_, 5000)};
}

WallTime OnceSimulation::Wall(Duration offset) const {
  return WallTime{milliseconds{kEpochStart}} +
         std::chrono::duration_cast<milliseconds>(now_.time_since_epoch() +
                                                  offset);
}

OnceSimulation::Node* OnceSimulation::Find(const MemberId& member) {
  for (const auto& node : nodes_) {
    if (node->id == member) return node.get();
  }
  return nullptr;
}

bool OnceSimulation::IsUp(const std::optional<MemberId>& member) const {
  if (!member) return false;
  for (const auto& node : nodes_) {
    if (node->id == *member) return node->up && node->paused_until <= now_;
  }
  return false;
}

std::size_t OnceSimulation::OtherNode(std::size_t node) {
  return (node + 1 + base::RandomBelow(random_, kNodes - 1)) % kNodes;
}

void OnceSimulation::StartProcess(std::size_t number) {
  Node& node = *nodes_[number];
  const std::uint64_t incarnation = next_incarnation_++;
  node.id = MemberId{base::NodeAddress{"node" + std::to_string(number)},
                     base::Incarnation{incarnation}};
  node.up = true;
  node.notified_as_owner = false;
  node.lease_until = TimePoint{};
  node.paused_until = TimePoint{};
  node.known_owner = primary_;
  node.running.clear();
  node.clock_offset =
      milliseconds{static_cast<int>(base::RandomBelow(random_, kClockSpanMs)) -
                   kClockErrorMs};
  const Node* self = &node;
  node.table = std::make_unique<FaultyClaimTable>(
      settings_,
      [self](ShardIndex, Epoch, TimePoint now) {
        return now < self->lease_until;
      },
      bug_);
  node.client = std::make_unique<FaultyClaimClient>(
      settings_, base::Incarnation{incarnation}, bug_);
}

void OnceSimulation::Send(const MemberId& from,
                          const SendClaimMessage& message) {
  const int copies = Chance(faults_.duplicate) ? 2 : 1;
  for (int it = 0; it < copies; ++it) {
    const Node* to = Find(message.to);
    if (to == nullptr || (Chance(faults_.loss) && message.to != from)) continue;
    AtNode(to->number, to->id.incarnation.value(), now_ + Delay(),
           [this, from, body = message.message](Node& node) {
             Deliver(node, from, body);
           });
  }
}

void OnceSimulation::Apply(Node& node, const ClaimMessages& messages) {
  for (const SendClaimMessage& message : messages) Send(node.id, message);
}

void OnceSimulation::Deliver(Node& node, const MemberId& from,
                             const ClaimMessage& message) {
  FaultyClaimTable& table = *node.table;
  if (const auto* m = std::get_if<ClaimRequest>(&message)) {
    Apply(node, table.OnClaim(from, *m, now_, Wall(node.clock_offset)));
  } else if (const auto* m = std::get_if<ClaimOutcome>(&message)) {
    Apply(node, table.OnOutcome(from, *m, now_));
  } else if (const auto* m = std::get_if<ClaimCopy>(&message)) {
    Apply(node, table.OnCopy(from, *m, now_));
  } else if (const auto* m = std::get_if<ClaimCopyAck>(&message)) {
    Apply(node, table.OnCopyAck(from, *m, now_));
  } else if (const auto* m = std::get_if<ClaimAnswer>(&message)) {
    ApplyClient(node, node.client->OnAnswer(*m, now_));
  } else if (const auto* m = std::get_if<ClaimOutcomeAck>(&message)) {
    node.client->OnOutcomeAck(*m);
  }
}

void OnceSimulation::ApplyClient(Node& node, const ClaimActions& actions) {
  for (const ClaimAction& action : actions) {
    const std::uint64_t incarnation = node.id.incarnation.value();
    if (const auto* a = std::get_if<SendToOwner>(&action)) {
      if (node.known_owner) Send(node.id, {*node.known_owner, a->message});
    } else if (std::get_if<LookUpOwner>(&action) != nullptr) {
      AtNode(node.number, incarnation, now_ + Delay(),
             [this](Node& n) { n.known_owner = primary_; });
    } else if (const auto* a = std::get_if<ProceedWithCall>(&action)) {
      Dispatch(node, a->call, a->dispatch_by);
    } else if (const auto* a = std::get_if<ReplayAnswer>(&action)) {
      Submission& sub = submissions_.at({incarnation, a->call.value()});
      KeyLog& log = keys_[sub.key];
      if (a->answer != std::to_string(sub.key) || log.executions == 0) {
        ++log.wrong_replays;
      }
      sub.answer(base::Ran::kRan, true);
    } else if (const auto* a = std::get_if<RefuseCall>(&action)) {
      Submission& sub = submissions_.at({incarnation, a->call.value()});
      sub.refused_not_run = a->ran == base::Ran::kNotRun;
      sub.answer(a->ran, a->reason != base::Reason::kDuplicateInProgress);
    }
  }
}

// Dispatches the call to a backend server of another node. It runs the call or
// refuses it, its answer is lost, or its node fails meanwhile.
void OnceSimulation::Dispatch(Node& node, base::CallId call,
                              TimePoint dispatch_by) {
  if (now_ >= dispatch_by) return;
  const std::uint64_t incarnation = node.id.incarnation.value();
  const int key = submissions_.at({incarnation, call.value()}).key;
  node.running[call.value()] = key;
  const std::size_t entry = node.number;
  const std::size_t server = OtherNode(entry);
  if (Chance(0.1)) {
    Finish(node, call, base::Ran::kNotRun, key);
    return;
  }
  AtNode(node.number, incarnation, now_ + kCallTime,
         [this, call, key](Node& n) {
           Finish(n, call, base::Ran::kUnknown, key);
         });
  if (Chance(faults_.loss)) return;
  const std::uint64_t server_incarnation =
      nodes_[server]->id.incarnation.value();
  AtNode(server, server_incarnation, now_ + Delay(), [=](Node&) {
    ++keys_[key].executions;
    submissions_.at({incarnation, call.value()}).executed = true;
    if (Chance(faults_.loss)) return;
    const Duration run = milliseconds{base::RandomBelow(random_, 200)};
    AtNode(server, server_incarnation, now_ + run, [=](Node&) {
      AtNode(entry, incarnation, now_ + Delay(),
             [=](Node& n) { Finish(n, call, base::Ran::kRan, key); });
    });
  });
}

void OnceSimulation::Finish(Node& node, base::CallId call, base::Ran ran,
                            int key) {
  if (node.running.erase(call.value()) == 0) return;
  ApplyClient(node,
              node.client->OnFinished(call, ran, std::to_string(key), now_));
  Submission& sub =
      submissions_.at({node.id.incarnation.value(), call.value()});
  sub.refused_not_run = ran == base::Ran::kNotRun;
  sub.answer(ran, true);
}

// Submits a key to a node and, until an answer is final, again to other nodes.
void OnceSimulation::Submit(int key, std::size_t number, int tries_left) {
  if (tries_left == 0) return;
  Node& node = *nodes_[number];
  const std::uint64_t incarnation = node.id.incarnation.value();
  const std::uint64_t call = next_call_++;
  auto settled = std::make_shared<bool>(false);
  auto again = [=](Duration delay) {
    At(now_ + delay, [=] { Submit(key, OtherNode(number), tries_left - 1); });
  };
  Submission sub;
  sub.key = key;
  sub.answer = [=](base::Ran ran, bool) {
    if (*settled) return;
    *settled = true;
    // Some callers repeat a request even after its answer.
    if (ran != base::Ran::kRan || Chance(0.3)) {
      again(milliseconds{base::RandomBelow(random_, 1500)});
    }
  };
  submissions_.emplace(std::make_pair(incarnation, call), std::move(sub));
  ++keys_[key].submissions;
  At(now_ + milliseconds{1200}, [=] {
    if (*settled) return;
    *settled = true;
    again(Duration{0});
  });
  AtNode(number, incarnation, now_ + Delay(), [=](Node& n) {
    ClaimCall begin;
    begin.call = base::CallId{call};
    begin.shard = kShard;
    begin.id = MakeClaimId(base::AccountName{"a"}, key_ids_[key]);
    begin.request_digest = 7;
    begin.time_left = kCallTime;
    ApplyClient(n, n.client->Begin(begin, now_));
  });
}

void OnceSimulation::TickNodes() {
  for (const auto& it : nodes_) {
    Node& node = *it;
    if (!node.up || node.paused_until > now_) continue;
    ApplyClient(node, node.client->Tick(now_));
    Apply(node, node.table->Tick(now_, Wall(node.clock_offset)));
  }
}

void OnceSimulation::InjectFault() {
  const std::size_t number = base::RandomBelow(random_, kNodes);
  Node& node = *nodes_[number];
  if (!node.up) return;
  if (faults_.pause_nodes && Chance(0.5)) {
    node.paused_until = now_ + milliseconds{base::RandomBelow(random_, 1500)};
  } else if (faults_.kill_nodes) {
    node.up = false;
    const Duration down = milliseconds{base::RandomBelow(random_, 800)};
    At(now_ + down, [this, number] { StartProcess(number); });
  }
}

void OnceSimulation::GrantAuthority(Node& node, Epoch epoch,
                                    shard::History history,
                                    const std::optional<MemberId>& standby) {
  epoch_ = epoch;
  primary_ = node.id;
  standby_ = standby;
  primary_seen_ = now_;
  standby_seen_ = now_;
  node.lease_until = now_ + kLease;
  node.notified_as_owner = true;
  Apply(node, node.table->OnAuthorityGained(kShard, epoch, history, now_,
                                            Wall(node.clock_offset)));
  Apply(node, node.table->OnStandbyChanged(kShard, epoch, standby, now_));
}

// Simulates a correct lease service: a successor acts only after the lease has
// expired. A former owner is notified late, so only its own lease check stops
// it.
void OnceSimulation::TickAuthority() {
  for (const auto& node : nodes_) {
    const bool lost_ownership = node->notified_as_owner && node->id != primary_;
    if (!lost_ownership || !IsUp(node->id) || !Chance(0.03)) continue;
    node->notified_as_owner = false;
    node->table->OnAuthorityLost(kShard);
  }
  if (IsUp(primary_)) {
    Node& owner = *Find(*primary_);
    if (owner.lease_until > now_ || primary_seen_ == now_) {
      owner.lease_until = now_ + kLease;
      primary_seen_ = now_;
    }
  }
  if (IsUp(standby_)) standby_seen_ = now_;
  const bool pair = epoch_.value() % 2 == 0 && standby_.has_value();
  if (!primary_ || now_ - primary_seen_ > kLease + kLeaseMargin) {
    const bool standby_takes_over = pair && IsUp(standby_);
    if (standby_takes_over) {
      GrantAuthority(*Find(*standby_), Epoch{epoch_.value() + 1},
                     shard::History::kStandbyCopy, std::nullopt);
      return;
    }
    if (pair && now_ - standby_seen_ <= kLease + kLeaseMargin) return;
    const std::size_t next = base::RandomBelow(random_, kNodes);
    if (!IsUp(nodes_[next]->id)) return;
    GrantAuthority(*nodes_[next], Epoch{(epoch_.value() / 2 + 1) * 2},
                   primary_ ? shard::History::kGap : shard::History::kNone,
                   std::nullopt);
    return;
  }
  if (!IsUp(primary_)) return;
  Node& owner = *Find(*primary_);
  if (owner.lease_until <= now_) return;
  if (pair && now_ - standby_seen_ > kLease + kLeaseMargin) {
    GrantAuthority(owner, Epoch{epoch_.value() + 1}, shard::History::kKept,
                   std::nullopt);
  } else if (!pair && Chance(0.1)) {
    const std::size_t next = OtherNode(owner.number);
    if (!IsUp(nodes_[next]->id)) return;
    GrantAuthority(owner, Epoch{(epoch_.value() / 2 + 1) * 2},
                   shard::History::kKept, nodes_[next]->id);
  }
}

std::vector<KeyLog> OnceSimulation::Run(int keys) {
  constexpr int kTries = 7;
  constexpr Duration kTick = milliseconds{20};
  const milliseconds span{30 * keys};
  keys_.resize(keys);
  key_ids_.resize(keys);
  for (int key = 0; key < keys; ++key) {
    At(now_ + milliseconds{500 + base::RandomBelow(random_, span.count())},
       [this, key] {
         const Duration offset = milliseconds{
             static_cast<int>(base::RandomBelow(random_, kClockSpanMs)) -
             kClockErrorMs};
         key_ids_[key] =
             DeriveIdempotencyKey({base::RequestId{std::to_string(key)},
                                   Wall(offset), base::RouteName{"r"}, "/", 0});
         const std::size_t node = base::RandomBelow(random_, kNodes);
         const bool submit_to_all_nodes = Chance(0.2);
         for (std::size_t it = 0; it < (submit_to_all_nodes ? kNodes : 1);
              ++it) {
           Submit(key, (node + it) % kNodes, kTries);
         }
       });
  }
  const TimePoint end = now_ + span + std::chrono::seconds(12);
  for (TimePoint t = now_; t < end; t += kTick) {
    At(t, [this] {
      TickAuthority();
      TickNodes();
      if ((faults_.kill_nodes || faults_.pause_nodes) && Chance(0.04)) {
        InjectFault();
      }
    });
  }
  while (!events_.empty() && events_.begin()->first.first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = event.key().first;
    event.mapped()();
  }
  for (const auto& [id, sub] : submissions_) {
    if (sub.executed && sub.refused_not_run) ++keys_[sub.key].false_not_run;
  }
  return keys_;
}

}  // namespace dogwoodrail::core::once
