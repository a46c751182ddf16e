#include "core/shard/shard_func.h"

#include <algorithm>

#include "core/base/hash_func.h"

namespace dogwoodrail::core::shard {
namespace {

constexpr std::size_t kMaxWitnesses = 3;

std::uint64_t Weight(ShardIndex shard, const Member& member) {
  return base::MixHash(base::StableHash(member.id.address.value()),
                       shard.value());
}

// Returns the best-ranked node that is not in `taken`, preferring one in an
// availability zone that no node in `taken` is in.
const Member* PickFromOtherZone(const std::vector<Member>& ranked,
                                const std::vector<Member>& taken) {
  const Member* fallback = nullptr;
  for (const Member& candidate : ranked) {
    const auto same_node = [&](const Member& m) {
      return m.id.address == candidate.id.address;
    };
    if (std::any_of(taken.begin(), taken.end(), same_node)) continue;
    if (fallback == nullptr) fallback = &candidate;
    const auto same_zone = [&](const Member& m) {
      return m.zone == candidate.zone;
    };
    if (std::none_of(taken.begin(), taken.end(), same_zone)) return &candidate;
  }
  return fallback;
}

// The number is odd or zero: an even number of witnesses could split into equal
// halves, and tolerates no more failures than one witness fewer.
std::size_t WitnessCount(std::size_t member_count) {
  if (member_count >= 5) return kMaxWitnesses;
  if (member_count >= 3) return 1;
  return 0;
}

}  // namespace

ShardIndex ShardOf(std::string_view key, std::uint32_t shard_count) {
  return ShardIndex(
      static_cast<std::uint32_t>(base::StableHash(key) % shard_count));
}

// The weight depends on the address only, so a restarted node keeps its rank.
std::vector<Member> RankMembers(ShardIndex shard,
                                const std::vector<Member>& members) {
  std::vector<Member> ranked = members;
  std::sort(ranked.begin(), ranked.end(),
            [&](const Member& a, const Member& b) {
              const auto weight_a = Weight(shard, a);
              const auto weight_b = Weight(shard, b);
              if (weight_a != weight_b) return weight_a > weight_b;
              return a.id < b.id;
            });
  return ranked;
}

ShardRecord BuildRecord(ShardIndex shard, Epoch epoch, const Member& primary,
                        const std::vector<Member>& members,
                        const std::optional<MemberId>& keep) {
  const std::vector<Member> ranked = RankMembers(shard, members);
  const auto kept =
      std::find_if(ranked.begin(), ranked.end(),
                   [&](const Member& member) { return member.id == keep; });
  ShardRecord record;
  record.shard = shard;
  record.epoch = epoch;
  record.primary = primary.id;
  std::vector<Member> taken{primary};
  const Member* standby =
      kept != ranked.end() ? &*kept : PickFromOtherZone(ranked, taken);
  if (standby != nullptr) {
    record.standby = standby->id;
    taken.push_back(*standby);
  }
  const std::size_t wanted = WitnessCount(members.size());
  while (record.witnesses.size() < wanted) {
    const Member* witness = PickFromOtherZone(ranked, taken);
    if (witness == nullptr) break;
    record.witnesses.push_back(witness->id);
    taken.push_back(*witness);
  }
  return record;
}

std::size_t WitnessMajority(const ShardRecord& record) {
  return record.witnesses.empty() ? 0 : record.witnesses.size() / 2 + 1;
}

Duration WithMargin(const ShardSettings& settings, Duration lease) {
  const Duration drift = lease / settings.drift_divisor;
  return lease + std::max(drift, settings.min_margin);
}

Epoch NextRecordedEpoch(Epoch epoch) {
  return Epoch((epoch.value() / 2 + 1) * 2);
}

Epoch SoloEpoch(Epoch recorded) { return Epoch(recorded.value() | 1U); }

}  // namespace dogwoodrail::core::shard
