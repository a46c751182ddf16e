#include "core/chain/chain_control.h"

#include <algorithm>
#include <chrono>

#include "core/base/hash_func.h"

namespace dogwoodrail::core::chain {
namespace {

constexpr base::Duration kDecayInterval = std::chrono::seconds(1);

}  // namespace

ServiceHash HashOfService(const base::ServiceName& service) {
  const std::uint64_t hash = base::StableHash(service.value());
  return ServiceHash(static_cast<std::uint32_t>(hash | 1U));
}

ChainControl::ChainControl(const ChainSettings& settings, std::uint64_t seed)
    : settings_(settings), load_(settings), gate_(seed) {}

void ChainControl::OnLoad(const base::ServiceName& service,
                          const LoadSample& sample, base::TimePoint now) {
  own_service_ = HashOfService(service);
  load_.OnSample(sample, now);
}

// Every service of the chain has to keep up, so the lowest share counts; the
// service that sets it is reported as the bottleneck.
Backpressure ChainControl::BackpressureOf(const base::RouteName& route,
                                          base::TimePoint now) const {
  Backpressure result;
  double min_share = 1.0;
  const auto restrict_to = [&](ServiceHash service_hash,
                               const AdmittedShares& shares) {
    for (std::size_t it = 0; it < shares.size(); ++it) {
      if (shares[it] < min_share) {
        min_share = shares[it];
        result.bottleneck = service_hash;
      }
      result.admit[it] = std::min(result.admit[it], shares[it]);
    }
  };
  restrict_to(own_service_, load_.admit());
  graph_.ForEachCalled([&](const base::RouteName& called) {
    if (!graph_.Calls(route, called)) return;
    const Backpressure downstream = backpressures_.Find(called, now);
    restrict_to(downstream.bottleneck, downstream.admit);
  });
  return result;
}

EntryDecision ChainControl::Decide(const GateRequest& request,
                                   base::TimePoint now) {
  if (!settings_.enabled) return {};
  return gate_.Decide(request, backpressures_.Find(request.route, now));
}

void ChainControl::Tick(base::TimePoint now) {
  if (now - decayed_at_ < kDecayInterval) return;
  decayed_at_ = now;
  graph_.DecayEvidence();
  backpressures_.Tick(now);
}

}  // namespace dogwoodrail::core::chain
