#include "node/settings_load.h"

#include <cerrno>
#include <fstream>
#include <map>
#include <sstream>
#include <system_error>
#include <utility>

#include "node/ini_reader.h"
#include "node/settings_table.h"
#include "wire/address_func.h"

namespace dogwoodrail::node {
namespace {

using core::base::Duration;

// Parses one settings file and collects all problems found in it.
class Loader {
 public:
  explicit Loader(std::string file) : file_name_(std::move(file)) {}

  Settings settings;
  SettingsProblems problems;

  // Adds a problem that has no line number.
  void AddFileProblem(const std::string& why) {
    problems.lines.push_back(file_name_ + ":" + why);
  }

  void Apply(const IniEntry& entry) {
    const SettingRow* row = FindSetting(entry.section, entry.key);
    if (row == nullptr) {
      AddProblem(entry, UnknownEntryText(entry));
      return;
    }
    const auto [first, is_new] = first_lines_.emplace(row, entry.line);
    if (!is_new) {
      AddProblem(entry, "duplicate key, first set in line " +
                            std::to_string(first->second));
      return;
    }
    const auto result = ApplySetting(*row, entry.value, settings);
    if (result) return;
    AddProblem(entry, "invalid value '" + entry.value + "', " +
                          result.error().detail +
                          "; allowed: " + AllowedValues(*row));
  }

  void CheckRequired() {
    for (const SettingRow& it : SettingTable()) {
      if (!it.required || first_lines_.count(&it) != 0) continue;
      AddFileProblem(" [" + std::string(it.section) + "] " + it.key +
                     ": missing; allowed: " + AllowedValues(it));
    }
  }

  // Checks rules that involve more than one setting.
  void CheckConsistency() {
    const auto& node = settings.identity;
    CheckDifferent("caller", node.caller_address, "peer", node.peer_address);
    CheckDifferent("caller", node.caller_address, "operator",
                   node.operator_address);
    CheckDifferent("peer", node.peer_address, "operator",
                   node.operator_address);
    const auto peer = wire::ParseIpPort(node.peer_address);
    if (peer && (peer->ip == "0.0.0.0" || peer->ip == "::")) {
      AddFileProblem(
          " [node] peer: must be an address that other nodes can reach");
    }
    const auto& limit = settings.admission.limit;
    CheckOrder("admission", "min_limit", limit.min_limit, "initial_limit",
               limit.initial_limit);
    CheckOrder("admission", "initial_limit", limit.initial_limit, "max_limit",
               limit.max_limit);
    CheckOrder("route", "eject_time", settings.route.eject_time,
               "max_eject_time", settings.route.max_eject_time);
    CheckOrder("peers", "suspicion_min", settings.member.suspicion_min,
               "suspicion_max", settings.member.suspicion_max);
    CheckOrder("retry", "backoff_base", settings.retry.backoff_base,
               "backoff_cap", settings.retry.backoff_cap);
    CheckOrder("link", "ping_interval", settings.links.ping_interval,
               "silence_timeout", settings.links.silence_timeout);
    const auto& shard = settings.shard;
    CheckOrder("shard", "renew_interval", shard.renew_interval, "pair_lease",
               shard.pair_lease);
    CheckOrder("shard", "pair_lease", shard.pair_lease, "record_lease",
               shard.record_lease);
    const auto& stop = settings.shutdown.steps;
    CheckOrder("shutdown", "idle_grace", stop.idle_grace, "deadline",
               stop.deadline);
    CheckOrder("shutdown", "leave_after", stop.leave_after, "deadline",
               stop.deadline);
    if (settings.host.adapter != "own") {
      CheckPlatformHost();
    } else if (!settings.features.shards) {
      AddFileProblem(
          " [features] shards: false is allowed only with [host] adapter = "
          "platform, whose directory tells how many nodes share the rates");
    }
  }

 private:
  void AddProblem(const IniEntry& entry, const std::string& why) {
    problems.lines.push_back(file_name_ + ":" + std::to_string(entry.line) +
                             ": [" + entry.section + "] " + entry.key + ": " +
                             why);
  }

  static std::string UnknownEntryText(const IniEntry& entry) {
    std::string keys;
    std::string sections;
    for (const SettingRow& it : SettingTable()) {
      if (entry.section == it.section) keys += std::string(" ") + it.key;
      const std::string name = std::string(" [") + it.section + "]";
      if (sections.find(name) == std::string::npos) sections += name;
    }
    if (!keys.empty()) return "unknown key; allowed:" + keys;
    return "unknown section; allowed:" + sections;
  }

  // Checks that the settings that adapter "platform" requires are present.
  void CheckPlatformHost() {
    const auto& host = settings.host;
    CheckPresent("name", host.name.value());
    CheckPresent("service", host.service.value());
    CheckPresent("backend", host.backend_address);
    CheckPresent("ready", host.ready_address);
    CheckPresent("control", host.control_address);
  }

  void CheckPresent(const char* key, const std::string& value) {
    if (!value.empty()) return;
    AddFileProblem(" [host] " + std::string(key) + ": missing; allowed: " +
                   AllowedValues(*FindSetting("host", key)));
  }

  void CheckDifferent(const char* key_a, const std::string& a,
                      const char* key_b, const std::string& b) {
    if (a.empty() || a != b) return;
    AddFileProblem(" [node] " + std::string(key_b) + ": must differ from " +
                   key_a);
  }

  static std::string FormatValue(Duration time) { return FormatTime(time); }
  static std::string FormatValue(double n) {
    std::ostringstream out;
    out << n;
    return out.str();
  }

  template <typename T>
  void CheckOrder(const char* section, const char* low_key, T low,
                  const char* high_key, T high) {
    if (!(high < low)) return;
    AddFileProblem(" [" + std::string(section) + "] " + low_key + ": " +
                   FormatValue(low) + " is greater than " + high_key + ", " +
                   FormatValue(high));
  }

  std::string file_name_;
  std::map<const SettingRow*, int> first_lines_;
};

}  // namespace

tl::expected<Settings, SettingsProblems> ParseSettings(
    const std::string& file, const std::string& text) {
  Loader loader(file);
  const auto entries = ReadIni(text);
  if (!entries) {
    loader.AddFileProblem(entries.error().detail);
    return tl::make_unexpected(std::move(loader.problems));
  }
  for (const IniEntry& it : *entries) loader.Apply(it);
  loader.CheckRequired();
  loader.CheckConsistency();
  if (!loader.problems.lines.empty()) {
    return tl::make_unexpected(std::move(loader.problems));
  }
  loader.settings.route.own_zone = loader.settings.identity.zone;
  return std::move(loader.settings);
}

tl::expected<Settings, SettingsProblems> LoadSettings(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  if (in) text << in.rdbuf();
  if (!in) {
    const std::string why = std::generic_category().message(errno);
    return tl::make_unexpected(
        SettingsProblems{{file + ": cannot be read: " + why}});
  }
  return ParseSettings(file, text.str());
}

}  // namespace dogwoodrail::node
