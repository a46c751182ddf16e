#ifndef DOGWOODRAIL_NODE_CONFIG_SPREAD_H_
#define DOGWOODRAIL_NODE_CONFIG_SPREAD_H_

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/base/event_type.h"
#include "core/base/random_type.h"
#include "core/config/config_base.h"
#include "core/spread/spread_control.h"
#include "node/node_base.h"
#include "node/platform_worker.h"
#include "objectapi/config_store.h"

namespace dogwoodrail::node {

// Obtains the configuration from the platform and from peers, activates it at
// this node and distributes it to other nodes.
class ConfigSpread {
 public:
  using TimePoint = core::base::TimePoint;

  ConfigSpread(Node& node, PlatformWorker& worker, core::base::EventSink emit);
  ~ConfigSpread();
  ConfigSpread(const ConfigSpread&) = delete;
  ConfigSpread& operator=(const ConfigSpread&) = delete;

  // Starts the periodic tick. To be called once, on the loop's thread.
  void Start();

 private:
  using Head = core::base::Result<std::optional<objectapi::StoredHead>>;

  core::spread::ConfigurationHooks MakeHooks();
  bool ApplyTicket(const core::spread::Ticket& ticket);
  bool ApplySnapshot(const core::spread::Snapshot& snapshot);
  core::spread::Snapshot MakeSnapshot();
  void Activate(core::config::ConfigState state,
                core::config::Ticket last_ticket);
  void SetHandlers();
  void OnFrame(wire::LinkId from, const wire::Bytes& payload);
  void Tick();
  void Apply(const std::vector<core::spread::SpreadAction>& actions);
  void Execute(const core::spread::WatchPlatform& action);
  void Execute(const core::spread::ReadPlatform& action);
  void Execute(const core::spread::ReadPlatformTickets& action);
  void Execute(const core::spread::SendQuery& action);
  void Execute(const core::spread::SendAnswer& action);
  void Execute(const core::spread::AnnounceNumber& action);
  void Execute(const core::spread::FreshnessChanged& action);
  void OnHead(std::uint64_t call, Head head);
  // Returns false if the head is known not to follow from the configuration in
  // force by the head's last tickets.
  bool ContinuesState(const objectapi::ConfigHead& head) const;
  // Keeps the number and object version of a head that was read.
  void NoteHead(std::uint64_t call, const objectapi::StoredHead& head);
  void OnTickets(std::uint64_t call,
                 core::base::Result<std::vector<core::spread::Ticket>> tickets);
  // Logs when the platform becomes reachable or unreachable.
  void UpdatePlatformReachable(bool reachable, const std::string& cause);

  Node& node_;
  PlatformWorker& worker_;
  core::base::EventSink emit_;
  core::base::Random random_;
  core::spread::SpreadSettings settings_;
  core::spread::SpreadControl control_;
  boost::asio::steady_timer tick_timer_;
  core::spread::PeerView view_;
  TimePoint next_view_refresh_;
  core::config::ConfigState state_;
  core::config::Ticket last_ticket_;
  core::spread::Snapshot snapshot_cache_;
  std::uint64_t head_call_ = 0;       // call that returned the head read last
  objectapi::ObjectVersion version_;  // of that head
  core::base::TicketNumber head_number_;  // of that head
  bool history_lost_ = false;  // a head of a lower version was returned
  bool reachable_ = true;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CONFIG_SPREAD_H_
