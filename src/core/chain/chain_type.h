#ifndef DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_
#define DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_

#include <cstdint>

#include "core/base/id_type.h"
#include "core/base/time_type.h"

namespace dogwoodrail::core::chain {

// Short name of a service in answers: a hash, 0 for none.
using ServiceMark = base::StrongNumber<struct ServiceMarkTag, std::uint32_t>;

// How far the most loaded service that a request leads to can follow the
// demand. Carried by answers, so that it reaches the entry of the chain.
struct Pressure {
  ServiceMark bottleneck;
  // Share of the present demand that may go on; 1 without pressure.
  double admit = 1.0;
};

// Settings of the control of whole chains.
struct ChainSettings {
  bool enabled = false;
  // Time between two steps of the control.
  base::Duration step = std::chrono::milliseconds(100);
  // Largest reduction of the admitted share in one step.
  double max_cut = 0.15;
  // Reduction for each whole limit of calls beyond the target.
  double cut_gain = 0.3;
  // Growth of the admitted share in one step without excess.
  double growth = 0.02;
  // Least share of each importance that is let in, so that none starves.
  double min_share = 0.3;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_CHAIN_TYPE_H_
