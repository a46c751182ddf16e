#ifndef DOGWOODRAIL_NODE_RELOAD_SYSTEM_H_
#define DOGWOODRAIL_NODE_RELOAD_SYSTEM_H_

#include <string>

#include "core/base/event_type.h"
#include "core/reload/reload_control.h"
#include "node/event_log.h"
#include "node/node_base.h"
#include "node/node_process.h"

namespace dogwoodrail::node {

// Loads the settings file of a running node when it has changed and applies the
// settings that can change while the node runs. An invalid file is refused
// whole.
class ReloadSystem {
 public:
  ReloadSystem(const NodeProcess& process, Node& node, EventLog& log,
               core::base::EventSink emit);

  // Lets the file be loaded; false during a stop.
  bool OnSignal();
  // Looks at the file and loads it, when that is due.
  void Tick(core::base::TimePoint now);

 private:
  void Load(core::reload::ReloadCause cause);
  void Apply(const Settings& settings,
             const core::reload::ReloadDecision& decision);
  void Log(const core::reload::ReloadDecision& decision,
           const core::reload::LoadedFile& file);

  std::string file_;
  ProcessLimits limits_;
  Node& node_;
  EventLog& log_;
  core::base::EventSink emit_;
  core::reload::ReloadControl control_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_RELOAD_SYSTEM_H_
