#include "core/chain/chain_control.h"

#include <algorithm>
#include <chrono>

#include "core/base/hash_func.h"

namespace dogwoodrail::core::chain {
namespace {

constexpr base::Duration kFadeInterval = std::chrono::seconds(1);

}  // namespace

ServiceHash HashOfService(const base::ServiceName& service) {
  const std::uint64_t hash = base::StableHash(service.value());
  return ServiceHash(static_cast<std::uint32_t>(hash | 1U));
}

ChainControl::ChainControl(const ChainSettings& settings, std::uint64_t seed)
    : settings_(settings), load_(settings), gate_(seed) {}

void ChainControl::OnLoad(const base::ServiceName& service,
                          const LoadSample& sample, base::TimePoint now) {
  own_mark_ = HashOfService(service);
  load_.OnSample(sample, now);
}

// Each service of the chain has to follow; the tightest gives its name.
Backpressure ChainControl::BackpressureOf(const base::RouteName& route,
                                          base::TimePoint now) const {
  Backpressure result;
  double least = 1.0;
  const auto take = [&](ServiceHash mark, const AdmittedShares& shares) {
    for (std::size_t it = 0; it < shares.size(); ++it) {
      if (shares[it] < least) {
        least = shares[it];
        result.bottleneck = mark;
      }
      result.admit[it] = std::min(result.admit[it], shares[it]);
    }
  };
  take(own_mark_, load_.admit());
  graph_.ForEachCalled([&](const base::RouteName& called) {
    if (!graph_.Calls(route, called)) return;
    const Backpressure further = pressures_.Find(called, now);
    take(further.bottleneck, further.admit);
  });
  return result;
}

GateDecision ChainControl::Decide(const GateRequest& request,
                                  base::TimePoint now) {
  if (!settings_.enabled) return {};
  return gate_.Decide(request, pressures_.Find(request.route, now));
}

void ChainControl::Tick(base::TimePoint now) {
  if (now - faded_at_ < kFadeInterval) return;
  faded_at_ = now;
  graph_.Fade();
}

}  // namespace dogwoodrail::core::chain
