#ifndef DOGWOODRAIL_NODE_DIRECTORY_SYSTEM_H_
#define DOGWOODRAIL_NODE_DIRECTORY_SYSTEM_H_

#include <cstdint>
#include <functional>
#include <optional>

#include "core/base/error_type.h"
#include "core/base/event_type.h"
#include "core/member/directory.h"
#include "node/host_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Makes the store calls that the directory requests: writes this node's entry,
// and lists the entries of all nodes as seeds of the membership protocol.
class DirectorySystem {
 public:
  using TimePoint = core::base::TimePoint;
  using DrainMark = core::backend::DrainMark;

  DirectorySystem(const core::member::DirectorySettings& settings,
                  std::uint64_t seed, Node& node, const HostPorts& ports,
                  core::base::EventSink emit);

  // Starts the next store call if one is due.
  void Tick(TimePoint now);
  // Handles that the store has come back from an older copy: it may have lost
  // this node's entry.
  void OnEraChanged(TimePoint now);
  // Stores a drain mark in this node's entry, so that it survives a restart.
  void StoreDrainMark(const DrainMark& mark, TimePoint now);
  // Returns whether the store has acknowledged the latest entry.
  bool is_written() const { return directory_.is_written(); }
  // Sets the hook that is called with each drain mark read after a restart, the
  // latest first.
  void SetDrainMarkHook(std::function<void(const DrainMark&)> hook) {
    on_drain_mark_ = std::move(hook);
  }

 private:
  void CreateOwn();
  void ReadOwn();
  void OnOwn(const std::optional<core::member::DirectoryEntry>& entry);
  // Passes on the drain marks of the entry read after a restart.
  void RestoreMarks();
  void WriteOwn();
  // Logs that an entry lost with an era is there again.
  void ReportRewritten();
  void List();
  // Reports a failed call to the directory and logs its cause.
  void OnFailed(const core::base::Error& error);

  Node& node_;
  const HostPorts& ports_;
  core::base::EventSink emit_;
  core::member::Directory directory_;
  // What a read in a new era has found that is to be written again.
  core::member::EntryMatch found_ = core::member::EntryMatch::kSame;
  std::function<void(const DrainMark&)> on_drain_mark_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_DIRECTORY_SYSTEM_H_
