#ifndef DOGWOODRAIL_NODE_MEMBER_SYSTEM_H_
#define DOGWOODRAIL_NODE_MEMBER_SYSTEM_H_

#include <functional>
#include <unordered_map>
#include <vector>

#include "core/base/event_type.h"
#include "core/member/member_table.h"
#include "core/route/endpoint_chooser.h"
#include "core/shard/shard_type.h"
#include "node/serving_type.h"
#include "wire/datagrams.h"

namespace dogwoodrail::node {

// Carries out what the member table decides, and keeps the endpoint chooser in
// step with it.
class MemberSystem {
 public:
  using TimePoint = core::base::TimePoint;
  // Called with each datagram heard from a peer.
  using HeardHook = std::function<void(TimePoint)>;

  MemberSystem(const core::member::MemberSelf& self,
               core::member::MemberSettings settings, std::uint64_t seed,
               wire::DatagramSocket& datagrams,
               core::route::EndpointChooser& chooser,
               core::base::EventSink emit);

  // Takes the state of the backend server beside this node.
  void SetBackend(const BackendAnnouncement& backend, TimePoint now);
  // Replaces the nodes that are asked for the members.
  void SetSeeds(std::vector<core::base::NodeAddress> seeds, TimePoint now) {
    table_.SetSeeds(std::move(seeds), now);
  }
  // Tells the others that this node stops.
  void BeginLeave(TimePoint now);
  // Takes a datagram from another node.
  void OnDatagram(const core::base::NodeAddress& from, const wire::Frame& frame,
                  TimePoint now);
  // Runs the table's timers when they are due.
  void Tick(TimePoint now);

  // Returns the other live nodes.
  std::vector<core::shard::Member> Members() const;
  // Sets what is called with each datagram heard.
  void SetHeardHook(HeardHook hook) { on_heard_ = std::move(hook); }
  core::member::MemberTable& table() { return table_; }

 private:
  void Apply(const std::vector<core::member::MemberAction>& actions,
             TimePoint now);
  void OnNotice(const core::member::MemberNotice& notice, TimePoint now);
  void UpdateEndpoint(const core::member::MemberRecord& record, TimePoint now);

  wire::DatagramSocket& datagrams_;
  core::route::EndpointChooser& chooser_;
  core::base::EventSink emit_;
  core::member::MemberTable table_;
  HeardHook on_heard_;
  TimePoint next_tick_;
  // Service under which the chooser knows a node.
  std::unordered_map<core::base::NodeAddress, core::base::ServiceName>
      endpoints_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_MEMBER_SYSTEM_H_
