#ifndef DOGWOODRAIL_NODE_SETTINGS_FILE_H_
#define DOGWOODRAIL_NODE_SETTINGS_FILE_H_

#include <string>

#include "core/base/error_type.h"
#include "core/reload/reload_type.h"

namespace dogwoodrail::node {

// Returns the status of a file.
core::reload::FileVersion ReadFileVersion(const std::string& file);

// Reads a settings file; an error if it is not a regular file, is too large or
// cannot be read.
core::base::Result<std::string> ReadSettingsFile(const std::string& file);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SETTINGS_FILE_H_
