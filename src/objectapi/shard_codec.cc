#include "objectapi/shard_codec.h"

#include <charconv>
#include <cstdint>
#include <limits>

#include "json/json_reader.h"
#include "json/json_writer.h"

namespace dogwoodrail::objectapi {
namespace {

using core::shard::MemberId;
using core::shard::ShardRecord;
using json::JsonNode;
using json::JsonReader;

constexpr std::size_t kIndexDigits = 4;

// Incarnations are encoded as strings, since not every JSON parser preserves
// 64-bit numbers.
void WriteMember(JsonNode& node, const MemberId& member) {
  node.addValue("address", member.address.value());
  node.addValue("incarnation", std::to_string(member.incarnation.value()));
}

core::base::Result<MemberId> ReadMember(const JsonNode& node) {
  JsonReader in(node, "member");
  MemberId member;
  member.address = core::base::NodeAddress(in.String("address"));
  const std::string text = in.String("incarnation");
  std::uint64_t n = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (ec != std::errc() || end != text.data() + text.size()) {
    in.Fail("bad incarnation");
  }
  member.incarnation = core::base::Incarnation(n);
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  return member;
}

}  // namespace

ObjectKey ShardKey(core::shard::ShardIndex shard) {
  std::string digits = std::to_string(shard.value());
  if (digits.size() < kIndexDigits) {
    digits.insert(0, kIndexDigits - digits.size(), '0');
  }
  return ObjectKey("shard/" + digits);
}

std::string WriteShardRecord(const ShardRecord& record) {
  JsonNode node = json::MakeObject();
  node.addValue("epoch", record.epoch.value());
  WriteMember(json::AddObject(node, "primary"), record.primary);
  JsonNode& standbys = json::AddArray(node, "standbys");
  if (record.standby) {
    WriteMember(json::AddObject(standbys), *record.standby);
  }
  JsonNode& witnesses = json::AddArray(node, "witnesses");
  for (const MemberId& it : record.witnesses) {
    WriteMember(json::AddObject(witnesses), it);
  }
  return json::WriteJson(node);
}

core::base::Result<ShardRecord> ReadShardRecord(core::shard::ShardIndex shard,
                                                const std::string& text) {
  const auto node = json::ParseJson(text);
  if (!node) return tl::make_unexpected(node.error());
  JsonReader in(*node, "shard record");
  ShardRecord record;
  record.shard = shard;
  record.epoch = core::shard::Epoch(
      in.Number("epoch", std::numeric_limits<std::int64_t>::max()));
  const JsonNode* primary = in.Object("primary");
  const auto standbys = in.Array("standbys");
  if (standbys.size() > 1) in.Fail("more than one standby");
  const auto witnesses = in.Array("witnesses");
  if (auto result = in.Finish(); !result) {
    return tl::make_unexpected(result.error());
  }
  const auto primary_member = ReadMember(*primary);
  if (!primary_member) return tl::make_unexpected(primary_member.error());
  record.primary = *primary_member;
  for (const JsonNode* it : standbys) {
    const auto member = ReadMember(*it);
    if (!member) return tl::make_unexpected(member.error());
    record.standby = *member;
  }
  for (const JsonNode* it : witnesses) {
    const auto member = ReadMember(*it);
    if (!member) return tl::make_unexpected(member.error());
    record.witnesses.push_back(*member);
  }
  return record;
}

}  // namespace dogwoodrail::objectapi
