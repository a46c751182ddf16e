#include "node/failure_barrier.h"

#include <exception>
#include <utility>

namespace dogwoodrail::node {

FailureBarrier::FailureBarrier(core::base::EventSink emit)
    : emit_(std::move(emit)) {}

// All requests of the node share one event loop, so that an exception which
// leaves the loop would end every one of them.
bool FailureBarrier::Run(const char* work, const std::function<void()>& task) {
  try {
    task();
    return true;
  } catch (const std::exception& ex) {
    Report(work, ex.what());
  } catch (...) {
    Report(work, "unknown exception");
  }
  return false;
}

void FailureBarrier::Report(const char* work, const std::string& cause) {
  ++failures_;
  emit_({core::base::EventNumber::kHandlerFailed,
         {},
         {},
         "work=" + std::string(work) + " cause=" + cause});
}

}  // namespace dogwoodrail::node
