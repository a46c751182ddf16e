#ifndef DOGWOODRAIL_CORE_ADMISSION_ADMISSION_TYPE_H_
#define DOGWOODRAIL_CORE_ADMISSION_ADMISSION_TYPE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/base/backend_server_type.h"
#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::admission {

// Fair-share weight of one client account; the default is 1.
struct AccountWeight {
  base::AccountName account;
  double weight = 1.0;
};

// Settings of the adaptive concurrency limit.
struct LimitSettings {
  // If false, the limit is the number of slots that the backend server reports,
  // or max_limit if it reports none.
  bool learn = true;
  // Fraction of the reported slots that is used. A value below 1 avoids the
  // slowdown that a server may show when nearly full.
  double slot_share = 1.0;
  double initial_limit = 8;
  double min_limit = 2;
  double max_limit = 1000;
  // Maximum time between two probes, which lower the limit to measure the
  // baseline latency again.
  base::Duration probe_interval = std::chrono::seconds(10);
};

// Settings of the admission control of one backend server.
struct AdmissionSettings {
  LimitSettings limit;
  // Maximum number of queued requests, and the expected wait above which a
  // request is not queued. Both waits below apply to lookups and double with
  // each level of importance.
  std::size_t max_queued = 1024;
  base::Duration max_wait = std::chrono::milliseconds(250);
  // If an account's queue has not been empty for standing_interval, its
  // requests that have waited longer than standing_wait are refused (as in
  // CoDel).
  base::Duration standing_interval = std::chrono::milliseconds(200);
  base::Duration standing_wait = std::chrono::milliseconds(100);
  // Relative weights of the two goals: service of the worst-served account and
  // total goodput. A higher worst_account_weight lowers the excess over its
  // fair share at which an account yields to others.
  double worst_account_weight = 1.0;
  double goodput_weight = 1.0;
  // Each mechanism can be disabled to measure its effect.
  bool use_importance = true;
  bool use_fairness = true;
  bool use_deadlines = true;
  std::vector<AccountWeight> account_weights;
};

// A call offered for execution by the backend server.
struct AdmissionRequest {
  base::CallId call;
  base::AccountName account;
  base::Importance importance = base::Importance::kLookup;
  // True if a backend server made the call while it executed another request.
  bool nested = false;
  base::TimePoint deadline;
  // Number of calls that this one counts for in the measured demand: itself and
  // those that upstream throttling did not send; 0 if another backend server
  // has already counted it.
  double demand_weight = 1.0;
  // Maximum wait in the queue; derived from the settings if not given.
  std::optional<base::Duration> max_wait = std::nullopt;
};

// Result of offering a call.
enum class AdmissionResult : std::uint8_t {
  kRun,
  kQueued,   // an action for this call follows
  kRefused,  // not executed
};

// What the node has to do with a queued call.
struct AdmissionAction {
  enum class Kind : std::uint8_t { kRun, kRefuse };

  base::CallId call;
  Kind kind = Kind::kRun;
  base::Reason reason = base::Reason::kNone;  // for kRefuse
  base::Duration retry_after{0};
};

using AdmissionActions = std::vector<AdmissionAction>;

// Decision on an offered call.
struct AdmissionDecision {
  AdmissionResult result = AdmissionResult::kRefused;
  base::Reason reason = base::Reason::kNone;
  base::Duration retry_after{0};
  AdmissionActions actions;  // for other calls, such as evicted ones
};

// How an execution ended, as far as admission control distinguishes it.
enum class ExecutionResult : std::uint8_t {
  kOk,
  kFailed,
  kShedByBackend,  // refused by the backend server before it did any work
  kCancelled,      // by the caller or by the deadline
};

// Result of a finished execution.
struct ExecutionOutcome {
  base::Duration latency{0};
  ExecutionResult result = ExecutionResult::kOk;
  // Latency without the time spent in calls to downstream services; the full
  // latency is used if not given.
  std::optional<base::Duration> own_latency = std::nullopt;
};

// State shown to operators and used for the load hint to entry nodes.
struct AdmissionSnapshot {
  base::BackendServerState state = base::BackendServerState::kStarting;
  std::size_t limit = 0;
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::array<std::size_t, base::kImportanceCount> queued_by_importance{};
  base::Duration best_latency{0};
  base::Duration service_time{0};
  // Sum of demand_weight of the offered calls, by importance.
  std::array<double, base::kImportanceCount> offered{};
  // Calls refused here that another backend server had already refused.
  std::uint64_t repeat_refusals = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(base::Reason::kCount)>
      refused_by_reason{};
  std::array<std::uint64_t, base::kImportanceCount> refused_by_importance{};
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_ADMISSION_TYPE_H_
