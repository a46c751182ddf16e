#include "node/run_node.h"

#include <iostream>
#include <memory>
#include <string>
#include <utility>

#include "node/config_spread.h"
#include "node/event_log.h"
#include "node/node_base.h"
#include "node/node_operator.h"
#include "node/platform_worker.h"
#include "node/process_end.h"
#include "node/shard_records.h"
#include "node/signal_func.h"
#include "objectapi/http_object_store.h"
#include "wire/address_func.h"

namespace dogwoodrail::node {
namespace {

constexpr int kExitBadSettings = 2;
// One thread is blocked by the configuration watch, the others read and write.
constexpr std::size_t kPlatformThreads = 3;

// Prints why the node cannot start and returns the exit code.
int ReportStartFailure(const core::base::Error& error) {
  std::cerr << "dogwoodrail: cannot start: " << error.detail << "\n";
  return kExitBadSettings;
}

}  // namespace

int RunNode(const Settings& settings, NodeProcess& process) {
  const auto platform = wire::ParseIpPort(settings.platform.address);
  if (!platform) return ReportStartFailure(platform.error());
  auto log = MakeEventLog(settings.log);
  if (!log) return ReportStartFailure(log.error());
  const core::base::EventSink emit = [&log](core::base::Event event) {
    (*log)->Record(std::move(event));
  };

  Node node(process.loop, settings, emit, MakeOwnDialect());
  if (const auto ok = node.Listen(); !ok) return ReportStartFailure(ok.error());
  NodeOperator operators(node, **log);
  if (const auto ok = operators.Listen(); !ok) {
    return ReportStartFailure(ok.error());
  }
  PlatformWorker worker(
      std::make_unique<objectapi::HttpObjectStore>(
          objectapi::HttpObjectStoreOptions{platform->ip, platform->port,
                                            settings.platform.timeout}),
      kPlatformThreads);
  ConfigSpread config(node, worker, emit);
  ShardRecords records(node, worker);
  node.shards().SetPlatform(
      [&records](const auto& action) { records.Start(action); });
  node.Post([&config] { config.Start(); });
  ReloadSystem reload(process, node, **log, emit);
  node.AddTickHandler([&reload](auto now) { reload.Tick(now); });
  process.signals.Start(MakeSignalHooks(node, reload, emit));
  RunToExit(node, **log);
}

}  // namespace dogwoodrail::node
