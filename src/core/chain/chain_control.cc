#include "core/chain/chain_control.h"

#include <chrono>

#include "core/base/hash_func.h"

namespace dogwoodrail::core::chain {
namespace {

constexpr base::Duration kFadeInterval = std::chrono::seconds(1);

}  // namespace

ServiceMark MarkOf(const base::ServiceName& service) {
  const std::uint64_t hash = base::StableHash(service.value());
  return ServiceMark(static_cast<std::uint32_t>(hash | 1U));
}

ChainControl::ChainControl(const ChainSettings& settings, std::uint64_t seed)
    : settings_(settings), load_(settings), gate_(settings, seed) {}

void ChainControl::OnLoad(const base::ServiceName& service,
                          const LoadSample& sample, base::TimePoint now) {
  own_mark_ = MarkOf(service);
  load_.OnSample(sample, now);
}

// The tightest service of the chain decides.
Pressure ChainControl::PressureOf(const base::RouteName& route,
                                  base::TimePoint now) const {
  Pressure result{own_mark_, load_.admit()};
  graph_.ForEachCalled([&](const base::RouteName& called) {
    if (!graph_.Calls(route, called)) return;
    const Pressure further = pressures_.Find(called, now);
    if (further.admit < result.admit) result = further;
  });
  return result;
}

GateVerdict ChainControl::Decide(const GateRequest& request,
                                 base::TimePoint now) {
  if (!settings_.enabled) return {};
  return gate_.Decide(request, pressures_.Find(request.route, now), now);
}

void ChainControl::Tick(base::TimePoint now) {
  if (now - faded_at_ < kFadeInterval) return;
  faded_at_ = now;
  graph_.Fade();
}

}  // namespace dogwoodrail::core::chain
