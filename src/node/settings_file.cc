#include "node/settings_file.h"

#include <sys/stat.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <sstream>
#include <system_error>

namespace dogwoodrail::node {
namespace {

using core::base::ErrorCode;
using core::base::MakeError;

constexpr std::int64_t kMaxFileBytes = std::int64_t{1024} * 1024;

std::int64_t ToNanoseconds(const timespec& time) {
  return std::chrono::nanoseconds(std::chrono::seconds(time.tv_sec)).count() +
         time.tv_nsec;
}

}  // namespace

core::reload::FileVersion ReadFileVersion(const std::string& file) {
  core::reload::FileVersion version;
  struct stat status {};
  if (::stat(file.c_str(), &status) != 0) return version;
  version.exists = true;
  version.inode = status.st_ino;
  version.bytes = static_cast<std::uint64_t>(status.st_size);
  version.modified_ns = ToNanoseconds(status.st_mtim);
  return version;
}

// The event loop must not be blocked, as it would be by opening a pipe.
core::base::Result<std::string> ReadSettingsFile(const std::string& file) {
  struct stat status {};
  if (::stat(file.c_str(), &status) != 0) {
    return MakeError(
        ErrorCode::kNotFound,
        file + ": cannot be read: " + std::generic_category().message(errno));
  }
  if (!S_ISREG(status.st_mode) || status.st_size > kMaxFileBytes) {
    return MakeError(ErrorCode::kInvalidArgument,
                     file + ": not a regular file of at most 1 MiB");
  }
  std::ifstream in(file);
  std::ostringstream text;
  // An empty file sets the fail bit of the stream that it is copied to.
  if (in && status.st_size > 0) text << in.rdbuf();
  if (!in || !text) {
    return MakeError(ErrorCode::kNotFound, file + ": cannot be read");
  }
  return text.str();
}

}  // namespace dogwoodrail::node
