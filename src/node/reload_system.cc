#include "node/reload_system.h"

#include <utility>
#include <vector>

#include "node/settings_file.h"
#include "node/settings_load.h"
#include "node/settings_table.h"

namespace dogwoodrail::node {
namespace {

using core::base::EventNumber;
using core::reload::LoadedFile;
using core::reload::ReloadCause;
using core::reload::ReloadDecision;
using core::reload::ReloadOutcome;

std::string Join(const std::vector<std::string>& parts, const char* separator) {
  std::string text;
  for (const std::string& it : parts) {
    if (!text.empty()) text += separator;
    text += it;
  }
  return text;
}

// Returns the field of a list of names, "NAME=COUNT:a,b".
std::string FormatNames(const char* name,
                        const std::vector<std::string>& names) {
  return std::string(name) + "=" + std::to_string(names.size()) +
         (names.empty() ? "" : ":" + Join(names, ","));
}

}  // namespace

ReloadSystem::ReloadSystem(const NodeProcess& process, Node& node,
                           EventLog& log, core::base::EventSink emit)
    : file_(process.settings_file),
      limits_(process.limits),
      node_(node),
      log_(log),
      emit_(std::move(emit)) {}

bool ReloadSystem::OnSignal() {
  if (node_.stopping()) control_.BeginStop();
  return control_.OnSignal(Node::Now());
}

void ReloadSystem::Tick(core::base::TimePoint now) {
  if (node_.stopping()) control_.BeginStop();
  if (!control_.IsLookDue(now)) return;
  const auto cause = control_.OnLook(ReadFileVersion(file_), now);
  if (cause) Load(*cause);
}

void ReloadSystem::Load(ReloadCause cause) {
  LoadedFile file;
  Settings settings;
  auto text = ReadSettingsFile(file_);
  if (!text) {
    file.problems = {text.error().detail};
  } else if (auto parsed = ParseSettings(file_, *text); !parsed) {
    file.problems = std::move(parsed.error().lines);
  } else {
    settings = WithLimits(std::move(*parsed), limits_);
    file.text = std::move(*text);
    file.changes = FindChanges(node_.settings(), settings);
  }
  const ReloadDecision decision = control_.OnLoaded(cause, file);
  if (decision.outcome == ReloadOutcome::kReloaded) Apply(settings, decision);
  node_.metrics().OnSettingsLoaded(core::reload::CountOf(decision));
  Log(decision, file);
}

void ReloadSystem::Apply(const Settings& settings,
                         const ReloadDecision& decision) {
  const Settings next =
      WithSettings(node_.settings(), settings, decision.applied);
  node_.ApplySettings(next);
  log_.ApplySettings(next.log);
}

void ReloadSystem::Log(const ReloadDecision& decision, const LoadedFile& file) {
  switch (decision.outcome) {
    case ReloadOutcome::kReloaded:
      return emit_({EventNumber::kSettingsReloaded,
                    {},
                    {},
                    FormatNames("applied", decision.applied) + " " +
                        FormatNames("restart", decision.needs_restart)});
    case ReloadOutcome::kRefused:
      if (!decision.is_logged) return;
      return emit_({EventNumber::kSettingsRefused,
                    {},
                    {},
                    "problems=" + std::to_string(file.problems.size()) + " " +
                        Join(file.problems, " | ")});
    case ReloadOutcome::kUnchanged:
      return emit_({decision.is_logged ? EventNumber::kSettingsUnchanged
                                       : EventNumber::kSettingsChecked,
                    {},
                    {},
                    "file=" + file_});
  }
}

}  // namespace dogwoodrail::node
