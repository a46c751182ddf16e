#ifndef DOGWOODRAIL_CORE_POISON_COMPLETION_LOG_H_
#define DOGWOODRAIL_CORE_POISON_COMPLETION_LOG_H_

#include <unordered_map>

#include "core/poison/poison_type.h"

namespace dogwoodrail::core::poison {

// Remembers which requests have completed lately at the local backend server.
class CompletionLog {
 public:
  // Records a completed execution.
  void Add(const Fingerprint& fingerprint, base::TimePoint now);
  // True if an execution of the request is known to have completed at or after
  // this time.
  bool HasSince(const Fingerprint& fingerprint, base::TimePoint time) const;

 private:
  using Times = std::unordered_map<Fingerprint, base::TimePoint>;

  // The older half is dropped as a whole when the newer one is full or old.
  Times newer_;
  Times older_;
  base::TimePoint newer_since_;
};

}  // namespace dogwoodrail::core::poison

#endif  // DOGWOODRAIL_CORE_POISON_COMPLETION_LOG_H_
