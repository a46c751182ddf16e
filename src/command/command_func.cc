#include "command/command_func.h"

#include <iostream>

#include "command/exit_code.h"
#include "core/base/event_table.h"
#include "json/json_writer.h"
#include "node/settings_load.h"
#include "node/settings_table.h"

namespace dogwoodrail::command {

int PrintError(const core::base::Error& error) {
  std::cerr << "dogwoodrail: " << error.detail << "\n";
  return ExitCodeOf(error);
}

std::string UsageText() {
  return "dogwoodrail COMMAND [FLAGS]\n\n"
         "  node --settings FILE [--check]     run a node, or check its file\n"
         "       [--kill_after_s SECONDS]      time that a stop may take, in "
         "place\n"
         "                                     of [shutdown] deadline\n"
         "       [--memory_mb MEGABYTES]       memory, in place of [node] "
         "memory_bytes\n"
         "  ticket apply FILE                  check a change ticket and apply "
         "it\n"
         "  ticket apply FILE --check          check it against what is in "
         "force\n"
         "  ticket show NUMBER                 print an accepted ticket\n"
         "  ticket list                        print the numbers of all "
         "tickets\n"
         "  key create --account NAME          make a key and its ticket "
         "entry\n"
         "  status --nodes IP:PORT,...         state of nodes\n"
         "  timeline --nodes IP:PORT,...       events of nodes by time; "
         "filters:\n"
         "                                     --request, --account, --event\n"
         "  settings [--markdown]              all settings with their "
         "defaults\n"
         "  events [--markdown]                the catalogue of events\n"
         "  version\n\n"
         "ticket needs --platform IP:PORT, the Object API. --nodes takes "
         "operator\n"
         "endpoints. --json prints for programs.\n\n"
         "Exit codes: 0 done, 1 refused or not reachable, 2 bad input or\n"
         "settings, 3 outcome unknown, 4 another ticket won.";
}

int RunNodeCommand(const CommandFlags& flags) {
  if (flags.settings.empty()) {
    return PrintError({core::base::ErrorCode::kInvalidArgument,
                       "node needs --settings FILE"});
  }
  const auto settings = node::LoadSettings(flags.settings);
  if (!settings) {
    for (const std::string& it : settings.error().lines) {
      std::cerr << it << "\n";
    }
    return kExitBadInput;
  }
  if (!flags.check) return flags.run_node(*settings);
  std::cout << flags.settings << ": ok\n";
  return kExitOk;
}

int SettingsCommand(const CommandFlags& flags) {
  if (flags.markdown) {
    std::cout << node::SettingsMarkdown();
    return kExitOk;
  }
  json::JsonNode list = json::MakeObject();
  json::JsonNode& rows = json::AddArray(list, "settings");
  for (const node::SettingRow& it : node::SettingTable()) {
    const std::string value = node::FormatSetting(it, node::Settings());
    if (!flags.json) {
      std::cout << "[" << it.section << "] " << it.key << " = "
                << (it.required ? "(required)" : value) << "\n    " << it.text
                << "; " << node::AllowedValues(it) << "\n";
      continue;
    }
    json::JsonNode& row = json::AddObject(rows);
    row.addValue("section", it.section);
    row.addValue("key", it.key);
    row.addValue("required", it.required);
    row.addValue("default", value);
    row.addValue("allowed", node::AllowedValues(it));
    row.addValue("text", it.text);
  }
  if (flags.json) std::cout << json::WriteJson(list) << "\n";
  return kExitOk;
}

int EventsCommand(const CommandFlags& flags) {
  if (flags.markdown) {
    std::cout << core::base::EventsMarkdown();
    return kExitOk;
  }
  json::JsonNode list = json::MakeObject();
  json::JsonNode& rows = json::AddArray(list, "events");
  for (const core::base::EventSpec& it : core::base::EventTable()) {
    const auto number = static_cast<std::uint16_t>(it.number);
    if (!flags.json) {
      std::cout << number << " " << it.name << ": " << it.text << "\n";
      continue;
    }
    json::JsonNode& row = json::AddObject(rows);
    row.addValue("number", number);
    row.addValue("name", std::string(it.name));
    row.addValue("level", std::string(core::base::EventLevelText(it.level)));
    row.addValue("text", std::string(it.text));
  }
  if (flags.json) std::cout << json::WriteJson(list) << "\n";
  return kExitOk;
}

int RunCommand(const std::vector<std::string>& arguments,
               const CommandFlags& flags) {
  const std::string command = arguments.empty() ? "" : arguments[0];
  const std::string subcommand = arguments.size() < 2 ? "" : arguments[1];
  const std::string operand = arguments.size() < 3 ? "" : arguments[2];
  if (arguments.size() == 1) {
    if (command == "node") return RunNodeCommand(flags);
    if (command == "status") return StatusCommand(flags);
    if (command == "timeline") return TimelineCommand(flags);
    if (command == "settings") return SettingsCommand(flags);
    if (command == "events") return EventsCommand(flags);
  }
  if (arguments.size() == 2) {
    if (command == "ticket" && subcommand == "list") {
      return ListTicketsCommand(flags);
    }
    if (command == "key" && subcommand == "create") {
      return CreateKeyCommand(flags);
    }
  }
  if (arguments.size() == 3 && command == "ticket") {
    if (subcommand == "apply") return ApplyTicketCommand(operand, flags);
    if (subcommand == "show") return ShowTicketCommand(operand, flags);
  }
  std::cerr << UsageText() << "\n";
  return kExitBadInput;
}

}  // namespace dogwoodrail::command
