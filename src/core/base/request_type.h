#ifndef DOGWOODRAIL_CORE_BASE_REQUEST_TYPE_H_
#define DOGWOODRAIL_CORE_BASE_REQUEST_TYPE_H_

#include <cstddef>
#include <cstdint>

namespace dogwoodrail::core::base {

// How important a request is; set per route. Higher values are shed later.
enum class Importance : std::uint8_t {
  kLookup = 0,     // menu and lot lookups
  kTracking = 1,   // order status, delivery slots
  kOperation = 2,  // batch assignment
  kMoney = 3,      // wage releases, tray orders
};

constexpr std::size_t kImportanceCount = 4;

// Whether a request was executed by a backend server.
enum class Ran : std::uint8_t {
  kNotRun,   // certainly never reached a backend server
  kUnknown,  // it may have been executed
  kRan,      // executed, and its answer is whole
};

// Why a request was refused or failed; a stable code in answers, events and
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
  kCount,
};

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_REQUEST_TYPE_H_
