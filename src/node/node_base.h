#ifndef DOGWOODRAIL_NODE_NODE_BASE_H_
#define DOGWOODRAIL_NODE_NODE_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/admission/admission_control.h"
#include "core/chain/chain_control.h"
#include "core/config/config_base.h"
#include "core/rate/grantor_assignment.h"
#include "core/route/endpoint_chooser.h"
#include "core/stop/stop_control.h"
#include "http/backend_client.h"
#include "http/caller_server.h"
#include "node/entry_base.h"
#include "node/member_system.h"
#include "node/metrics.h"
#include "node/once_system.h"
#include "node/poison_system.h"
#include "node/rate_system.h"
#include "node/serving_base.h"
#include "node/settings_type.h"
#include "node/shard_system.h"
#include "wire/datagrams.h"
#include "wire/links.h"

namespace dogwoodrail::node {

// One node process: transports, decisions and their wiring, all on one loop.
class Node {
 public:
  using TimePoint = core::base::TimePoint;

  // The loop must outlive the node.
  Node(boost::asio::io_context& loop, Settings settings,
       core::base::EventSink emit, Dialect dialect);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Opens the listeners.
  core::base::Result<void> Listen();
  // Runs the loop until the node has stopped.
  void Run();
  // Begins a planned stop; a second call ends it at once. Loop's thread.
  void BeginStop();

  // Runs a function on the loop's thread; may be called from any thread.
  void Post(std::function<void()> task);
  // The functions below belong to the loop's thread.
  // Takes a configuration into use.
  void SetConfig(std::shared_ptr<const core::config::ConfigState> config);
  // Adds a system that runs with each tick.
  void AddSystem(std::function<void(TimePoint)> tick) {
    further_systems_.push_back(std::move(tick));
  }
  // Sets what is called with a time for which the whole process stood still.
  void SetSuspendedHook(std::function<void(core::base::Duration)> hook) {
    on_suspended_ = std::move(hook);
  }
  // Takes the number of nodes in the directory of the host system.
  void SetDirectorySize(std::size_t nodes) { homes_.OnDirectory(nodes, Now()); }
  // Sets what tells whether keyed requests may run on the configuration; they
  // may not before it is set.
  void SetFreshnessCheck(std::function<bool(TimePoint)> check) {
    is_fresh_ = std::move(check);
  }
  // Takes an announcement of the backend server beside this node.
  void OnAnnouncement(const BackendAnnouncement& announcement);
  // Time as the decisions see it.
  static TimePoint Now();

  boost::asio::io_context& loop() { return loop_; }
  wire::Links& links() { return links_; }
  http::CallerServer& callers() { return caller_server_; }
  MemberSystem& members() { return members_; }
  EntrySystem& entry() { return entry_; }
  ServingSystem& serving() { return serving_; }
  ShardSystem& shards() { return shards_; }
  RateSystem& rates() { return rates_; }
  OnceSystem& once() { return once_; }
  PoisonSystem& poison() { return poison_; }
  core::admission::AdmissionControl& admission() { return admission_; }
  const core::admission::AdmissionControl& admission() const {
    return admission_;
  }
  const EntrySystem& entry() const { return entry_; }
  const wire::Links& links() const { return links_; }
  const Metrics& metrics() const { return metrics_; }
  core::route::EndpointChooser& chooser() { return chooser_; }
  const Settings& settings() const { return settings_; }
  const std::shared_ptr<const core::config::ConfigState>& config() const {
    return config_;
  }
  bool stopping() const { return stop_.has_value(); }

 private:
  // Homes of rates are not recorded, so all act under the same epoch.
  static constexpr core::shard::Epoch kHomeEpoch{2};

  EntryPorts MakeEntryPorts();
  ServingPorts MakeServingPorts();
  http::CallerServerHooks MakeCallerHooks();
  void AddChainPorts(EntryPorts& ports);
  void AddChainPorts(ServingPorts& ports);
  // Returns the longest wait of a call for the backend server, if its route
  // has a latency objective.
  std::optional<core::base::Duration> MaxWaitOf(
      const wire::CallMessage& message) const;
  void TickChain(TimePoint now);
  void LogAdmittedShare(const core::chain::LoadSample& sample);
  RateOwners MakeRateOwners();
  void AddPoisonPorts(ServingPorts& ports);
  void SetLinkHandlers();
  void ScheduleTick();
  void Tick();
  void WaitForSignal();
  void ContinueStop();
  // Carries out a step of a planned stop.
  void Perform(core::stop::StopStep step, TimePoint now);
  void CheckSuspension();
  void TickShards(TimePoint now);
  void TickHomes(TimePoint now);
  void ApplyCallerLimits(const core::config::CallerLimits& limits);
  bool IsHandedOver() const;
  core::base::Result<std::optional<wire::SentFrame>> SendCall(
      const core::base::NodeAddress& to, const wire::CallMessage& message);
  void Reply(const CallOrigin& origin, wire::AnswerMessage message);

  Settings settings_;
  core::base::EventSink emit_;
  Dialect dialect_;
  core::base::NodeAddress self_;
  wire::LinkPeer self_peer_;
  boost::asio::io_context& loop_;
  boost::asio::steady_timer tick_timer_;
  boost::asio::signal_set signals_;
  wire::Links links_;
  wire::DatagramSocket datagrams_;
  ShardSystem shards_;
  http::BackendClient backend_client_;
  core::admission::AdmissionControl admission_;
  core::chain::ChainControl chain_;
  core::route::EndpointChooser chooser_;
  EntrySystem entry_;
  core::rate::GrantorAssignment homes_;
  RateSystem rates_;
  OnceSystem once_;
  PoisonSystem poison_;
  ServingSystem serving_;
  MemberSystem members_;
  http::CallerServer caller_server_;
  std::shared_ptr<const core::config::ConfigState> config_;
  std::function<bool(TimePoint)> is_fresh_;
  Metrics metrics_;
  std::vector<std::function<void(TimePoint)>> further_systems_;
  std::function<void(core::base::Duration)> on_suspended_;
  core::base::Duration suspended_total_{0};
  double logged_share_ = 1.0;
  std::optional<core::stop::StopControl> stop_;  // set while stopping
  TimePoint stop_began_;
  TimePoint members_given_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_NODE_BASE_H_
