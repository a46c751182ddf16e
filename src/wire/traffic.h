#ifndef DOGWOODRAIL_WIRE_TRAFFIC_H_
#define DOGWOODRAIL_WIRE_TRAFFIC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "core/base/id_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Where the receiver of a message is, seen from its sender.
enum class TrafficScope : std::uint8_t {
  kSameZone,
  kOtherZone,  // of the same region
  kOtherRegion,
  kUnknown,  // before the other node has said where it is
  kCount,
};

// Returns the name of a scope, as used in metrics.
const char* TrafficScopeText(TrafficScope scope);
// Returns the name of a frame kind, as used in metrics.
const char* FrameKindText(FrameKind kind);

// Messages and bytes of one kind sent to one scope. Bytes are those passed to
// the kernel, after compression and without the headers of TCP, UDP and IP.
struct TrafficCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

// Counts what a node sends to other nodes.
class Traffic {
 public:
  using ScopeCounts =
      std::array<TrafficCount, static_cast<std::size_t>(TrafficScope::kCount)>;

  // Counts a message.
  void Count(FrameKind kind, TrafficScope scope, std::uint64_t bytes);
  // Returns the counts of each kind sent so far.
  const std::map<FrameKind, ScopeCounts>& by_kind() const { return by_kind_; }

 private:
  std::map<FrameKind, ScopeCounts> by_kind_;
};

// Returns the scope of the node at an address.
using ScopeLookup = std::function<TrafficScope(const core::base::NodeAddress&)>;

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_TRAFFIC_H_
