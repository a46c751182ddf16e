#include "wire/traffic.h"

namespace dogwoodrail::wire {

const char* TrafficScopeText(TrafficScope scope) {
  switch (scope) {
    case TrafficScope::kSameZone:
      return "same_zone";
    case TrafficScope::kOtherZone:
      return "other_zone";
    case TrafficScope::kOtherRegion:
      return "other_region";
    default:
      return "unknown";
  }
}

const char* FrameKindText(FrameKind kind) {
  switch (kind) {
    case FrameKind::kHello:
      return "hello";
    case FrameKind::kPing:
      return "ping";
    case FrameKind::kPong:
      return "pong";
    case FrameKind::kClosing:
      return "closing";
    case FrameKind::kCall:
      return "call";
    case FrameKind::kAnswer:
      return "answer";
    case FrameKind::kCancel:
      return "cancel";
    case FrameKind::kMember:
      return "membership";
    case FrameKind::kSpread:
      return "configuration";
    case FrameKind::kShard:
      return "shard";
    case FrameKind::kRate:
      return "rate";
    case FrameKind::kOnce:
      return "once";
    case FrameKind::kPoison:
      return "crash_records";
  }
  return "unknown";
}

void Traffic::Count(FrameKind kind, TrafficScope scope, std::uint64_t bytes) {
  TrafficCount& count = by_kind_[kind].at(static_cast<std::size_t>(scope));
  ++count.messages;
  count.bytes += bytes;
}

}  // namespace dogwoodrail::wire
