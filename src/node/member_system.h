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

// Sends the messages that the member table requests, and updates the endpoint
// chooser when members change.
class MemberSystem {
 public:
  using TimePoint = core::base::TimePoint;
  // Called for each valid datagram received from a peer.
  using DatagramHook = std::function<void(TimePoint)>;

  MemberSystem(const core::member::MemberSelf& self,
               core::member::MemberSettings settings, std::uint64_t seed,
               wire::DatagramSocket& datagrams,
               core::route::EndpointChooser& chooser,
               core::base::EventSink emit);

  // Updates the state of the local backend server.
  void SetBackend(const BackendAnnouncement& backend, TimePoint now);
  // Replaces the seed nodes, which are contacted to learn the members.
  void SetSeeds(std::vector<core::base::NodeAddress> seeds, TimePoint now) {
    table_.SetSeeds(std::move(seeds), now);
  }
  // Announces to the other members that this node is leaving.
  void BeginLeave(TimePoint now);
  // Handles a datagram from another node.
  void OnDatagram(const core::base::NodeAddress& from, const wire::Frame& frame,
                  TimePoint now);
  // Runs the timers of the member table.
  void Tick(TimePoint now);

  // Returns a random live member other than this node, or an empty address.
  core::base::NodeAddress PickPeer();
  // Returns the live members other than this node.
  std::vector<core::shard::Member> LivePeers() const;
  // Sets the hook that is called for each valid datagram from a peer.
  void SetDatagramHook(DatagramHook hook) { on_datagram_ = std::move(hook); }
  core::member::MemberTable& table() { return table_; }
  const core::member::MemberTable& table() const { return table_; }

 private:
  void Apply(const std::vector<core::member::MemberAction>& actions,
             TimePoint now);
  void OnNotice(const core::member::MemberNotice& notice, TimePoint now);
  void UpdateEndpoint(const core::member::MemberRecord& record, TimePoint now);

  wire::DatagramSocket& datagrams_;
  core::route::EndpointChooser& chooser_;
  core::base::EventSink emit_;
  core::member::MemberTable table_;
  DatagramHook on_datagram_;
  core::base::Random random_;  // for PickPeer()
  TimePoint next_tick_;
  // Service of the endpoint that is registered with the chooser for a node.
  std::unordered_map<core::base::NodeAddress, core::base::ServiceName>
      endpoints_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_MEMBER_SYSTEM_H_
