#include <gflags/gflags.h>

#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "command/command_func.h"
#include "node/allocator_func.h"
#include "node/hosted_node.h"
#include "node/run_node.h"
#include "platform/host_ports.h"

DEFINE_string(settings, "", "settings file of the node");
DEFINE_string(platform, "", "IP:port of the Object API");
DEFINE_string(nodes, "", "operator endpoints of nodes, IP:port,...");
DEFINE_string(author, "", "author of the ticket; $USER if empty");
DEFINE_string(account, "", "client account");
DEFINE_string(request, "", "id of a request");
DEFINE_string(event, "", "number of an event");
DEFINE_string(kill_after_s, "",
              "seconds from the signal to stop until the process is killed");
DEFINE_string(memory_mb, "", "megabytes above which the process is killed");
DEFINE_bool(check, false, "only check");
DEFINE_bool(json, false, "print for programs");
DEFINE_bool(markdown, false, "print the page of the docs");

namespace {

constexpr const char* kVersion = "0.1.0";

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) parts.push_back(part);
  return parts;
}

// True if the argument is not a flag, or is a defined flag. Unknown flags are
// rejected here because gflags would exit with code 1 instead of 2 (bad input).
bool IsKnownArgument(const std::string& argument) {
  if (argument.rfind('-', 0) != 0) return true;
  std::string name = argument.substr(argument.rfind("--", 0) == 0 ? 2 : 1);
  name = name.substr(0, name.find('='));
  gflags::CommandLineFlagInfo info;
  if (gflags::GetCommandLineFlagInfo(name.c_str(), &info)) return true;
  const bool negated = name.rfind("no", 0) == 0;
  return negated &&
         gflags::GetCommandLineFlagInfo(name.substr(2).c_str(), &info);
}

// Runs a node with the host adapter that its settings select.
int RunWithAdapter(const dogwoodrail::node::Settings& settings,
                   dogwoodrail::node::NodeProcess& process) {
  if (settings.host.adapter == "platform") {
    return dogwoodrail::node::RunHostedNode(
        settings, &dogwoodrail::platform::MakeHostPorts, process);
  }
  return dogwoodrail::node::RunNode(settings, process);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(dogwoodrail::command::UsageText());
  gflags::SetVersionString(kVersion);
  for (int it = 1; it < argc; ++it) {
    if (IsKnownArgument(argv[it])) continue;
    std::cerr << "dogwoodrail: unknown flag " << argv[it] << "\n";
    return 2;
  }
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true") {
    std::cout << dogwoodrail::command::UsageText() << "\n";
    return 0;
  }
  if (gflags::GetCommandLineFlagInfoOrDie("version").current_value == "true" ||
      arguments == std::vector<std::string>{"version"}) {
    std::cout << "dogwoodrail " << kVersion << "\n";
    return 0;
  }
  dogwoodrail::command::CommandFlags flags;
  // Before the settings are read, so that a signal during the start does not
  // end the process.
  std::optional<dogwoodrail::node::NodeProcess> process;
  if (arguments == std::vector<std::string>{"node"} && !FLAGS_check) {
    process.emplace().settings_file = FLAGS_settings;
    const auto limits = dogwoodrail::node::ParseProcessLimits(
        FLAGS_kill_after_s, FLAGS_memory_mb);
    if (!limits) return dogwoodrail::command::PrintError(limits.error());
    process->limits = *limits;
    dogwoodrail::node::ReturnFreedMemory();
  }
  flags.run_node = [&process](const dogwoodrail::node::Settings& settings) {
    return RunWithAdapter(WithLimits(settings, process->limits), *process);
  };
  flags.settings = FLAGS_settings;
  flags.platform = FLAGS_platform;
  flags.nodes = SplitList(FLAGS_nodes);
  flags.author = FLAGS_author;
  flags.account = FLAGS_account;
  flags.request = FLAGS_request;
  flags.event = FLAGS_event;
  flags.check = FLAGS_check;
  flags.json = FLAGS_json;
  flags.markdown = FLAGS_markdown;
  return dogwoodrail::command::RunCommand(arguments, flags);
}
