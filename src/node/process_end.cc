#include "node/process_end.h"

#include <unistd.h>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/lsan_interface.h>
#endif

namespace dogwoodrail::node {
namespace {

constexpr int kExitOk = 0;

// Destructors join threads that a call to the platform or the HTTP library of
// the operator endpoint holds for seconds, longer than the time until a process
// is killed. Unlike quick_exit(), _exit() keeps the exit code of
// ThreadSanitizer.
[[noreturn]] void Exit() {
#if defined(__SANITIZE_ADDRESS__)
  __lsan_do_leak_check();  // ends the process if there is a leak
#endif
  ::_exit(kExitOk);
}

}  // namespace

void RunToExit(Node& node, EventLog& log) {
  node.Run();
  log.End();
  Exit();
}

}  // namespace dogwoodrail::node
