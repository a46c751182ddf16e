#ifndef DOGWOODRAIL_TESTS_UNIT_MEMBER_MEMBER_SIMULATION_H_
#define DOGWOODRAIL_TESTS_UNIT_MEMBER_MEMBER_SIMULATION_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/member/member_table.h"

namespace dogwoodrail::tests::member {

using namespace core::member;  // NOLINT(google-build-using-namespace)
namespace base = core::base;

// Simulates members in one process and in virtual time. A datagram arrives one
// step after it was sent.
class Simulation {
 public:
  static constexpr base::Duration kStep = std::chrono::milliseconds(100);

  struct Node {
    std::unique_ptr<MemberTable> table;
    base::NodeAddress address;
    bool paused = false;
    bool gone = false;
    std::vector<MemberNotice> notices;
    std::vector<Rumour> rumours;
  };

  explicit Simulation(std::uint64_t seed) : seed_(seed), random_(seed) {}

  // Adds a node and starts it. The first three nodes are the seeds of all
  // nodes.
  std::size_t Add(const std::string& region, const std::string& zone) {
    nodes_.emplace_back();
    const std::size_t n = nodes_.size() - 1;
    Node& node = nodes_[n];
    node.address = base::NodeAddress("10.0." + std::to_string(n / 250) + "." +
                                     std::to_string(n % 250) + ":7001");
    index_[node.address] = n;
    region_.push_back(region);
    zone_.push_back(zone);
    Start(n);
    return n;
  }

  // Starts or restarts a node with a new incarnation and no state.
  void Start(std::size_t n) {
    MemberSelf self;
    self.address = nodes_[n].address;
    self.incarnation = base::Incarnation(random_());
    self.first_version = 1000 + now_.time_since_epoch().count() / 1000;
    self.zone = base::ZoneName(zone_[n]);
    self.region = base::RegionName(region_[n]);
    MemberSettings settings = this->settings;
    for (std::size_t it = 0; it < 3 && it < nodes_.size(); ++it) {
      settings.seeds.push_back(nodes_[it].address);
    }
    nodes_[n].table =
        std::make_unique<MemberTable>(self, settings, seed_ * 7919 + n);
    nodes_[n].table->SetRumourHook(
        [this, n](const base::NodeAddress& from, const Rumour& rumour) {
          nodes_[n].rumours.push_back(rumour);
          if (on_rumour) return on_rumour(n, from, rumour);
          return !hold_rumours;
        });
    nodes_[n].gone = false;
  }

  // Runs the simulation for `duration`.
  void Run(base::Duration duration) {
    const base::TimePoint end = now_ + duration;
    while (now_ < end) Step();
  }

  // Runs until the condition holds. Returns false if that takes over `limit`.
  bool RunUntil(const std::function<bool()>& condition, base::Duration limit) {
    const base::TimePoint end = now_ + limit;
    while (!condition()) {
      if (now_ >= end) return false;
      Step();
    }
    return true;
  }

  // Returns true if the node is paused or gone.
  bool IsStopped(std::size_t n) { return nodes_[n].paused || nodes_[n].gone; }
  // Returns the index of the node with an address.
  std::size_t IndexOf(const base::NodeAddress& address) {
    return index_.at(address);
  }
  // Returns the number of live members in the view of a node.
  std::size_t LiveSeenBy(std::size_t n) {
    return nodes_[n].table->live_count();
  }
  // Returns true if each running node sees `count` live members.
  bool AllSee(std::size_t count) {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!IsStopped(n) && LiveSeenBy(n) != count) return false;
    }
    return true;
  }
  // Returns the number of notices of a kind at all nodes.
  std::size_t CountNotices(NoticeKind kind) {
    std::size_t count = 0;
    for (const Node& node : nodes_) {
      for (const MemberNotice& it : node.notices) count += it.kind == kind;
    }
    return count;
  }

  Node& operator[](std::size_t n) { return nodes_[n]; }
  std::size_t size() const { return nodes_.size(); }
  base::TimePoint now() const { return now_; }
  const std::string& zone(std::size_t n) const { return zone_[n]; }
  const std::string& region(std::size_t n) const { return region_[n]; }
  base::Random& random() { return random_; }

  MemberSettings settings;
  bool hold_rumours = false;
  double loss = 0;  // fraction of datagrams lost
  // Returns true if datagrams from a to b are lost.
  std::function<bool(std::size_t, std::size_t)> cut;
  // Called for each new rumour and after each step, for tests of modules that
  // use the membership.
  std::function<bool(std::size_t, const base::NodeAddress&, const Rumour&)>
      on_rumour;
  std::function<void()> on_step;
  std::size_t datagrams = 0;
  std::size_t bytes = 0;
  std::size_t bytes_between_regions = 0;
  std::size_t bytes_between_zones = 0;

 private:
  struct InFlightDatagram {
    std::size_t from;
    std::size_t to;
    MemberMessage message;
  };

  void Step() {
    now_ += kStep;
    std::vector<InFlightDatagram> arriving;
    arriving.swap(in_flight_);
    for (InFlightDatagram& it : arriving) {
      if (nodes_[it.to].gone) continue;
      if (nodes_[it.to].paused) {
        in_flight_.push_back(std::move(it));  // stays in the socket buffer
        continue;
      }
      Execute(it.to, nodes_[it.to].table->OnDatagram(nodes_[it.from].address,
                                                     it.message, now_));
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!IsStopped(n)) Execute(n, nodes_[n].table->Tick(now_));
    }
    if (on_step) on_step();
  }

 public:
  // Executes the actions that a node returned.
  void Execute(std::size_t n, std::vector<MemberAction> actions) {
    for (MemberAction& it : actions) {
      if (auto* notice = std::get_if<MemberNotice>(&it)) {
        nodes_[n].notices.push_back(std::move(*notice));
        continue;
      }
      Send(n, std::move(std::get<SendMemberMessage>(it)));
    }
  }

 private:
  void Send(std::size_t n, SendMemberMessage send) {
    const auto found = index_.find(send.to);
    if (found == index_.end()) return;
    const std::size_t size = EstimateBytes(send.message);
    ++datagrams;
    bytes += size;
    if (region_[n] != region_[found->second]) bytes_between_regions += size;
    if (zone_[n] != zone_[found->second]) bytes_between_zones += size;
    if (base::RandomUnit(random_) < loss) return;
    if (cut && cut(n, found->second)) return;
    in_flight_.push_back({n, found->second, std::move(send.message)});
  }

  std::uint64_t seed_;
  base::Random random_;
  std::vector<Node> nodes_;
  std::unordered_map<base::NodeAddress, std::size_t> index_;
  std::vector<std::string> region_;
  std::vector<std::string> zone_;
  std::vector<InFlightDatagram> in_flight_;
  base::TimePoint now_{};
};

// Adds `per_zone` nodes to each of `zones` zones in each of `regions` regions.
inline void AddFleet(Simulation* sim, std::size_t regions, std::size_t zones,
                     std::size_t per_zone) {
  for (std::size_t it = 0; it < regions * zones * per_zone; ++it) {
    const std::string region = "r" + std::to_string(it % regions);
    const std::string zone = std::to_string(it / regions % zones);
    sim->Add(region, std::string(region).append("z").append(zone));
  }
}

}  // namespace dogwoodrail::tests::member

#endif  // DOGWOODRAIL_TESTS_UNIT_MEMBER_MEMBER_SIMULATION_H_
