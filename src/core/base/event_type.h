#ifndef DOGWOODRAIL_CORE_BASE_EVENT_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_EVENT_TYPE_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/base/id_type.h"

namespace dogwoodrail::core::base {

// Stable number of an event; the hundreds are its category. The properties of
// each event are in core/base/event_table.h.
enum class EventNumber : std::uint16_t {
  // 1xx requests
  kRequestReceived = 101,
  kRequestRefused = 102,
  kAttemptSent = 103,
  kAttemptAnswered = 104,
  kAttemptLost = 105,
  kRequestAnswered = 106,
  kRequestCancelled = 107,
  kLateAnswerDropped = 108,
  kRequestUnanswered = 109,
  // 2xx execution and admission at the serving node
  kExecutionStarted = 201,
  kExecutionFinished = 202,
  kExecutionRefused = 203,
  kLimitChanged = 204,
  kAdmittedShareChanged = 205,
  // 3xx rates
  kRateGrantorChanged = 301,
  kRateGrantDropped = 302,
  // 4xx shard ownership and once-only records
  kShardTaken = 401,
  kShardLost = 402,
  kClaimRefused = 403,
  // 5xx membership
  kMemberJoined = 501,
  kMemberSuspected = 502,
  kMemberLeft = 503,
  kBackendServerAnnounced = 504,
  kBackendServerLeaving = 505,
  kBackendServerLost = 506,
  kHeartbeatIgnored = 507,
  kBackendServerLeft = 508,
  // 6xx configuration and platform
  kConfigurationInForce = 601,
  kConfigurationRefused = 602,
  kPlatformLost = 603,
  kPlatformRestored = 604,
  kConfigurationStale = 605,
  kObjectSkipped = 606,
  kStoreEraChanged = 607,
  kConfigurationRead = 608,
  kConfigurationCompared = 609,
  kDirectoryEntryRewritten = 610,
  // 7xx poison requests
  kPoisonSuspected = 701,
  kPoisonStopped = 702,
  kPoisonReleased = 703,
  kPoisonRestored = 704,
  kPoisonStored = 705,
  // 8xx links between nodes and connections of callers
  kLinkOpened = 801,
  kLinkClosed = 802,
  kFrameRefused = 803,
  kCallerClosed = 804,
  // 9xx process
  kNodeStarted = 901,
  kNodeStopping = 902,
  kNodeStopped = 903,
  kSignalReceived = 910,
  kSettingsReloaded = 911,
  kSettingsRefused = 912,
  kSettingsUnchanged = 913,
  kSettingsChecked = 914,
  kHandlerFailed = 915,
};

// One event as reported by the core. The node adds wall time, address and
// sequence number.
struct Event {
  EventNumber number;
  RequestId request;    // empty if not related to a request
  AccountName account;  // empty if not related to an account
  std::string detail;   // "name=value" pairs; must not contain API keys
};

// Callback through which the core reports events.
using EventSink = std::function<void(Event)>;

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_EVENT_TYPE_H_
