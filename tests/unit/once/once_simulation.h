#ifndef DOGWOODRAIL_TESTS_UNIT_ONCE_ONCE_SIMULATION_H_
#define DOGWOODRAIL_TESTS_UNIT_ONCE_ONCE_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "core/base/random_type.h"
#include "core/once/claim_client.h"
#include "core/once/claim_table.h"

namespace dogwoodrail::core::once {

// Safety rules that a test disables to show that the checks detect it.
struct InjectedBug {
  bool no_fence = false;           // a former owner continues to grant
  bool no_copy_ack = false;        // grants before the standby has a copy
  bool no_completeness = false;    // a partial copy counts as complete
  bool no_gap_copy = false;        // gaps are not copied to the standby
  bool release_after_run = false;  // reports an unknown outcome as "not run"
};

// Faults to inject. The fractions are probabilities per message.
struct SimulationFaults {
  double loss = 0;
  double duplicate = 0;
  double slow = 0;  // messages delayed by up to a second
  bool kill_nodes = false;
  bool pause_nodes = false;
};

// What happened to one idempotency key.
struct KeyLog {
  int submissions = 0;
  int executions = 0;
  int false_not_run = 0;  // submissions reported as not run that did run
  int wrong_replays = 0;
};

// Simulates several nodes, one shard, callers and backend servers in virtual
// time.
class OnceSimulation {
 public:
  OnceSimulation(std::uint64_t seed, SimulationFaults faults, InjectedBug bug);
  ~OnceSimulation();

  // Runs `keys` requests and their repetitions, and returns the log of each
  // key.
  std::vector<KeyLog> Run(int keys);

 private:
  struct Node;
  struct Submission;
  using Handler = std::function<void()>;

  void At(TimePoint when, Handler handler);
  void AtNode(std::size_t node, std::uint64_t incarnation, TimePoint when,
              std::function<void(Node&)> handler);
  void Send(const MemberId& from, const SendClaimMessage& message);
  void Deliver(Node& node, const MemberId& from, const ClaimMessage& message);
  void Apply(Node& node, const ClaimMessages& messages);
  void ApplyClient(Node& node, const ClaimActions& actions);
  void StartProcess(std::size_t node);
  void TickNodes();
  void InjectFault();
  void TickAuthority();
  void GrantAuthority(Node& node, Epoch epoch, shard::History history,
                      const std::optional<MemberId>& standby);
  void Submit(int key, std::size_t node, int tries_left);
  void Dispatch(Node& node, base::CallId call, TimePoint dispatch_by);
  void Finish(Node& node, base::CallId call, base::Ran ran, int key);
  Duration Delay();
  bool Chance(double probability);
  std::size_t OtherNode(std::size_t node);
  bool IsUp(const std::optional<MemberId>& member) const;
  Node* Find(const MemberId& member);
  WallTime Wall(Duration offset) const;

  base::Random random_;
  SimulationFaults faults_;
  InjectedBug bug_;
  OnceSettings settings_;
  TimePoint now_{};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<TimePoint, std::uint64_t>, Handler> events_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<KeyLog> keys_;
  std::vector<IdempotencyKey> key_ids_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Submission> submissions_;
  std::uint64_t next_call_ = 1;
  std::uint64_t next_incarnation_ = 1;
  // Ownership as held by the simulated lease service.
  Epoch epoch_{2};
  std::optional<MemberId> primary_;
  std::optional<MemberId> standby_;
  TimePoint primary_seen_{};
  TimePoint standby_seen_{};
};

}  // namespace dogwoodrail::core::once

#endif  // DOGWOODRAIL_TESTS_UNIT_ONCE_ONCE_SIMULATION_H_
