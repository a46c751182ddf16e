#ifndef DOGWOODRAIL_CORE_CHAIN_PRESSURE_MAP_H_
#define DOGWOODRAIL_CORE_CHAIN_PRESSURE_MAP_H_

#include <unordered_map>

#include "core/chain/chain_type.h"

namespace dogwoodrail::core::chain {

// What answers have told of the services behind each route.
class PressureMap {
 public:
  // Takes what an answer on a route tells.
  void OnAnswer(const base::RouteName& route, const Pressure& pressure,
                base::TimePoint now);
  // Returns what is known of a route now; it fades without answers.
  Pressure Find(const base::RouteName& route, base::TimePoint now) const;

 private:
  struct Entry {
    Pressure pressure;
    base::TimePoint at;
  };

  std::unordered_map<base::RouteName, Entry> routes_;
};

}  // namespace dogwoodrail::core::chain

#endif  // DOGWOODRAIL_CORE_CHAIN_PRESSURE_MAP_H_
