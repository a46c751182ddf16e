#include "core/base/event_table.h"

#include <algorithm>

namespace dogwoodrail::core::base {
namespace {

constexpr std::uint16_t kNumbersPerCategory = 100;

}  // namespace

const std::vector<EventSpec>& EventTable() {
  // clang-format off
  static const std::vector<EventSpec> table = {
      {EventNumber::kRequestReceived, "request_received", EventLevel::kDebug, "a caller's request came in and was assigned its id"},
      {EventNumber::kRequestRefused, "request_refused", EventLevel::kDebug, "a request was refused; reason and whether it ran are in the detail"},
      {EventNumber::kAttemptSent, "attempt_sent", EventLevel::kDebug, "an attempt was sent to a serving node"},
      {EventNumber::kAttemptAnswered, "attempt_answered", EventLevel::kDebug, "an attempt was answered"},
      {EventNumber::kAttemptLost, "attempt_lost", EventLevel::kInfo, "an attempt ended without a whole answer"},
      {EventNumber::kRequestAnswered, "request_answered", EventLevel::kDebug, "the caller was answered"},
      {EventNumber::kRequestCancelled, "request_cancelled", EventLevel::kDebug, "the caller went away before the answer"},
      {EventNumber::kLateAnswerDropped, "late_answer_dropped", EventLevel::kInfo, "an answer came after its call had ended and was dropped"},
      {EventNumber::kRequestUnanswered, "request_unanswered", EventLevel::kWarning, "a request was read whole and its connection ended without a final answer; the cause is in the detail"},
      {EventNumber::kExecutionStarted, "execution_started", EventLevel::kDebug, "the backend server was given a request"},
      {EventNumber::kExecutionFinished, "execution_finished", EventLevel::kDebug, "the backend server ended a request"},
      {EventNumber::kExecutionRefused, "execution_refused", EventLevel::kDebug, "the serving node refused a request before it ran"},
      {EventNumber::kLimitChanged, "limit_changed", EventLevel::kDebug, "the concurrency limit of a backend server changed"},
      {EventNumber::kAdmittedShareChanged, "admitted_share_changed", EventLevel::kInfo, "the share of the demand that the backend server can follow changed"},
      {EventNumber::kRateGrantorChanged, "rate_grantor_changed", EventLevel::kInfo, "another node grants an account's rate"},
      {EventNumber::kRateGrantDropped, "rate_grant_dropped", EventLevel::kInfo, "a grant of rate came too late or from a past epoch and was dropped"},
      {EventNumber::kShardTaken, "shard_taken", EventLevel::kInfo, "this node became the primary of a shard"},
      {EventNumber::kShardLost, "shard_lost", EventLevel::kWarning, "this node is no longer the primary of a shard"},
      {EventNumber::kClaimRefused, "claim_refused", EventLevel::kInfo, "a once-only claim was refused"},
      {EventNumber::kMemberJoined, "member_joined", EventLevel::kInfo, "a node joined"},
      {EventNumber::kMemberSuspected, "member_suspected", EventLevel::kInfo, "a node is suspected to have failed"},
      {EventNumber::kMemberLeft, "member_left", EventLevel::kInfo, "a node left or failed"},
      {EventNumber::kBackendServerAnnounced, "backend_server_announced", EventLevel::kInfo, "a backend server announced itself or a new state"},
      {EventNumber::kBackendServerLeaving, "backend_server_leaving", EventLevel::kInfo, "a backend server is draining and gets no new work"},
      {EventNumber::kBackendServerLost, "backend_server_lost", EventLevel::kWarning, "the announcement of a backend server lapsed"},
      {EventNumber::kHeartbeatIgnored, "heartbeat_ignored", EventLevel::kInfo, "a heartbeat was outdated, of another backend server, or could not be read"},
      {EventNumber::kBackendServerLeft, "backend_server_left", EventLevel::kInfo, "a process announced its shutdown; its id and start time, those of the process that was known beside this node, and whether that gets no new work are in the detail"},
      {EventNumber::kConfigurationInForce, "configuration_in_force", EventLevel::kInfo, "the configuration of a ticket is in force on this node"},
      {EventNumber::kConfigurationRefused, "configuration_refused", EventLevel::kError, "a configuration could not be read, or the store holds one that is older than the one in force, which is kept"},
      {EventNumber::kPlatformLost, "platform_lost", EventLevel::kWarning, "the Object API does not answer"},
      {EventNumber::kPlatformRestored, "platform_restored", EventLevel::kInfo, "the Object API answers again"},
      {EventNumber::kConfigurationStale, "configuration_stale", EventLevel::kWarning, "neither the Object API nor another node confirms the configuration"},
      {EventNumber::kObjectSkipped, "object_skipped", EventLevel::kWarning, "an object of the store could not be decoded and is not used; its kind and name are in the detail"},
      {EventNumber::kStoreEraChanged, "store_era_changed", EventLevel::kWarning, "the store came back from an older copy and may have lost changes that it had acknowledged; the eras are in the detail"},
      {EventNumber::kConfigurationRead, "configuration_read", EventLevel::kInfo, "the store answered a read, or a watch other than with no change; what was asked, the answer's era and revision, the number read and the one in force are in the detail"},
      {EventNumber::kConfigurationCompared, "configuration_compared", EventLevel::kInfo, "the first configuration of this process has been compared with those of other nodes, or the time for that is over; the node may be ready from now on"},
      {EventNumber::kDirectoryEntryRewritten, "directory_entry_rewritten", EventLevel::kInfo, "the store had lost this node's entry, or had an older one, after it came back from an older copy; the entry is there again, and what was found is in the detail"},
      {EventNumber::kPoisonSuspected, "poison_suspected", EventLevel::kWarning, "a backend server ended with requests in flight; their fingerprints are in the detail"},
      {EventNumber::kPoisonStopped, "poison_stopped", EventLevel::kWarning, "a request that crashes backend servers is refused from now on; the crashes that count against it are in the detail"},
      {EventNumber::kPoisonReleased, "poison_released", EventLevel::kInfo, "a request is no longer refused: it has completed, or the crashes are too old"},
      {EventNumber::kPoisonRestored, "poison_restored", EventLevel::kInfo, "the crashes that the store keeps have been read, or the time for that is over; how many are new here, and how long executions waited, are in the detail"},
      {EventNumber::kPoisonStored, "poison_stored", EventLevel::kInfo, "the store keeps the crashes that this node has observed; their number is in the detail"},
      {EventNumber::kLinkOpened, "link_opened", EventLevel::kDebug, "a connection to another node was opened"},
      {EventNumber::kLinkClosed, "link_closed", EventLevel::kInfo, "a connection to another node was closed"},
      {EventNumber::kFrameRefused, "frame_refused", EventLevel::kWarning, "a frame was malformed or of an unknown version; its connection is closed"},
      {EventNumber::kCallerClosed, "caller_closed", EventLevel::kDebug, "a caller's connection ended and no answer was owed; with abandoned=1, the caller left before its answer"},
      {EventNumber::kNodeStarted, "node_started", EventLevel::kInfo, "the node listens"},
      {EventNumber::kNodeStopping, "node_stopping", EventLevel::kInfo, "graceful shutdown began; its cause is in the detail"},
      {EventNumber::kNodeStopped, "node_stopped", EventLevel::kInfo, "the node ends; the cause and what is still owed are in the detail"},
      {EventNumber::kSignalReceived, "signal_received", EventLevel::kInfo, "the process received a signal; its name and effect are in the detail"},
      {EventNumber::kSettingsReloaded, "settings_reloaded", EventLevel::kInfo, "the settings file changed; the settings applied and those that need a restart are in the detail"},
      {EventNumber::kSettingsRefused, "settings_refused", EventLevel::kError, "the settings file is invalid or missing; the settings in use are kept"},
      {EventNumber::kSettingsUnchanged, "settings_unchanged", EventLevel::kInfo, "SIGHUP was received and the settings file changes nothing"},
      {EventNumber::kSettingsChecked, "settings_checked", EventLevel::kDebug, "the settings file was written and changes nothing"},
      {EventNumber::kHandlerFailed, "handler_failed", EventLevel::kError, "an unforeseen exception ended one piece of work, named in the detail; the node runs on"},
  };
  // clang-format on
  return table;
}

const EventSpec* FindEvent(std::uint16_t number) {
  const auto& table = EventTable();
  const auto it =
      std::find_if(table.begin(), table.end(), [number](const EventSpec& row) {
        return static_cast<std::uint16_t>(row.number) == number;
      });
  return it == table.end() ? nullptr : &*it;
}

EventCategory GetEventCategory(EventNumber number) {
  return static_cast<EventCategory>(static_cast<std::uint16_t>(number) /
                                    kNumbersPerCategory);
}

std::string_view EventCategoryText(EventCategory category) {
  switch (category) {
    case EventCategory::kRequest:
      return "request";
    case EventCategory::kAdmission:
      return "admission";
    case EventCategory::kRate:
      return "rate";
    case EventCategory::kShard:
      return "shard";
    case EventCategory::kMember:
      return "member";
    case EventCategory::kConfig:
      return "config";
    case EventCategory::kPoison:
      return "poison";
    case EventCategory::kLink:
      return "link";
    case EventCategory::kProcess:
      return "process";
  }
  return "";
}

const std::vector<EventCategory>& EventCategories() {
  static const std::vector<EventCategory> categories = {
      EventCategory::kRequest, EventCategory::kAdmission,
      EventCategory::kRate,    EventCategory::kShard,
      EventCategory::kMember,  EventCategory::kConfig,
      EventCategory::kPoison,  EventCategory::kLink,
      EventCategory::kProcess,
  };
  return categories;
}

std::string_view EventLevelText(EventLevel level) {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarning:
      return "warning";
    case EventLevel::kError:
      return "error";
  }
  return "";
}

std::string EventsMarkdown() {
  std::string text =
      "# Events\n\n"
      "Every event is on the time line (`dogwoodrail timeline`). Events of "
      "level"
      " debug are\nlogged only if their category is named in the setting `[log]"
      " debug`.\n\n"
      "This page is written by `dogwoodrail events --markdown`.\n\n"
      "| Number | Name | Category | Level | Meaning |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const EventSpec& it : EventTable()) {
    text += "| " + std::to_string(static_cast<std::uint16_t>(it.number));
    text += " | " + std::string(it.name) + " | ";
    text += EventCategoryText(GetEventCategory(it.number));
    text += " | " + std::string(EventLevelText(it.level));
    text += " | " + std::string(it.text) + " |\n";
  }
  return text;
}

}  // namespace dogwoodrail::core::base
