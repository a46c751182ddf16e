#ifndef DOGWOODRAIL_COMMAND_COMMAND_FUNC_H_
#define DOGWOODRAIL_COMMAND_COMMAND_FUNC_H_

#include <functional>
#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "node/settings_type.h"

namespace dogwoodrail::command {

// Values of the command line flags. Each command uses some of them.
struct CommandFlags {
  std::string settings;            // path of a node's settings file
  std::string platform;            // "ip:port" of the Object API
  std::vector<std::string> nodes;  // operator endpoints, "ip:port"
  std::string author;
  std::string account;
  std::string request;
  std::string event;
  bool check = false;
  bool json = false;
  bool markdown = false;
  // Runs a node with the host adapter that its settings select.
  std::function<int(const node::Settings&)> run_node;
};

// Runs the command given by the arguments without flags; returns the exit code.
int RunCommand(const std::vector<std::string>& arguments,
               const CommandFlags& flags);

// Each of these commands prints its result and returns the exit code.
int RunNodeCommand(const CommandFlags& flags);
int ApplyTicketCommand(const std::string& file, const CommandFlags& flags);
int ShowTicketCommand(const std::string& number, const CommandFlags& flags);
int ListTicketsCommand(const CommandFlags& flags);
int CreateKeyCommand(const CommandFlags& flags);
int StatusCommand(const CommandFlags& flags);
int TimelineCommand(const CommandFlags& flags);
int SettingsCommand(const CommandFlags& flags);
int EventsCommand(const CommandFlags& flags);

// Prints an error to standard error and returns its exit code.
int PrintError(const core::base::Error& error);

// Returns the text that --help prints.
std::string UsageText();

}  // namespace dogwoodrail::command

#endif  // DOGWOODRAIL_COMMAND_COMMAND_FUNC_H_
