#include "node/crash_store_system.h"

#include <chrono>
#include <utility>

namespace dogwoodrail::node {

namespace poison = core::poison;
using core::base::EventNumber;
using core::base::NodeAddress;
using core::base::Result;
using poison::ArchiveCall;
using poison::CrashObject;

namespace {

// Longest time for which a node that has a configuration waits for the crashes.
// If the store is away, other nodes have given the configuration, and send
// their crashes in this time, too.
constexpr core::base::Duration kMaxWait = std::chrono::seconds(1);

poison::ClockReading ReadClocks(core::base::TimePoint now) {
  const auto wall = std::chrono::system_clock::now();
  return {now, std::chrono::time_point_cast<std::chrono::milliseconds>(wall)};
}

poison::ArchivePorts MakeArchivePorts(Node& node) {
  poison::ArchivePorts ports;
  ports.is_live = [&node](const NodeAddress& it) {
    const auto* record = node.members().table().Find(it);
    return record != nullptr && record->IsLive();
  };
  ports.count_members = [&node] { return node.members().table().live_count(); };
  return ports;
}

}  // namespace

CrashStoreSystem::CrashStoreSystem(const poison::ArchiveSettings& settings,
                                   std::uint64_t seed, Node& node,
                                   const HostPorts& ports,
                                   core::base::EventSink emit)
    : node_(node),
      ports_(ports),
      emit_(std::move(emit)),
      archive_(settings, node.poison().crashes(),
               NodeAddress(node.settings().identity.peer_address),
               MakeArchivePorts(node), seed),
      own_name_(node.settings().host.name.value()),
      started_at_(Node::Now()) {
  node_.poison().HoldExecutions();
  node_.poison().SetClearHook(
      [this](const poison::CrashId& id) { archive_.OnClearedHere(id); });
}

void CrashStoreSystem::Tick(TimePoint now) {
  EndWaitIfDue(now);
  const auto call = archive_.Next(ReadClocks(now));
  if (!call) return;
  switch (*call) {
    case ArchiveCall::kList:
      return List();
    case ArchiveCall::kWrite:
      return Write();
    case ArchiveCall::kRemove:
      return Remove();
  }
}

// The first configuration shows that the store may be reached again.
void CrashStoreSystem::EndWaitIfDue(TimePoint now) {
  if (!waits_ || !node_.config()) return;
  if (!configured_at_) {
    configured_at_ = now;
    archive_.OnStoreReached(ReadClocks(now));
  }
  if (now - *configured_at_ >= kMaxWait) EndWait(now, "by=timeout");
}

void CrashStoreSystem::EndWait(TimePoint now, const std::string& detail) {
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - started_at_);
  emit_({EventNumber::kPoisonRestored,
         {},
         {},
         detail + " waited_ms=" + std::to_string(waited.count())});
  waits_ = false;
  node_.poison().AdmitExecutions();
}

void CrashStoreSystem::OnFailed(const core::base::Error& error) {
  emit_({EventNumber::kPlatformLost,
         {},
         {},
         "call=crashes cause=" + error.detail});
  archive_.OnFailed(ReadClocks(Node::Now()));
}

void CrashStoreSystem::List() {
  ports_.list_crashes([this](const Result<std::vector<CrashObject>>& objects) {
    if (!objects) return OnFailed(objects.error());
    OnListed(*objects);
  });
}

void CrashStoreSystem::OnListed(const std::vector<CrashObject>& objects) {
  const TimePoint now = Node::Now();
  const std::size_t added =
      archive_.OnListed(objects, own_name_, ReadClocks(now));
  EndWait(now, "by=store records=" + std::to_string(added));
}

void CrashStoreSystem::Write() {
  const std::size_t records = archive_.to_write().records.size();
  ports_.write_crashes(archive_.to_write(),
                       [this, records](const Result<void>& written) {
                         if (!written) return OnFailed(written.error());
                         archive_.OnWritten(ReadClocks(Node::Now()));
                         emit_({EventNumber::kPoisonStored,
                                {},
                                {},
                                "records=" + std::to_string(records)});
                       });
}

void CrashStoreSystem::Remove() {
  ports_.remove_crashes(
      archive_.to_remove(), [this](const Result<void>& removed) {
        archive_.OnRemoved();
        if (removed) return;
        emit_({EventNumber::kPlatformLost,
               {},
               {},
               "call=remove_crashes cause=" + removed.error().detail});
      });
}

void CrashStoreSystem::OnEraChanged(TimePoint now) {
  archive_.OnEraChanged(ReadClocks(now));
}

}  // namespace dogwoodrail::node
