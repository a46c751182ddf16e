#include "node/directory_system.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dogwoodrail::node {

using core::base::NodeAddress;
using core::base::Result;
using core::member::DirectoryCall;
using core::member::DirectoryEntry;
using core::member::EntryMatch;

DirectorySystem::DirectorySystem(
    const core::member::DirectorySettings& settings, std::uint64_t seed,
    Node& node, const HostPorts& ports, core::base::EventSink emit)
    : node_(node),
      ports_(ports),
      emit_(std::move(emit)),
      directory_(settings, NodeAddress(node.settings().identity.peer_address),
                 seed) {}

void DirectorySystem::Tick(TimePoint now) {
  directory_.SetAlone(node_.members().table().live_count() <= 1);
  const auto call = directory_.Next(now);
  if (!call) return;
  switch (*call) {
    case DirectoryCall::kCreateOwn:
      return CreateOwn();
    case DirectoryCall::kReadOwn:
      return ReadOwn();
    case DirectoryCall::kWriteOwn:
      return WriteOwn();
    case DirectoryCall::kList:
      return List();
  }
}

void DirectorySystem::OnFailed(const core::base::Error& error) {
  emit_({core::base::EventNumber::kPlatformLost,
         {},
         {},
         "call=directory cause=" + error.detail});
  directory_.OnFailed(Node::Now());
}

void DirectorySystem::CreateOwn() {
  ports_.create_own_entry(directory_.own(),
                          [this](const Result<bool>& created) {
                            if (!created) return OnFailed(created.error());
                            const TimePoint now = Node::Now();
                            directory_.OnCreated(*created, now);
                            Tick(now);
                          });
}

void DirectorySystem::ReadOwn() {
  ports_.read_own_entry(
      [this](const Result<std::optional<DirectoryEntry>>& entry) {
        if (!entry) return OnFailed(entry.error());
        OnOwn(*entry);
      });
}

void DirectorySystem::OnOwn(const std::optional<DirectoryEntry>& entry) {
  const TimePoint now = Node::Now();
  const bool had_mark = directory_.own().drained.has_value();
  const EntryMatch match = directory_.OnOwn(entry, now);
  found_ = directory_.is_verifying() ? match : EntryMatch::kSame;
  if (!had_mark) RestoreMarks();
  Tick(now);
}

void DirectorySystem::RestoreMarks() {
  const DirectoryEntry& own = directory_.own();
  if (!own.drained || !on_drain_mark_) return;
  on_drain_mark_(*own.drained);
  for (const DrainMark& it : own.drained_before) on_drain_mark_(it);
}

void DirectorySystem::WriteOwn() {
  ports_.write_own_entry(directory_.own(), [this](const Result<void>& written) {
    if (!written) return OnFailed(written.error());
    const TimePoint now = Node::Now();
    directory_.OnWritten(now);
    ReportRewritten();
    Tick(now);
  });
}

void DirectorySystem::ReportRewritten() {
  if (found_ == EntryMatch::kSame || !directory_.is_written()) return;
  const bool missing =
      std::exchange(found_, EntryMatch::kSame) == EntryMatch::kMissing;
  emit_({core::base::EventNumber::kDirectoryEntryRewritten,
         {},
         {},
         std::string("found=") + (missing ? "missing" : "different")});
}

void DirectorySystem::List() {
  ports_.list_entries([this](const Result<std::vector<DirectoryEntry>>& list) {
    if (!list) return OnFailed(list.error());
    std::vector<NodeAddress> seeds;
    for (const DirectoryEntry& it : *list) seeds.push_back(it.address);
    const TimePoint now = Node::Now();
    node_.SetDirectorySize(seeds.size());
    node_.members().SetSeeds(std::move(seeds), now);
    directory_.OnList(now);
  });
}

void DirectorySystem::OnEraChanged(TimePoint now) {
  directory_.OnEraChanged(node_.members().table().live_count(), now);
}

void DirectorySystem::StoreDrainMark(const DrainMark& mark, TimePoint now) {
  directory_.SetDrained(mark, now);
  Tick(now);
}

}  // namespace dogwoodrail::node
