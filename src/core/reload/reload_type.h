#ifndef DOGWOODRAIL_CORE_RELOAD_RELOAD_TYPE_H_
#define DOGWOODRAIL_CORE_RELOAD_RELOAD_TYPE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dogwoodrail::core::reload {

// When a changed setting takes effect.
enum class SettingEffect : std::uint8_t {
  kWhileRunning,
  kNextStart,
};

// Why the settings file is loaded.
enum class ReloadCause : std::uint8_t {
  kSignal,       // the process was told that the file has changed
  kFileChanged,  // the status of the file differs from that of the last load
};

// Status of the settings file, from which a change is recognized.
struct FileVersion {
  bool exists = false;
  std::uint64_t inode = 0;
  std::uint64_t bytes = 0;
  std::int64_t modified_ns = 0;  // time of the last modification

  bool operator==(const FileVersion& other) const {
    return exists == other.exists && inode == other.inode &&
           bytes == other.bytes && modified_ns == other.modified_ns;
  }
};

// A setting whose value in the file differs from the one in use.
struct SettingChange {
  std::string name;  // "section.key"
  SettingEffect effect;
};

// Result of loading the file.
struct LoadedFile {
  std::string text;
  std::vector<std::string> problems;   // empty if the file is valid
  std::vector<SettingChange> changes;  // empty if the file is invalid
};

// What becomes of a loaded file.
enum class ReloadOutcome : std::uint8_t {
  kUnchanged,
  kReloaded,
  kRefused,
};

// Decision on a loaded file.
struct ReloadDecision {
  ReloadOutcome outcome = ReloadOutcome::kUnchanged;
  bool is_logged = true;                   // at the normal log level
  std::vector<std::string> applied;        // settings to apply now
  std::vector<std::string> needs_restart;  // settings that keep their value
};

// Outcomes by which loads are counted.
enum class ReloadCount : std::uint8_t {
  kApplied,       // all changes are in force
  kNeedsRestart,  // some changes take effect at the next start
  kUnchanged,
  kRefused,
};
constexpr std::size_t kReloadCounts = 4;

// Returns the outcome by which a load is counted.
ReloadCount CountOf(const ReloadDecision& decision);

// Returns the name of the outcome on the metrics page.
std::string_view ReloadCountText(ReloadCount count);

}  // namespace dogwoodrail::core::reload

#endif  // DOGWOODRAIL_CORE_RELOAD_RELOAD_TYPE_H_
