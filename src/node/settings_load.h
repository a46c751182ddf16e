#ifndef DOGWOODRAIL_NODE_SETTINGS_LOAD_H_
#define DOGWOODRAIL_NODE_SETTINGS_LOAD_H_

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "node/settings_type.h"

namespace dogwoodrail::node {

// All problems found in a settings file, one line each:
// "FILE:LINE: [section] key: why; allowed: ...".
struct SettingsProblems {
  std::vector<std::string> lines;
};

// Reads and validates a settings file and reports all of its problems at once.
tl::expected<Settings, SettingsProblems> LoadSettings(const std::string& file);

// Like LoadSettings, for the contents of a file. `file` is its name in
// messages.
tl::expected<Settings, SettingsProblems> ParseSettings(const std::string& file,
                                                       const std::string& text);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SETTINGS_LOAD_H_
