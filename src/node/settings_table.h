#ifndef DOGWOODRAIL_NODE_SETTINGS_TABLE_H_
#define DOGWOODRAIL_NODE_SETTINGS_TABLE_H_

#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/base/error_type.h"
#include "core/reload/reload_type.h"
#include "node/settings_type.h"

namespace dogwoodrail::node {

// Returns a reference to the member of Settings that a row sets.
template <typename T>
using SettingAccess = std::function<T&(Settings&)>;

// A duration with a unit.
struct TimeSetting {
  std::function<core::base::Duration(const Settings&)> get;
  std::function<void(Settings&, core::base::Duration)> set;
  core::base::Duration min;
  core::base::Duration max;
};

// An unsigned integer.
struct CountSetting {
  std::function<std::uint64_t(const Settings&)> get;
  std::function<void(Settings&, std::uint64_t)> set;
  std::uint64_t min;
  std::uint64_t max;
};

// A floating-point number.
struct NumberSetting {
  SettingAccess<double> access;
  double min;
  double max;
};

// true or false.
struct FlagSetting {
  SettingAccess<bool> access;
};

// An IP address and port; no host names.
struct EndpointSetting {
  SettingAccess<std::string> access;
};

// A comma-separated list of node addresses.
struct EndpointListSetting {
  SettingAccess<std::vector<core::base::NodeAddress>> access;
};

// A name of a-z, 0-9, '_', '-' and '.'.
struct NameSetting {
  std::function<std::string(const Settings&)> get;
  std::function<void(Settings&, std::string)> set;
};

// One of a fixed set of words.
struct ChoiceSetting {
  SettingAccess<std::string> access;
  std::vector<std::string> choices;
};

// A comma-separated list of words from a fixed set.
struct ChoiceListSetting {
  SettingAccess<std::vector<std::string>> access;
  std::vector<std::string> choices;
};

// Any text.
struct TextSetting {
  SettingAccess<std::string> access;
};

using SettingKind =
    std::variant<TimeSetting, CountSetting, NumberSetting, FlagSetting,
                 EndpointSetting, EndpointListSetting, NameSetting,
                 ChoiceSetting, ChoiceListSetting, TextSetting>;

// One setting: its section and key, its type and range, and its description.
struct SettingRow {
  const char* section;
  const char* key;
  bool required;
  core::reload::SettingEffect effect;  // of a change while the node runs
  SettingKind kind;
  const char* text;
};

// Returns the table of all settings.
const std::vector<SettingRow>& SettingTable();

// Returns the row of a setting, or nullptr if there is none.
const SettingRow* FindSetting(std::string_view section, std::string_view key);

// Parses the value and stores it in the settings; an error if it is invalid.
core::base::Result<void> ApplySetting(const SettingRow& row,
                                      const std::string& value,
                                      Settings& settings);

// True if both have the same value of the setting.
bool IsSettingEqual(const SettingRow& row, const Settings& a,
                    const Settings& b);

// Copies the value of the setting.
void CopySetting(const SettingRow& row, const Settings& from, Settings& to);

// Returns the name of a setting, "section.key".
std::string SettingName(const SettingRow& row);

// Returns the settings whose values differ.
std::vector<core::reload::SettingChange> FindChanges(const Settings& old,
                                                     const Settings& now);

// Returns the old settings with the named ones replaced by their new values.
Settings WithSettings(const Settings& old, const Settings& now,
                      const std::vector<std::string>& names);

// Formats the current value as in a settings file.
std::string FormatSetting(const SettingRow& row, const Settings& settings);

// Describes the allowed values, for error messages and docs/SETTINGS.md.
std::string AllowedValues(const SettingRow& row);

// Generates the contents of docs/SETTINGS.md.
std::string SettingsMarkdown();

// Parse and format a duration with its unit: "250us", "250ms", "3s", "5min".
core::base::Result<core::base::Duration> ParseTime(const std::string& text);
std::string FormatTime(core::base::Duration time);

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_SETTINGS_TABLE_H_
