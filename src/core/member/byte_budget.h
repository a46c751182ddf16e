#ifndef DOGWOODRAIL_CORE_MEMBER_BYTE_BUDGET_H_
#define DOGWOODRAIL_CORE_MEMBER_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "core/base/time_type.h"

namespace dogwoodrail::core::member {

// Token bucket that limits the bytes sent. A charge may overdraw it, because
// the size of a datagram is known only after it has been filled.
class ByteBudget {
 public:
  ByteBudget(std::size_t bytes_per_s, std::size_t burst)
      : bytes_per_s_(static_cast<double>(bytes_per_s)),
        burst_(static_cast<double>(burst)),
        bytes_(burst_) {}

  // Returns true if bytes may be sent.
  bool HasAny(base::TimePoint now) {
    Refill(now);
    return bytes_ > 0;
  }

  // Deducts bytes that are sent.
  void Charge(std::size_t bytes, base::TimePoint now) {
    Refill(now);
    bytes_ -= static_cast<double>(bytes);
  }

 private:
  void Refill(base::TimePoint now) {
    if (now <= filled_at_) return;
    const std::chrono::duration<double> passed = now - filled_at_;
    bytes_ = std::min(burst_, bytes_ + passed.count() * bytes_per_s_);
    filled_at_ = now;
  }

  double bytes_per_s_;
  double burst_;
  double bytes_;
  base::TimePoint filled_at_{};
};

}  // namespace dogwoodrail::core::member

#endif  // DOGWOODRAIL_CORE_MEMBER_BYTE_BUDGET_H_
