#ifndef DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_
#define DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_

#include <array>
#include <cstdint>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::chain {

// Hash of a service name, as carried by answers; 0 means no service.
using ServiceHash = base::StrongNumber<struct ServiceHashTag, std::uint32_t>;

// Share of the requests of each importance that may be admitted, indexed by the
// value of base::Importance.
using AdmittedShares = std::array<double, base::kImportanceCount>;

constexpr AdmittedShares kAllAdmitted = {1.0, 1.0, 1.0, 1.0};

// Share of the demand that the services downstream of a request can handle.
// Answers carry it back to the entry of the chain.
struct Backpressure {
  ServiceHash bottleneck;  // the service with the lowest share
  AdmittedShares admit = kAllAdmitted;

  // Returns true if no request has to be refused.
  bool AdmitsAll() const { return bottleneck == ServiceHash(); }
};

// Properties that calls inherit from the request at the entry of their chain.
struct ChainOrigin {
  base::Importance importance = base::Importance::kLookup;
  // Share of the requests of its importance that was being admitted.
  double entry_share = 1.0;
};

// Settings of the overload control of call chains.
struct ChainSettings {
  bool enabled = false;
  // Interval between two control steps.
  base::Duration step = std::chrono::milliseconds(100);
  // Time constant of the moving averages.
  base::Duration memory = std::chrono::milliseconds(700);
  // Time within which a standing queue should be drained.
  base::Duration drain_time = std::chrono::milliseconds(500);
  // Target utilization of the capacity under overload.
  double utilization = 0.95;
  // Minimum share of each importance, as a fraction of the common share;
  // prevents starvation.
  double min_share = 0.3;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_
