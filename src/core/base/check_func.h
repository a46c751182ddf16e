#ifndef DOGWOODRAIL_CORE_BASE_CHECK_FUNC_H_
#define DOGWOODRAIL_CORE_BASE_CHECK_FUNC_H_

namespace dogwoodrail::core::base {

// Aborts the process with a message if an invariant does not hold. Errors that
// can be caused by input or by faults are returned as values instead.
void CheckInvariant(bool holds, const char* invariant);

}  // namespace dogwoodrail::core::base

#endif  // DOGWOODRAIL_CORE_BASE_CHECK_FUNC_H_
