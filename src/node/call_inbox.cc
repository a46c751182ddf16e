#include "node/call_inbox.h"

#include <algorithm>
#include <utility>

namespace dogwoodrail::node {

void CallInbox::Add(wire::LinkId from, wire::CallMessage message) {
  entries_.push_back({from, std::move(message)});
}

bool CallInbox::Remove(wire::LinkId from, core::base::CallId call) {
  const auto it =
      std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
        return entry.from == from && entry.message.call == call;
      });
  if (it == entries_.end()) return false;
  entries_.erase(it);
  return true;
}

void CallInbox::RemoveAll(wire::LinkId from) {
  const auto is_from_link = [from](const Entry& entry) {
    return entry.from == from;
  };
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(), is_from_link),
                 entries_.end());
}

std::vector<CallInbox::Entry> CallInbox::Take() {
  return std::exchange(entries_, {});
}

}  // namespace dogwoodrail::node
