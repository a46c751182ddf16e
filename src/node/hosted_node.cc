#include "node/hosted_node.h"

#include <iostream>
#include <memory>
#include <string>
#include <utility>

#include "node/backend_system.h"
#include "node/config_follow_system.h"
#include "node/control_system.h"
#include "node/crash_store_system.h"
#include "node/directory_system.h"
#include "node/event_log.h"
#include "node/node_base.h"
#include "node/node_operator.h"
#include "node/process_end.h"
#include "node/secret_func.h"
#include "node/signal_func.h"
#include "wire/address_func.h"

namespace dogwoodrail::node {
namespace {

using core::base::EventNumber;
using core::base::Result;
using core::base::TimePoint;

constexpr int kExitBadSettings = 2;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

// A node and the systems that connect it to the platform that hosts it.
class HostedNode {
 public:
  HostedNode(boost::asio::io_context& loop, const Settings& settings,
             core::base::EventSink emit)
      : settings_(settings), emit_(std::move(emit)), loop_(loop) {}

  // Creates the parts.
  Result<void> Build(const HostPortsFactory& factory) {
    auto ports = factory(loop_, settings_);
    if (!ports) return tl::make_unexpected(ports.error());
    ports_ = std::move(*ports);
    node_ = std::make_unique<Node>(loop_, settings_, emit_, ports_.dialect);
    config_ = std::make_unique<ConfigFollowSystem>(settings_.host, RandomSeed(),
                                                   *node_, ports_, emit_);
    directory_ = std::make_unique<DirectorySystem>(
        settings_.host.directory, RandomSeed(), *node_, ports_, emit_);
    crashes_ = std::make_unique<CrashStoreSystem>(
        settings_.host.crashes, RandomSeed(), *node_, ports_, emit_);
    backend_ = std::make_unique<BackendSystem>(settings_.host.watch, *node_,
                                               ports_, emit_);
    control_ = std::make_unique<ControlSystem>(*backend_, *directory_,
                                               MakeControlPorts());
    Connect();
    return Listen();
  }

  Node& node() { return *node_; }

 private:
  void Connect() {
    node_->SetFreshnessCheck(
        [this](TimePoint now) { return config_->IsFresh(now); });
    node_->SetSettingsHook(
        [this](const Settings& settings) { backend_->OnSettings(settings); });
    node_->SetSuspendedHook(
        [this](core::base::Duration time) { config_->OnSuspended(time); });
    backend_->SetDrainHook([this](const auto& mark, TimePoint now) {
      directory_->StoreDrainMark(mark, now);
    });
    directory_->SetDrainMarkHook(
        [this](const auto& mark) { backend_->OnDrainMark(mark, Node::Now()); });
    node_->SetOutcomeHook(
        [this](const http::BackendOutcome& outcome, TimePoint now) {
          backend_->OnOutcome(outcome, now);
        });
    ports_.set_skip_hook([this](const SkippedObject& it) {
      emit_({EventNumber::kObjectSkipped,
             {},
             {},
             "kind=" + it.kind + " name=" + it.name});
    });
    ports_.set_era_hook(
        [this](core::config::StoreEra era) { config_->OnStoreEra(era); });
    config_->SetEraHook([this](TimePoint now) {
      directory_->OnEraChanged(now);
      crashes_->OnEraChanged(now);
    });
    node_->AddTickHandler([this](TimePoint now) { Tick(now); });
  }

  ControlPorts MakeControlPorts() {
    ControlPorts ports;
    ports.read_notice = ports_.read_notice;
    ports.answer = [this](http::ExchangeId exchange, http::Response response) {
      control_server_->Answer(exchange, std::move(response));
    };
    ports.emit = emit_;
    return ports;
  }

