#ifndef DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_
#define DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_

#include <array>
#include <cstdint>

#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::chain {

// Short name of a service in answers: a hash, 0 for none.
using ServiceHash = base::StrongNumber<struct ServiceHashTag, std::uint32_t>;

// Share of each importance that may go on, by its number.
using AdmittedShares = std::array<double, base::kImportanceCount>;

constexpr AdmittedShares kAllAdmitted = {1.0, 1.0, 1.0, 1.0};

// How far the services that a request leads to can follow the demand. Carried
// by answers, so that it reaches the entry of the chain.
struct Backpressure {
  ServiceHash bottleneck;  // the tightest of them
  AdmittedShares admit = kAllAdmitted;

  // True if nothing has to be held back.
  bool AdmitsAll() const { return bottleneck == ServiceHash(); }
};

// What calls inherit from the request at the entry of their chain.
struct ChainOrigin {
  base::Importance importance = base::Importance::kLookup;
  // Share of such requests that was let in with it.
  double entry_share = 1.0;
};

// Settings of the control of whole chains.
struct ChainSettings {
  bool enabled = false;
  // Time between two steps of the control.
  base::Duration step = std::chrono::milliseconds(100);
  // Time over which rates are averaged.
  base::Duration memory = std::chrono::milliseconds(700);
  // Time in which a standing queue is to be worked off.
  base::Duration drain_time = std::chrono::milliseconds(500);
  // Part of the capacity that is used under overload.
  double utilization = 0.95;
  // Part of the common share that each importance gets at least, so that none
  // starves.
  double min_share = 0.3;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_
