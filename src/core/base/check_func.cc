#include "core/base/check_func.h"

#include <cstdio>
#include <cstdlib>

namespace dogwoodrail::core::base {

void CheckInvariant(bool holds, const char* invariant) {
  if (holds) return;
  std::fprintf(stderr, "invariant violated: %s\n", invariant);
  std::abort();
}

}  // namespace dogwoodrail::core::base
