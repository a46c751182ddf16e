#include "core/config/store_era.h"

#include <utility>

namespace dogwoodrail::core::config {

// An answer that was on its way while the era changed states the older one.
std::optional<StoreEraChange> StoreEraTracker::OnEra(StoreEra era) {
  if (!(era_ < era)) return std::nullopt;
  const StoreEra before = std::exchange(era_, era);
  if (before == StoreEra()) return std::nullopt;
  return StoreEraChange{before, era};
}

}  // namespace dogwoodrail::core::config
