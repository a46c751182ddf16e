#include "core/member/member_message_type.h"

#include <algorithm>
#include <vector>

namespace dogwoodrail::core::member {
namespace {

constexpr std::size_t kHeaderBytes = 28 + 72;  // IP, UDP, frame, tables
constexpr std::size_t kRecordBytes = 48;       // a fixed-size struct
constexpr std::size_t kStringBytes = 12;       // offset, length, terminator
constexpr std::size_t kRumourBytes = 48;
constexpr std::size_t kZoneBytes = 40;    // a table with two strings
constexpr std::size_t kDigestBytes = 36;  // a table with one string
constexpr std::size_t kBucketBytes = 8;

}  // namespace

std::size_t EstimateBytes(const MemberRecord& record) {
  const std::size_t service = record.backend.service.value().size();
  return kRecordBytes + (service == 0 ? 0 : kStringBytes + service);
}

std::size_t EstimateBytes(const Rumour& rumour) {
  return kRumourBytes + rumour.bytes.size();
}

// Each zone name and its region name are encoded once per datagram.
std::size_t EstimateBytes(const MemberMessage& message) {
  std::vector<const MemberRecord*> zones;
  const auto add = [&zones](const MemberRecord& record) {
    std::size_t n = EstimateBytes(record);
    const auto found = std::find_if(zones.begin(), zones.end(), [&](auto* it) {
      return it->zone == record.zone;
    });
    if (found != zones.end()) return n;
    zones.push_back(&record);
    n += kZoneBytes + record.zone.value().size();
    return n + record.region.value().size();
  };
  std::size_t n = kHeaderBytes + add(message.sender);
  if (!message.target.empty()) {
    n += kStringBytes + message.target.value().size();
  }
  for (const MemberRecord& it : message.records) n += add(it);
  for (const Rumour& it : message.rumours) n += EstimateBytes(it);
  for (const ZoneDigest& it : message.zones) {
    n += kDigestBytes + it.zone.value().size();
  }
  if (!message.bucket_zone.empty()) {
    n += kStringBytes + message.bucket_zone.value().size();
  }
  return n + message.buckets.size() * kBucketBytes;
}

}  // namespace dogwoodrail::core::member
