#ifndef DOGWOODRAIL_NODE_FAILURE_BARRIER_H_
#define DOGWOODRAIL_NODE_FAILURE_BARRIER_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/base/event_type.h"

namespace dogwoodrail::node {

// Confines an unforeseen exception to the piece of work that threw it. Used on
// the thread of the event loop only.
class FailureBarrier {
 public:
  explicit FailureBarrier(core::base::EventSink emit);

  // Runs a piece of work. If it throws, reports the exception under the name of
  // the work and returns false.
  bool Run(const char* work, const std::function<void()>& task);
  // Reports an exception that was caught elsewhere.
  void Report(const char* work, const std::string& cause);
  // Number of exceptions reported.
  std::uint64_t failures() const { return failures_; }

 private:
  core::base::EventSink emit_;
  std::uint64_t failures_ = 0;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_FAILURE_BARRIER_H_
