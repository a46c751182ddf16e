// Linked into the node under ThreadSanitizer only. Its runtime creates the
// state that holds a thread's pending signals in the thread's first blocking
// call, and loses a signal that arrives during that. Makes this call before
// main(), and so before the node handles signals.
#include <poll.h>

namespace {

const int first_blocking_call = ::poll(nullptr, 0, 0);

}  // namespace
