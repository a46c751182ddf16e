#ifndef DOGWOODRAIL_CORE_BASE_REQUEST_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_REQUEST_TYPE_H_

#include <cstddef>
#include <cstdint>

namespace dogwoodrail::core::base {

// Importance of a request; set per route. Lower values are shed first.
enum class Importance : std::uint8_t {
  kLookup = 0,     // menu and lot lookups
  kTracking = 1,   // order status, delivery slots
  kOperation = 2,  // batch assignment
  kMoney = 3,      // wage releases, tray orders
};

constexpr std::size_t kImportanceCount = 4;

// Whether a request was executed by a backend server.
enum class Ran : std::uint8_t {
  kNotRun,   // certain not to have reached a backend server
  kUnknown,  // may have been executed
  kRan,      // executed, with a complete response
};

// Why a request was refused or failed; a stable code in responses, events and
// metrics. core/base/reason_table.h has the text and HTTP status of each.
enum class Reason : std::uint8_t {
  kNone,
  kBadRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kReservedHeader,
  kNoKey,
  kUnknownKey,
  kSeveralKeys,
  kUnknownRoute,
  kRouteNotAllowed,
  kNoConfiguration,
  kConfigurationStale,
  kRateExceeded,
  kRateUnavailable,
  kOverloaded,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kCancelled,
  kNoBackendServer,
  kBackendServerLeaving,
  kBackendServerFailed,
  kConnectionLost,
  kAttemptsExhausted,
  kPoisonRequest,
  kIdempotencyKeyMissing,
  kIdempotencyKeyInvalid,
  kDuplicateInProgress,
  kDuplicateOutcomeUnknown,
  kClaimUnavailable,
  kShuttingDown,
  kInternal,
  kChainOverloaded,
  kRequestTimeout,
  kMemoryExhausted,
  kCount,
};

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_REQUEST_TYPE_H_
