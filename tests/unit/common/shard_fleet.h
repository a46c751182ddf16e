#ifndef DOGWOODRAIL_TESTS_UNIT_COMMON_SHARD_FLEET_H_
#define DOGWOODRAIL_TESTS_UNIT_COMMON_SHARD_FLEET_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/base/random_type.h"
#include "core/shard/shard_table.h"
#include "tests/unit/common/fake_platform.h"
#include "tests/unit/common/virtual_time.h"

namespace dogwoodrail::test {

using core::base::Random;
using core::base::RandomBelow;
using core::base::RandomUnit;
using core::shard::MemberId;
using core::shard::ShardIndex;
using core::shard::ShardTable;

// Creates the shard table of a node. Tests may return a faulty variant.
using TableFactory = std::function<std::unique_ptr<ShardTable>(
    core::shard::ShardSettings, const core::shard::Member&, TimePoint)>;

// Current faults of the network and the platform. The fractions are
// probabilities per message, read or write.
struct Faults {
  double loss = 0;
  double duplicate = 0;
  Duration min_delay = std::chrono::microseconds(500);
  Duration max_delay = std::chrono::milliseconds(3);
  double slow = 0;  // messages delayed by up to max_slow
  Duration max_slow = std::chrono::seconds(5);
  bool platform_up = true;
  double platform_lost_request = 0;
  double platform_lost_answer = 0;
  double platform_stale = 0;  // reads that return the previous version
};

// Simulates the shard tables of several nodes in virtual time.
class ShardFleet {
 public:
  struct Node {
    core::shard::Member self;
    DriftingClock clock;
    std::unique_ptr<ShardTable> table;
    bool alive = true;
    bool paused = false;
    std::vector<std::function<void()>> inbox;  // what arrived while paused
    std::vector<core::shard::AuthorityGained> gained;
  };

  ShardFleet(core::shard::ShardSettings settings, std::size_t size,
             std::uint64_t seed, TableFactory factory, double max_drift = 0.004)
      : random(seed),
        settings_(settings),
        factory_(std::move(factory)),
        max_drift_(max_drift) {
    for (std::size_t it = 0; it < size; ++it) {
      nodes.push_back(std::make_unique<Node>());
      nodes.back()->self.id.address =
          core::base::NodeAddress("10.0.0." + std::to_string(it) + ":1");
      nodes.back()->self.zone =
          core::base::ZoneName("zone" + std::to_string(it % 3));
      Start(it);
    }
  }

