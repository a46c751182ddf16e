#ifndef DOGWOODRAIL_NODE_ALLOCATOR_FUNC_H_
#define DOGWOODRAIL_NODE_ALLOCATOR_FUNC_H_

namespace dogwoodrail::node {

// Lets the memory of large messages return to the system as it is freed. To be
// called once, at the start of the process.
void ReturnFreedMemory();

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_ALLOCATOR_FUNC_H_