  Result<void> Listen() {
    if (auto ok = node_->Listen(); !ok) return ok;
    ready_server_ = MakeServer(
        [this](http::ExchangeId exchange, const http::Request& request) {
          ready_server_->Answer(exchange, AnswerReady(request));
        });
    control_server_ = MakeServer(
        [this](http::ExchangeId exchange, const http::Request& request) {
          control_->OnRequest(exchange, request, Node::Now());
        });
    if (auto ok = ListenAt(*ready_server_, settings_.host.ready_address); !ok) {
      return ok;
    }
    return ListenAt(*control_server_, settings_.host.control_address);
  }

  std::unique_ptr<http::CallerServer> MakeServer(
      std::function<void(http::ExchangeId, http::Request)> on_request) {
    http::CallerServerHooks hooks;
    hooks.on_request = std::move(on_request);
    hooks.on_cancel = [](http::ExchangeId) {};
    hooks.on_malformed = [](core::base::Reason, const std::string& detail) {
      return MakeTextResponse(kBadRequest, "text/plain", detail + "\n");
    };
    hooks.on_failed = [this](http::ExchangeId, core::base::Reason,
                             const std::string& cause) {
      node_->barrier().Report("platform_request", cause);
      return MakeTextResponse(kInternalError, "text/plain", "");
    };
    return std::make_unique<http::CallerServer>(
        loop_, http::CallerServerSettings(), std::move(hooks));
  }

  static Result<void> ListenAt(http::CallerServer& server,
                               const std::string& text) {
    const auto address = wire::ParseIpPort(text);
    if (!address) return tl::make_unexpected(address.error());
    return server.Listen(address->ip, address->port);
  }

  // A node without a configuration that it may rely on is not ready, because it
  // refuses requests.
  http::Response AnswerReady(const http::Request& request) {
    if (!ports_.is_readiness_probe(request)) {
      return MakeTextResponse(kNotFound, "text/plain", "");
    }
    const bool ready = config_->is_settled() && !node_->stopping();
    return MakeTextResponse(ready ? kOk : kUnavailable, "text/plain", "");
  }

  void Tick(TimePoint now) {
    config_->Tick(now);
    directory_->Tick(now);
    crashes_->Tick(now);
    backend_->Tick(now);
    control_->Tick(now);
  }

  Settings settings_;
  core::base::EventSink emit_;
  boost::asio::io_context& loop_;
  HostPorts ports_;
  std::unique_ptr<Node> node_;
  std::unique_ptr<ConfigFollowSystem> config_;
  std::unique_ptr<DirectorySystem> directory_;
  std::unique_ptr<CrashStoreSystem> crashes_;
  std::unique_ptr<BackendSystem> backend_;
  std::unique_ptr<ControlSystem> control_;
  std::unique_ptr<http::CallerServer> ready_server_;
  std::unique_ptr<http::CallerServer> control_server_;
};

}  // namespace

int RunHostedNode(const Settings& settings, const HostPortsFactory& factory,
                  NodeProcess& process) {
  auto log = MakeEventLog(settings.log);
  if (!log) {
    std::cerr << "dogwoodrail: cannot start: " << log.error().detail << "\n";
    return kExitBadSettings;
  }
  const core::base::EventSink emit = [&](core::base::Event event) {
    (*log)->Record(std::move(event));
  };
  HostedNode hosted(process.loop, settings, emit);
  if (const auto ok = hosted.Build(factory); !ok) {
    std::cerr << "dogwoodrail: cannot start: " << ok.error().detail << "\n";
    return kExitBadSettings;
  }
  NodeOperator operators(hosted.node(), **log);
  if (const auto ok = operators.Listen(); !ok) {
    std::cerr << "dogwoodrail: cannot start: " << ok.error().detail << "\n";
    return kExitBadSettings;
  }
  ReloadSystem reload(process, hosted.node(), **log, emit);
  hosted.node().AddTickHandler([&reload](auto now) { reload.Tick(now); });
  process.signals.Start(MakeSignalHooks(hosted.node(), reload, emit));
  RunToExit(hosted.node(), **log);
}

}  // namespace dogwoodrail::node
