#ifndef DOGWOODRAIL_CORE_MEMBER_SEED_LIST_H_
#define DOGWOODRAIL_CORE_MEMBER_SEED_LIST_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/base/id_type.h"
#include "core/base/random_type.h"
#include "core/member/member_store.h"

namespace dogwoodrail::core::member {

// The seeds that are not known as live members. Nodes that start at the same
// moment may form groups that know nothing of each other; these are the
// addresses at which another group may be found.
class SeedList {
 public:
  // Starts anew with all seeds but the node's own address.
  void Reset(const std::vector<base::NodeAddress>& seeds,
             const base::NodeAddress& self);
  // Returns one that the store does not hold as live, to be asked now. Each is
  // returned a few times only, as it may have gone for good.
  std::optional<base::NodeAddress> NextUnmet(const MemberStore& store,
                                             base::Random* random);
  // True if none is left to be asked.
  bool empty() const { return unmet_.empty(); }

 private:
  struct Seed {
    base::NodeAddress address;
    std::size_t asked = 0;
  };

  void RemoveAt(std::size_t index);

  std::vector<Seed> unmet_;
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_SEED_LIST_H_
