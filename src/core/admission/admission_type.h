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

// Share of one client account relative to the default of 1.
struct AccountWeight {
  base::AccountName account;
  double weight = 1.0;
};

// Bounds and pace of the learned concurrency limit.
struct LimitSettings {
  // False: the limit stays at the slots that the backend server reports, or at
  // max_limit if it reports none.
  bool learn = true;
  // Part of the reported slots that is used: a server that is nearly full may
  // turn slow.
  double slot_share = 1.0;
  double initial_limit = 8;
  double min_limit = 2;
  double max_limit = 1000;
  // Time between two checks of the best latency at a lowered limit.
  base::Duration probe_interval = std::chrono::seconds(10);
};

// Settings of the admission control of one backend server.
struct AdmissionSettings {
  LimitSettings limit;
  // Queued requests in total, and the expected wait above which a request is
  // not queued. The waits are those of lookups and double with each importance.
  std::size_t max_queued = 1024;
  base::Duration max_wait = std::chrono::milliseconds(250);
  // An account whose queue was never empty for standing_interval has requests
  // refused that waited longer than standing_wait.
  base::Duration standing_interval = std::chrono::milliseconds(200);
  base::Duration standing_wait = std::chrono::milliseconds(100);
  // Relative weights of the two goals. More weight for the worst-served account
  // holds an account sooner that has more calls in flight than its share.
  double worst_account_weight = 1.0;
  double goodput_weight = 1.0;
  // Each can be switched off to measure what it contributes.
  bool use_importance = true;
  bool use_fairness = true;
  bool use_deadlines = true;
  std::vector<AccountWeight> account_weights;
};

// A call that asks to be executed by the backend server.
struct AdmissionRequest {
  base::CallId call;
  base::AccountName account;
  base::Importance importance = base::Importance::kLookup;
  bool nested = false;  // made by a request that runs elsewhere in the chain
  base::TimePoint deadline;
  // Calls that it stands for in the demand: itself and its like that were held
  // back; 0 if another backend server has counted it.
  double demand_weight = 1.0;
  // Longest wait; that of the settings if not given.
  std::optional<base::Duration> max_wait = std::nullopt;
};

// What becomes of an offered call.
enum class AdmissionResult : std::uint8_t {
  kRun,
  kQueued,   // an action with this call id follows
  kRefused,  // certainly not run
};

// What the node has to do with a call that was queued.
struct AdmissionAction {
  enum class Kind : std::uint8_t { kRun, kRefuse };

  base::CallId call;
  Kind kind = Kind::kRun;
  base::Reason reason = base::Reason::kNone;  // of a refusal
  base::Duration retry_after{0};
};

using AdmissionActions = std::vector<AdmissionAction>;

// Answer to an offer.
struct AdmissionDecision {
  AdmissionResult result = AdmissionResult::kRefused;
  base::Reason reason = base::Reason::kNone;
  base::Duration retry_after{0};
  AdmissionActions actions;  // for other calls, e.g. evicted ones
};

// How an execution ended, as the admission control needs it.
enum class ExecutionResult : std::uint8_t {
  kOk,
  kFailed,
  kShedByBackend,  // refused by the backend server before any work
  kCancelled,      // stopped by the caller or by the deadline
};

// End of an execution.
struct ExecutionOutcome {
  base::Duration latency{0};
  ExecutionResult result = ExecutionResult::kOk;
  // Latency less the time in calls to further services; that of the whole
  // execution if not told.
  std::optional<base::Duration> own_latency = std::nullopt;
};

// State for the operator, and the load hint for entry nodes.
struct AdmissionSnapshot {
  base::BackendServerState state = base::BackendServerState::kStarting;
  std::size_t limit = 0;
  std::size_t in_flight = 0;
  std::size_t queued = 0;
  std::array<std::size_t, base::kImportanceCount> queued_by_importance{};
  base::Duration best_latency{0};
  base::Duration service_time{0};
  // Weights of first offers, by importance.
  std::array<double, base::kImportanceCount> offered{};
  // Calls refused here that another backend server had refused before.
  std::uint64_t repeat_refusals = 0;
  std::uint64_t started = 0;
  std::uint64_t finished = 0;
  std::array<std::uint64_t, static_cast<std::size_t>(base::Reason::kCount)>
      refused_by_reason{};
  std::array<std::uint64_t, base::kImportanceCount> refused_by_importance{};
};

}  // namespace dogwoodrail::core::admission

#endif  // DOGWOODRAIL_CORE_ADMISSION_ADMISSION_TYPE_H_
