#ifndef DOGWOODRAIL_TESTS_UNIT_COMMON_RANDOM_FAULTS_H_
#define DOGWOODRAIL_TESTS_UNIT_COMMON_RANDOM_FAULTS_H_

#include <functional>
#include <utility>

#include "tests/unit/common/shard_fleet.h"

namespace dogwoodrail::test {

// Injects random faults into a cluster and heals each after a random time.
// Faults can overlap.
class RandomFaults {
 public:
  // `restart` restarts the process of a node.
  RandomFaults(ShardFleet* fleet, std::function<void(std::size_t)> restart)
      : fleet_(fleet), restart_node_(std::move(restart)) {}

  // Schedules faults until `end`.
  void Plan(TimePoint end) {
    const Duration pause = Between(200, 4000);
    fleet_->time.After(pause, [this, end] {
      if (fleet_->time.now() >= end) return;
      InjectRandomFault();
      Plan(end);
    });
  }

 private:
  Duration Between(std::uint64_t low_ms, std::uint64_t high_ms) {
    return std::chrono::milliseconds(
        low_ms + RandomBelow(fleet_->random, high_ms - low_ms));
  }
  std::size_t AnyNode() {
    return RandomBelow(fleet_->random, fleet_->nodes.size());
  }

  void InjectRandomFault() {
    switch (RandomBelow(fleet_->random, 9)) {
      case 0:
        return KillAndRestartNode();
      case 1:
      case 2:
        return PauseNode();
      case 3:
        return IsolateNode(true);
      case 4:
        return IsolateNode(false);
      case 5:
        return DisruptPlatform();
      case 6:
        return DegradeNetwork();
      case 7:
        return StopAndRestartNode();
      default:
        return CutLink();
    }
  }

  void KillAndRestartNode() {
    const std::size_t node = AnyNode();
    if (!fleet_->nodes[node]->alive) return;
    fleet_->Kill(node);
    const bool noticed = RandomBelow(fleet_->random, 2) == 0;
    if (noticed) fleet_->ShareMembers();
    fleet_->time.After(Between(300, 15'000),
                       [this, node] { restart_node_(node); });
  }

  void PauseNode() {
    const std::size_t node = AnyNode();
    auto& it = *fleet_->nodes[node];
    if (!it.alive || it.paused) return;
    it.paused = true;
    const auto incarnation = it.self.id.incarnation;
    fleet_->time.After(Between(100, 9'000), [this, node, incarnation] {
      if (fleet_->nodes[node]->self.id.incarnation != incarnation) return;
      fleet_->Resume(node);
    });
  }

  void StopAndRestartNode() {
    const std::size_t node = AnyNode();
    auto& it = *fleet_->nodes[node];
    if (!it.alive || it.paused) return;
    fleet_->Perform(node, it.table->BeginStop(fleet_->Local(node)));
    const auto incarnation = it.self.id.incarnation;
    fleet_->time.After(Between(100, 2'000), [this, node, incarnation] {
      if (fleet_->nodes[node]->self.id.incarnation != incarnation) return;
      fleet_->Kill(node);
      restart_node_(node);
    });
  }

  void Cut(std::size_t from, std::size_t to, Duration span) {
    if (from == to) return;
    fleet_->cuts.insert({from, to});
    fleet_->time.After(span, [this, from, to] {
      fleet_->cuts.erase({from, to});
    });
  }

  void IsolateNode(bool both_ways) {
    const std::size_t node = AnyNode();
    const Duration span = Between(200, 10'000);
    for (std::size_t it = 0; it < fleet_->nodes.size(); ++it) {
      Cut(node, it, span);
      if (both_ways) Cut(it, node, span);
    }
  }

  void CutLink() {
    const std::size_t from = AnyNode();
    const std::size_t to = AnyNode();
    const Duration span = Between(200, 10'000);
    Cut(from, to, span);
    if (RandomBelow(fleet_->random, 2) == 0) Cut(to, from, span);
  }

  void DisruptPlatform() {
    Faults& faults = fleet_->faults;
    if (RandomBelow(fleet_->random, 2) == 0) {
      faults.platform_up = false;
    } else {
      faults.platform_lost_request = 0.2;
      faults.platform_lost_answer = 0.5;
      faults.platform_stale = 0.5;
    }
    fleet_->time.After(Between(500, 30'000), [this] {
      fleet_->faults.platform_up = true;
      fleet_->faults.platform_lost_request = 0;
      fleet_->faults.platform_lost_answer = 0;
      fleet_->faults.platform_stale = 0;
    });
  }

  void DegradeNetwork() {
    Faults& faults = fleet_->faults;
    faults.loss = RandomUnit(fleet_->random) * 0.4;
    faults.duplicate = RandomUnit(fleet_->random) * 0.3;
    faults.slow = RandomUnit(fleet_->random) * 0.3;
    fleet_->time.After(Between(500, 10'000), [this] {
      fleet_->faults.loss = 0;
      fleet_->faults.duplicate = 0;
      fleet_->faults.slow = 0;
    });
  }

  ShardFleet* fleet_;
  std::function<void(std::size_t)> restart_node_;
};

}  // namespace dogwoodrail::test

#endif  // DOGWOODRAIL_TESTS_UNIT_COMMON_RANDOM_FAULTS_H_
