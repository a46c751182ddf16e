#ifndef DOGWOODRAIL_CORE_MEMBER_SEED_LIST_H_
#define DOGWOODRAIL_CORE_MEMBER_SEED_LIST_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/random_type.h"
#include "core/member/member_store.h"

namespace dogwoodrail::core::member {

// Seeds that are not known as live members. Nodes that start at the same time
// may form groups that do not know each other, and one group finds another at
// one of these addresses.
class SeedList {
 public:
  // Replaces the list by all seeds except the node's own address.
  void Reset(const std::vector<base::NodeAddress>& seeds,
             const base::NodeAddress& self);
  // Returns a random seed that is not a live member of the store. Each one is
  // returned a limited number of times, because it may be gone for good.
  std::optional<base::NodeAddress> NextUndiscovered(const MemberStore& store,
                                                    base::Random* random);
  // Returns true if no seed is left to contact.
  bool empty() const { return candidates_.empty(); }

 private:
  struct Seed {
    base::NodeAddress address;
    std::size_t requests = 0;
  };

  void RemoveAt(std::size_t index);

  std::vector<Seed> candidates_;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_SEED_LIST_H_