  // Starts a new process of a node.
  void Start(std::size_t index) {
    Node& node = *nodes[index];
    node.self.id.incarnation = core::base::Incarnation(random());
    node.alive = true;
    node.paused = false;
    node.inbox.clear();
    const double drift = (RandomUnit(random) - 0.5) * 2 * max_drift_;
    node.clock.rate = 1.0 + drift;
    node.clock.offset = std::chrono::seconds(RandomBelow(random, 100'000));
    node.table = factory_(settings_, node.self, Local(index));
    const std::uint64_t incarnation = node.self.id.incarnation.value();
    time.After(Duration(RandomBelow(random, 50'000)),
               [this, index, incarnation] { TickLoop(index, incarnation); });
    ShareMembers();
  }

  // Ends the process of a node.
  void Kill(std::size_t index) {
    nodes[index]->alive = false;
    nodes[index]->paused = false;
  }

  // Sends the list of live nodes to every node.
  void ShareMembers() {
    std::vector<core::shard::Member> members;
    for (const auto& node : nodes) {
      if (node->alive) members.push_back(node->self);
    }
    for (const auto& node : nodes) {
      if (node->alive && node->table) node->table->OnMembers(members);
    }
  }

  // Resumes a paused node and delivers what arrived meanwhile.
  void Resume(std::size_t index) {
    Node& node = *nodes[index];
    if (!node.paused) return;
    node.paused = false;
    for (auto& fn : std::exchange(node.inbox, {})) fn();
  }

  // Returns the time on a node's clock.
  TimePoint Local(std::size_t index) const {
    return nodes[index]->clock.At(time.now());
  }

  // Returns the number of nodes that may act for a shard now.
  std::size_t OwnerCount(ShardIndex shard) const {
    std::size_t n = 0;
    for (std::size_t it = 0; it < nodes.size(); ++it) {
      if (IsOwner(it, shard)) ++n;
    }
    return n;
  }
  bool IsOwner(std::size_t index, ShardIndex shard) const {
    return nodes[index]->alive &&
           nodes[index]->table->HasAuthority(shard, Local(index));
  }

  // Returns the index of the node that acts for a shard, or the number of nodes
  // if none does.
  std::size_t Owner(ShardIndex shard) const {
    std::size_t it = 0;
    while (it < nodes.size() && !IsOwner(it, shard)) ++it;
    return it;
  }

  // Executes a node's actions on the simulated network and platform.
  void Perform(std::size_t index, const core::shard::ShardActions& actions) {
    for (const auto& action : actions) {
      if (const auto* send =
              std::get_if<core::shard::SendShardMessage>(&action)) {
        Deliver(index, *send);
      } else if (const auto* gained =
                     std::get_if<core::shard::AuthorityGained>(&action)) {
        nodes[index]->gained.push_back(*gained);
      } else {
        AskPlatform(index, action);
      }
      if (on_action) on_action(index, action);
    }
  }

  // Runs `fn` at node `to` after a network delay, subject to the network
  // faults.
  void Transmit(std::size_t from, std::size_t to,
                const std::function<void()>& fn) {
    if (cuts.count({from, to}) != 0) return;
    if (RandomUnit(random) < faults.loss) return;
    const int copies = RandomUnit(random) < faults.duplicate ? 2 : 1;
    const std::uint64_t incarnation = nodes[to]->self.id.incarnation.value();
    for (int n = 0; n < copies; ++n) {
      time.After(Delay(),
                 [this, to, fn, incarnation] { Arrive(to, incarnation, fn); });
    }
  }

  // Runs `fn` at a node, or queues it if the node is paused. Dropped if that
  // process of the node has ended.
  void Arrive(std::size_t to, std::uint64_t incarnation,
              const std::function<void()>& fn) {
    Node& node = *nodes[to];
    const bool same_incarnation =
        node.self.id.incarnation.value() == incarnation;
    if (!node.alive || !same_incarnation) return;
    if (node.paused) {
      node.inbox.push_back(fn);
    } else {
      fn();
    }
  }

  // Returns the index of the node at an address.
  std::size_t Find(const core::base::NodeAddress& address) const {
    std::size_t it = 0;
    while (nodes[it]->self.id.address != address) ++it;
    return it;
  }

  static constexpr Duration kTick = std::chrono::milliseconds(50);

  VirtualTime time;
  Random random;
  Faults faults;
  FakePlatform platform;
  std::vector<std::unique_ptr<Node>> nodes;
  // Directed links (from, to) that lose every message.
  std::set<std::pair<std::size_t, std::size_t>> cuts;
  std::uint64_t messages = 0;
  std::function<void(std::size_t, const core::shard::ShardAction&)> on_action;

 private:
  Duration Delay() {
    const auto span = faults.max_delay - faults.min_delay;
    const auto delay =
        faults.min_delay +
        Duration(
            RandomBelow(random, static_cast<std::uint64_t>(span.count()) + 1));
    if (RandomUnit(random) >= faults.slow) return delay;
    return delay + Duration(RandomBelow(random, static_cast<std::uint64_t>(
                                                    faults.max_slow.count())));
  }

  void TickLoop(std::size_t index, std::uint64_t incarnation) {
    Node& node = *nodes[index];
    if (!node.alive || node.self.id.incarnation.value() != incarnation) return;
    if (!node.paused) Perform(index, node.table->Tick(Local(index)));
    time.After(kTick,
               [this, index, incarnation] { TickLoop(index, incarnation); });
  }

  void Deliver(std::size_t index, const core::shard::SendShardMessage& send) {
    ++messages;
    const std::size_t to = Find(send.to.address);
    const MemberId from = nodes[index]->self.id;
    const auto message = send.message;
    Transmit(index, to, [this, to, from, message] {
      Perform(to, nodes[to]->table->OnMessage(from, message, Local(to)));
    });
  }

  void AskPlatform(std::size_t index, const core::shard::ShardAction& action) {
    const auto* read = std::get_if<core::shard::ReadShardRecord>(&action);
    const auto* write = std::get_if<core::shard::WriteShardRecord>(&action);
    if (read == nullptr && write == nullptr) return;
    const ShardIndex shard = read ? read->shard : write->record.shard;
    const bool lost = !faults.platform_up ||
                      RandomUnit(random) < faults.platform_lost_request;
    if (lost) return AnswerPlatform(index, Failed(shard));
    time.After(Delay(), [this, index, action, shard] {
      const auto* w = std::get_if<core::shard::WriteShardRecord>(&action);
      const bool stale = RandomUnit(random) < faults.platform_stale;
      const auto answer = w ? platform.Write(*w) : platform.Read(shard, stale);
      const bool gone = RandomUnit(random) < faults.platform_lost_answer;
      AnswerPlatform(index, gone ? Failed(shard) : answer);
    });
  }

  static core::shard::ShardPlatformAnswer Failed(ShardIndex shard) {
    core::shard::ShardPlatformAnswer answer;
    answer.shard = shard;
    return answer;
  }

  void AnswerPlatform(std::size_t index,
                      const core::shard::ShardPlatformAnswer& answer) {
    const std::uint64_t incarnation = nodes[index]->self.id.incarnation.value();
    time.After(Delay(), [this, index, incarnation, answer] {
      Arrive(index, incarnation, [this, index, answer] {
        Perform(index,
                nodes[index]->table->OnPlatformAnswer(answer, Local(index)));
      });
    });
  }

  core::shard::ShardSettings settings_;
  TableFactory factory_;
  double max_drift_;
};

}  // namespace dogwoodrail::test

#endif  // DOGWOODRAIL_TESTS_UNIT_COMMON_SHARD_FLEET_H_
