#ifndef DOGWOODRAIL_NODE_CALL_INBOX_H_
#define DOGWOODRAIL_NODE_CALL_INBOX_H_

#include <vector>

#include "wire/call_message.h"
#include "wire/links.h"

namespace dogwoodrail::node {

// Calls that were received and not handled yet. They wait until all
// that was read with them is handled, so that a cancellation which waited in
// the same socket removes its call before the call starts.
class CallInbox {
 public:
  struct Entry {
    wire::LinkId from;
    wire::CallMessage message;
  };

  // Adds a call.
  void Add(wire::LinkId from, wire::CallMessage message);
  // Removes a call. Returns false if it is not here.
  bool Remove(wire::LinkId from, core::base::CallId call);
  // Removes the calls of a link.
  void RemoveAll(wire::LinkId from);
  // Removes and returns all calls in the order in which they were added.
  std::vector<Entry> Take();
  bool empty() const { return entries_.empty(); }

 private:
  std::vector<Entry> entries_;
};

}  // namespace dogwoodrail::node

#endif  // DOGWOODRAIL_NODE_CALL_INBOX_H_
