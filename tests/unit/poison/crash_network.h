#ifndef DOGWOODRAIL_TESTS_UNIT_POISON_CRASH_NETWORK_H_
#define DOGWOODRAIL_TESTS_UNIT_POISON_CRASH_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/base/random_type.h"
#include "core/poison/crash_archive.h"
#include "core/poison/crash_spread.h"
#include "core/poison/suspect_gate.h"
#include "tests/unit/poison/fake_crash_store.h"

namespace dogwoodrail::core::poison {

// Mechanisms that a test switches off.
struct InjectedBug {
  bool no_isolation = false;
  bool no_clearing = false;
};

// Faults of the simulated network.
struct NetworkSpec {
  std::size_t nodes = 6;
  double loss = 0.05;  // share of datagrams
  base::Duration max_delay = std::chrono::milliseconds(30);
  InjectedBug bug;
  PoisonSettings settings;
  bool with_store = false;  // nodes keep their crashes in it
};

// Nodes that exchange crash records in virtual time.
class CrashNetwork {
 public:
  // A node and the gate before its backend server.
  struct Node {
    std::unique_ptr<CrashSet> crashes;
    std::unique_ptr<CrashSpread> spread;
    std::unique_ptr<SuspectGate> gate;
    std::unique_ptr<CrashArchive> archive;  // with a store only
    base::Duration clock_error{0};          // of the wall clock
    base::Incarnation incarnation;
    std::uint64_t next_number = 1;
    bool up = true;
    bool cut = false;             // reaches other cut nodes only
    base::TimePoint in_touch_at;  // start, or end of the last cut
  };

  CrashNetwork(const NetworkSpec& spec, std::uint64_t seed);

  // Advances the time by one step.
  void Step();
  // Ends a node, or starts it without any memory.
  void Kill(std::size_t node);
  void Start(std::size_t node);
  // Ends all nodes and starts them again without any memory.
  void KillAll();
  // The store comes back from its copy; all nodes learn of it.
  void RestoreStore();
  // Present time at a node.
  ClockReading ClocksOf(std::size_t node) const;
  FakeCrashStore& store() { return store_; }
  // Cuts a node off from those that are not cut, or ends this.
  void SetCut(std::size_t node, bool cut);
  // Adds records of a crash that a node has observed.
  void AddCrash(std::size_t node, ObservedCrash crash);
  // Handles the completed execution of a request at a node.
  void Complete(std::size_t node, const Fingerprint& fingerprint);

  Node& node(std::size_t it) { return nodes_.at(it); }
  std::size_t size() const { return nodes_.size(); }
  base::TimePoint now() const { return now_; }
  base::Random& random() { return random_; }
  // Largest number of bytes that a node has sent.
  std::uint64_t max_sent_bytes() const;

  static constexpr base::Duration kStep = std::chrono::milliseconds(10);

 private:
  struct Datagram {
    std::size_t from = 0;
    std::size_t to = 0;
    CrashMessage message;
  };

  void Reset(std::size_t node);
  std::unique_ptr<CrashArchive> MakeArchive(std::size_t node);
  // Carries out the store call of a node that is due.
  void CallStore(std::size_t node);
  void Transmit(std::size_t from, CrashSpread::Messages messages);

  NetworkSpec spec_;
  base::Random random_;
  base::TimePoint now_{std::chrono::seconds(100)};
  std::vector<Node> nodes_;
  FakeCrashStore store_;
  std::multimap<base::TimePoint, Datagram> in_flight_;
};

// Returns the fingerprint of a test request.
Fingerprint TestFingerprint(const std::string& target);

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_TESTS_UNIT_POISON_CRASH_NETWORK_H_
