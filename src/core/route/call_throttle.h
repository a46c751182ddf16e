#ifndef DOGWOODRAIL_CORE_ROUTE_CALL_THROTTLE_H_
#define DOGWOODRAIL_CORE_ROUTE_CALL_THROTTLE_H_

#include <array>
#include <cstddef>
#include <unordered_map>

#include "core/base/id_type.h"
#include "core/base/random_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "core/route/route_type.h"

namespace dogwoodrail::core::route {

// Client-side throttle of the calls to one service. Refuses a share of an
// account's calls of an importance before they are sent while the service
// refuses most of them. If an importance is throttled, all lower ones are too.
class CallThrottle {
 public:
  explicit CallThrottle(const ThrottleSettings& settings)
      : settings_(settings) {}

  // Returns whether a call may be sent; counts it if not.
  bool Allow(const base::AccountName& account, base::Importance importance,
             base::Random* random, base::TimePoint now);
  // Counts the answer to a sent call: accepted, or refused because of overload.
  void OnAnswered(const base::AccountName& account, base::Importance importance,
                  bool accepted, base::TimePoint now);
  // Returns the share of calls that is currently refused.
  double RefusedShare(const base::AccountName& account,
                      base::Importance importance, base::TimePoint now) const;
  // Erases accounts without recent calls.
  void Tick(base::TimePoint now);

  // Number of accounts with recent calls.
  std::size_t size() const { return accounts_.size(); }

 private:
  // Exponentially decayed counts of calls of one importance.
  struct Counts {
    double calls = 0;
    double accepted = 0;
  };

  struct AccountCounts {
    std::array<Counts, base::kImportanceCount> classes;
    base::TimePoint decayed_at;
  };

  // Returns the factor by which the counts decay between decayed_at and now.
  double DecayFactor(const AccountCounts& counts, base::TimePoint now) const;
  // Returns the account's counts, decayed to now.
  AccountCounts& DecayedCounts(const base::AccountName& account,
                               base::TimePoint now);
  // Returns the share of calls to refuse for an importance.
  double ShareToRefuse(const AccountCounts& counts,
                       base::Importance importance) const;

  ThrottleSettings settings_;
  std::unordered_map<base::AccountName, AccountCounts> accounts_;
};

}  // namespace dogwoodrail::core::route

#endif  // DOGWOODRAIL_CORE_ROUTE_CALL_THROTTLE_H_
