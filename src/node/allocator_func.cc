#include "node/allocator_func.h"

#include <malloc.h>

namespace dogwoodrail::node {
namespace {

constexpr int kLargeBlockBytes = 256 * 1024;

}  // namespace

// By default, the threshold from which a block gets pages of its own rises with
// the blocks that are freed. Freed messages would then leave holes between
// others, and the resident memory would stay far above what is in use.
void ReturnFreedMemory() { ::mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes); }

}  // namespace dogwoodrail::node
