#ifndef DOGWOODRAIL_NODE_CRASH_STORE_SYSTEM_H_
#define DOGWOODRAIL_NODE_CRASH_STORE_SYSTEM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "core/base/event_type.h"
#include "core/poison/crash_archive.h"
#include "node/host_type.h"
#include "node/node_base.h"

namespace dogwoodrail::node {

// Makes the store calls that the crash archive requests, and holds executions
// back at the start until the crashes have been read.
class CrashStoreSystem {
 public:
  using TimePoint = core::base::TimePoint;

  CrashStoreSystem(const core::poison::ArchiveSettings& settings,
                   std::uint64_t seed, Node& node, const HostPorts& ports,
                   core::base::EventSink emit);
  CrashStoreSystem(const CrashStoreSystem&) = delete;
  CrashStoreSystem& operator=(const CrashStoreSystem&) = delete;

  // Starts the next store call if one is due.
  void Tick(TimePoint now);
  // Handles that the store has come back from an older copy.
  void OnEraChanged(TimePoint now);

 private:
  void List();
  void OnListed(const std::vector<core::poison::CrashObject>& objects);
  void Write();
  void Remove();
  // Ends the wait for the store when a configuration has been in force for too
  // long without it.
  void EndWaitIfDue(TimePoint now);
  void EndWait(TimePoint now, const std::string& detail);
  // Reports a failed call to the archive and logs its cause.
  void OnFailed(const core::base::Error& error);

  Node& node_;
  const HostPorts& ports_;
  core::base::EventSink emit_;
  core::poison::CrashArchive archive_;
  std::string own_name_;
  TimePoint started_at_;
  std::optional<TimePoint> configured_at_;
  bool waits_ = true;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CRASH_STORE_SYSTEM_H_
