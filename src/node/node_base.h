#ifndef DOGWOODRAIL_NODE_NODE_BASE_H_
#define DOGWOODRAIL_NODE_NODE_BASE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/admission/admission_control.h"
#include "core/base/memory_budget.h"
#include "core/chain/chain_control.h"
#include "core/config/config_base.h"
#include "core/rate/grantor_assignment.h"
#include "core/route/endpoint_chooser.h"
#include "core/stop/stop_control.h"
#include "core/stop/stop_type.h"
#include "http/backend_client.h"
#include "http/caller_server.h"
#include "node/call_inbox.h"
#include "node/entry_base.h"
#include "node/failure_barrier.h"
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

// A node process: owns the transports and the systems that make decisions, and
// connects them. Everything runs on one event loop.
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
  // Runs the loop until the node has stopped. An exception that leaves a
  // handler is reported and the loop goes on.
  void Run();
  // Begins a graceful shutdown; false if it has begun before. To be called on
  // the loop's thread.
  bool BeginStop(core::stop::StopCause cause);

  // Runs a function on the loop's thread; may be called from any thread.
  void Post(std::function<void()> task);
  // The functions below must be called on the loop's thread.
  // Replaces the settings that can change while the node runs; the others must
  // have the values in use.
  void ApplySettings(const Settings& settings);
  // Activates a configuration.
  void SetConfig(std::shared_ptr<const core::config::ConfigState> config);
  // Adds a function that is called at each tick.
  void AddTickHandler(std::function<void(TimePoint)> tick) {
    tick_handlers_.push_back(std::move(tick));
  }
  // Adds metrics of a system that the node does not know.
  void AddMetricsSource(MetricsSource source) {
    metrics_.AddSource(std::move(source));
  }
  // Sets the hook that is called with the settings after a change.
  void SetSettingsHook(std::function<void(const Settings&)> hook) {
    on_settings_ = std::move(hook);
  }
  // Sets the hook that is called with the time for which the VM was suspended.
  void SetSuspendedHook(std::function<void(core::base::Duration)> hook) {
    on_suspended_ = std::move(hook);
  }
  // Sets the observer of the ends of executions.
  void SetOutcomeHook(
      std::function<void(const http::BackendOutcome&, TimePoint)> hook) {
    on_backend_outcome_ = std::move(hook);
  }
  // Sets the number of nodes in the directory of the hosting platform.
  void SetDirectorySize(std::size_t nodes) {
    grantors_.OnDirectory(nodes, Now());
  }
  // Sets the check that the configuration is fresh enough to admit requests
  // with a key. Until it is set, such requests are refused.
  void SetFreshnessCheck(std::function<bool(TimePoint)> check) {
    is_config_fresh_ = std::move(check);
  }
  // Handles an announcement of the local backend server.
  void OnAnnouncement(const BackendAnnouncement& announcement);
  // Returns the time of the steady clock, which all systems use.
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
  const PoisonSystem& poison() const { return poison_; }
  core::admission::AdmissionControl& admission() { return admission_; }
  const core::admission::AdmissionControl& admission() const {
    return admission_;
  }
  const EntrySystem& entry() const { return entry_; }
  const wire::Links& links() const { return links_; }
  const wire::Traffic& traffic() const { return traffic_; }
  const Metrics& metrics() const { return metrics_; }
  Metrics& metrics() { return metrics_; }
  core::route::EndpointChooser& chooser() { return chooser_; }
  const Settings& settings() const { return settings_; }
  const std::shared_ptr<const core::config::ConfigState>& config() const {
    return config_;
  }
  bool stopping() const { return stop_.has_value(); }
  FailureBarrier& barrier() { return barrier_; }
  const core::base::MemoryBudget& memory() const { return memory_; }

 private:
  // Without shards, rate grantors are computed from the members instead of
  // being recorded with an epoch, so all grantors use the same epoch.
  static constexpr core::shard::Epoch kAssignedGrantorEpoch{2};

  EntryPorts MakeEntryPorts();
  void OnBackendOutcome(ExecutionIndex index, http::BackendOutcome outcome);
  ServingPorts MakeServingPorts();
  http::CallerServerHooks MakeCallerHooks();
  // Ends a request that failed inside this node; its outcome is unknown.
  http::Response FailRequest(http::ExchangeId exchange,
                             core::base::Reason reason,
                             const std::string& cause);
  void AddChainPorts(EntryPorts& ports);
  void AddChainPorts(ServingPorts& ports);
  // Returns how long a call may be queued for the backend server, if its route
  // has a latency objective.
  std::optional<core::base::Duration> MaxQueueWait(
      const wire::CallMessage& message) const;
  void TickChain(TimePoint now);
  void LogAdmittedShare(const core::chain::LoadSample& sample);
  // Returns where another node is, seen from this one.
  wire::TrafficScope ScopeOf(const core::base::NodeAddress& address) const;
  RateOwners MakeRateOwners();
  PoisonPorts MakePoisonPorts();
  void AddPoisonPorts(ServingPorts& ports);
  void SetLinkHandlers();
  // Sets the handler of a frame kind, behind the barrier.
  void SetFrameHandler(wire::FrameKind kind, const char* name,
                       wire::Links::FrameHandler handler);
  void ScheduleTick();
  void Tick();
  void ContinueStop();
  core::stop::RemainingWork Remaining() const;
  // Ends the event loop.
  void EndRun(core::stop::StopEnd end);
  // Reports the end of the process and what is still owed.
  void ReportEnd();
  // Executes a step of a graceful shutdown.
  void ExecuteStopStep(core::stop::StopStep step, TimePoint now);
  // Ends all requests in progress with a final answer.
  void EndRequests(TimePoint now);
  void CheckSuspension();
  void TickShards(TimePoint now);
  void TickGrantors(TimePoint now);
  void ApplyCallerLimits();
  bool IsHandedOver() const;
  core::base::Result<std::optional<wire::SentFrame>> SendCall(
      const core::base::NodeAddress& to, wire::CallMessage message);
  // Takes a call back, or asks its serving node to cancel it.
  void CancelCall(const Attempt& attempt);
  // Receives a call for the local backend server. Calls of this node itself
  // have an empty link.
  void ReceiveCall(wire::LinkId from, wire::CallMessage message);
  void CancelReceived(wire::LinkId from, core::base::CallId call);
  // Hands the received calls to the serving system.
  void HandleReceivedCalls();
  void HandleReceivedCall(CallInbox::Entry& entry);
  void Reply(const CallOrigin& origin, wire::AnswerMessage message);
  void SendAnswer(wire::LinkId link, wire::AnswerMessage message);
  // Handles a call or an answer that there is no memory for.
  void OnTruncated(wire::LinkId from, const wire::Frame& frame);
  void AddMetricsSources();

  Settings settings_;
  core::base::EventSink emit_;
  FailureBarrier barrier_;
  core::base::MemoryBudget memory_;  // for messages
  Dialect dialect_;
  core::base::NodeAddress self_;
  wire::LinkPeer self_peer_;
  boost::asio::io_context& loop_;
  boost::asio::steady_timer tick_timer_;
  wire::Traffic traffic_;
  wire::Links links_;
  CallInbox inbox_;
  wire::DatagramSocket datagrams_;
  ShardSystem shards_;
  http::BackendClient backend_client_;
  core::admission::AdmissionControl admission_;
  core::chain::ChainControl chain_;
  core::route::EndpointChooser chooser_;
  EntrySystem entry_;
  core::rate::GrantorAssignment grantors_;
  RateSystem rates_;
  OnceSystem once_;
  PoisonSystem poison_;
  ServingSystem serving_;
  MemberSystem members_;
  http::CallerServer caller_server_;
  std::shared_ptr<const core::config::ConfigState> config_;
  std::function<bool(TimePoint)> is_config_fresh_;
  Metrics metrics_;
  std::vector<std::function<void(TimePoint)>> tick_handlers_;
  std::function<void(const Settings&)> on_settings_;
  std::function<void(core::base::Duration)> on_suspended_;
  std::function<void(const http::BackendOutcome&, TimePoint)>
      on_backend_outcome_;
  core::base::Duration suspended_total_{0};
  double logged_share_ = 1.0;
  std::optional<core::stop::StopControl> stop_;  // set during shutdown
  TimePoint stop_began_;
  core::stop::StopEnd stop_end_ = core::stop::StopEnd::kLoopEnded;
  std::size_t ended_requests_ = 0;  // by EndRequests()
  TimePoint last_member_update_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_NODE_BASE_H_
