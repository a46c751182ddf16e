#ifndef DOGWOODRAIL_CORE_CONFIG_STORE_ERA_H_
#define DOGWOODRAIL_CORE_CONFIG_STORE_ERA_H_

#include <optional>

#include "core/base/id_type.h"

namespace dogwoodrail::core::config {

// Revision of the store that holds the configuration.
using StoreRevision = base::StrongNumber<struct StoreRevisionTag>;

// Era of the store: rises each time that the store comes back from an older
// copy. Changes acknowledged since that copy are lost, and their revisions are
// given out again, so that a revision has a meaning only within its era. 0 if
// the store states none.
using StoreEra = base::StrongNumber<struct StoreEraTag>;

// Point in the history of the store.
struct StorePosition {
  StoreEra era;
  StoreRevision revision;
};

// Change of the store's era.
struct StoreEraChange {
  StoreEra before;
  StoreEra after;
};

// Latest era of the store that a node knows of, from answers of the store and
// from other nodes.
class StoreEraTracker {
 public:
  // Handles an era that the store or another node states. Returns the change if
  // the era is later than the one known before; the first one is no change.
  std::optional<StoreEraChange> OnEra(StoreEra era);
  StoreEra era() const { return era_; }

 private:
  StoreEra era_;
};

}  // namespace dogwoodrail::core::config

#endif  // DOGWOODRAIL_CORE_CONFIG_STORE_ERA_H_
