#include "core/member/sync_control.h"

#include <algorithm>

#include "core/member/peer_choice.h"

namespace dogwoodrail::core::member {
namespace {

constexpr std::size_t kZonesPerRequest = 2;
constexpr std::size_t kSeedsPerRequest = 3;
constexpr std::size_t kMinAnswers = 3;
constexpr std::size_t kFewRecords = 32;
// While the view is not confirmed, requests are frequent, and members tell of
// most other nodes.
constexpr std::size_t kRequestsPerSeed = 3;
constexpr std::size_t kMinBuckets = 4;
constexpr std::size_t kMembersPerBucket = 4;
static_assert(kBucketCount % kMinBuckets == 0);

bool HasNoOtherSeeds(const MemberSettings& settings, const MemberSelf& self) {
  return std::all_of(settings.seeds.begin(), settings.seeds.end(),
                     [&](const auto& it) { return it == self.address; });
}

// Returns the digests of a zone in `count` buckets, a divisor of kBucketCount.
std::vector<std::uint64_t> FoldBuckets(const ZoneGroup* group,
                                       std::size_t count) {
  std::vector<std::uint64_t> folded(count, 0);
  if (group == nullptr) return folded;
  for (std::size_t it = 0; it < kBucketCount; ++it) {
    folded[it % count] ^= group->buckets[it];
  }
  return folded;
}

// Returns the number of buckets for a zone. More would cost more than the
// records that they spare.
std::size_t ChooseBucketCount(const ZoneGroup* group) {
  const std::size_t live = group == nullptr ? 0 : group->live.size();
  std::size_t count = kMinBuckets;
  while (count < kBucketCount && count * kMembersPerBucket < live) count *= 2;
  return count;
}

MemberMessage MakeBuckets(const base::ZoneName& zone, const ZoneGroup* group,
                          std::size_t count, bool reply_wanted) {
  MemberMessage message;
  message.kind = MessageKind::kSyncBuckets;
  message.bucket_zone = zone;
  message.reply_wanted = reply_wanted;
  message.buckets = FoldBuckets(group, count);
  return message;
}

std::vector<ZoneDigest> DigestsOf(const MemberStore& store) {
  std::vector<ZoneDigest> digests;
  for (const ZoneGroup& it : store.zones()) {
    digests.push_back({it.zone, it.Digest()});
  }
  return digests;
}

// Returns the zones whose digests differ between the two views.
std::vector<base::ZoneName> DifferingZones(
    const MemberStore& store, const std::vector<ZoneDigest>& theirs) {
  std::vector<base::ZoneName> zones;
  for (const ZoneGroup& mine : store.zones()) {
    const auto found = std::find_if(
        theirs.begin(), theirs.end(),
        [&](const ZoneDigest& it) { return it.zone == mine.zone; });
    const std::uint64_t digest = found == theirs.end() ? 0 : found->digest;
    if (digest != mine.Digest()) zones.push_back(mine.zone);
  }
  for (const ZoneDigest& it : theirs) {
    if (store.FindZone(it.zone) == nullptr && it.digest != 0) {
      zones.push_back(it.zone);
    }
  }
  return zones;
}

}  // namespace

SyncControl::SyncControl(const MemberSettings& settings, const MemberSelf& self,
                         base::Random* random)
    : settings_(settings),
      self_(self),
      random_(random),
      budget_(settings.sync_bytes_per_s, settings.sync_burst_bytes),
      next_sequence_((*random)() >> 1),
      first_valid_sequence_(next_sequence_ + 1) {
  confirmed_ = HasNoOtherSeeds(settings, self);
  seeds_.Reset(settings.seeds, self.address);
}

void SyncControl::Tick(const MemberStore& store, base::TimePoint now,
                       std::vector<SendMemberMessage>* out) {
  if (!started_) {
    started_ = true;
    unconfirmed_since_ = now;
    next_sync_ = now;
  }
  if (now < next_sync_) return;
  const base::Duration interval = Interval();
  const auto jitter = base::Duration(static_cast<base::Duration::rep>(
      base::RandomBelow(*random_, interval.count())));
  next_sync_ = now + interval / 2 + jitter;
  SendRequest(store, out);
}

void SyncControl::OnMessage(const MemberStore& store,
                            const base::NodeAddress& from,
                            const MemberMessage& message, base::TimePoint now,
                            std::vector<SendMemberMessage>* out) {
  switch (message.kind) {
    case MessageKind::kSyncZones:
      OnZones(store, from, message, out);
      return;
    case MessageKind::kSyncBuckets:
      OnBuckets(store, from, message, now, out);
      return;
    case MessageKind::kSyncAnswer:
      OnAnswer(message, now);
      return;
    default:
      return;
  }
}

void SyncControl::OnPause(base::TimePoint now) {
  Restart(now);
  maybe_outdated_ = !confirmed_;
}

void SyncControl::Restart(base::TimePoint now) {
  confirmed_ = HasNoOtherSeeds(settings_, self_);
  unconfirmed_since_ = now;
  next_sync_ = now;
  answers_ = 0;
  first_valid_sequence_ = next_sequence_ + 1;
}

void SyncControl::OnSeeds(base::TimePoint now) {
  seeds_.Reset(settings_.seeds, self_.address);
  Restart(now);
}

// A confirmed view may be that of a few nodes only. Requests stay frequent
// while seeds are missing from it. A view that equals that of a peer lacks only
// a peer with a confirmed view, and there will not be one sooner for the
// asking.
base::Duration SyncControl::Interval() const {
  if (!confirmed_ && !was_equal_) return settings_.join_interval;
  if (!confirmed_) return settings_.sync_fast_interval;
  return seeds_.empty() ? settings_.sync_interval
                        : settings_.sync_fast_interval;
}

void SyncControl::ScheduleSoon(base::TimePoint now) {
  next_sync_ = std::min(next_sync_, now + settings_.sync_fast_interval);
}

void SyncControl::SendRequest(const MemberStore& store,
                              std::vector<SendMemberMessage>* out) {
  for (const base::NodeAddress& to : PickPeers(store)) {
    MemberMessage message;
    message.kind = MessageKind::kSyncZones;
    message.sequence = ++next_sequence_;
    message.zones = DigestsOf(store);
    out->push_back({to, std::move(message)});
  }
}

// A node that joins learns from its own zone first, since traffic between zones
// costs more. Contacts seeds until each is a live member, and occasionally
// afterwards, so that two partitions that have removed each other's members
// merge again.
std::vector<base::NodeAddress> SyncControl::PickPeers(
    const MemberStore& store) {
  std::vector<base::NodeAddress> peers;
  const std::uint64_t turn = base::RandomBelow(*random_, 8);
  Proximity proximity = Proximity::kZone;
  if (turn >= (confirmed_ ? 4U : 6U)) {
    proximity = turn >= 6 ? Proximity::kRemote : Proximity::kRegion;
  }
  const MemberIndex index =
      PickPeerWithFallback(store, self_, proximity, random_);
  if (index.IsValid()) peers.push_back(store.Find(index)->record.address);
  const bool ask_seed = confirmed_ || ++requests_ % kRequestsPerSeed == 0;
  if (!peers.empty() && ask_seed) {
    if (auto seed = seeds_.NextUndiscovered(store, random_)) {
      peers.push_back(std::move(*seed));
      return peers;
    }
  }
  const bool use_seeds = peers.empty() || (turn == 0 && confirmed_);
  if (!use_seeds || settings_.seeds.empty()) return peers;
  const std::size_t wanted = peers.empty() ? kSeedsPerRequest : 1;
  std::size_t at = base::RandomBelow(*random_, settings_.seeds.size());
  for (std::size_t it = 0; it < settings_.seeds.size(); ++it) {
    if (peers.size() >= wanted + (index.IsValid() ? 1 : 0)) break;
    const base::NodeAddress& seed =
        settings_.seeds[at++ % settings_.seeds.size()];
    if (seed != self_.address) peers.push_back(seed);
  }
  return peers;
}

void SyncControl::OnZones(const MemberStore& store,
                          const base::NodeAddress& from,
                          const MemberMessage& message,
                          std::vector<SendMemberMessage>* out) {
  std::vector<base::ZoneName> zones = DifferingZones(store, message.zones);
  MemberMessage answer;
  answer.kind = MessageKind::kSyncAnswer;
  answer.sequence = message.sequence;
  answer.differing_zones = static_cast<std::uint32_t>(zones.size());
  answer.confirmed = confirmed_;
  out->push_back({from, std::move(answer)});
  // A new node needs the members of its own zone first, then of its region.
  std::shuffle(zones.begin(), zones.end(), *random_);
  const auto rank = [&](const base::ZoneName& zone) {
    if (zone == message.sender.zone) return 0;
    const ZoneGroup* group = store.FindZone(zone);
    if (group == nullptr) return 2;
    return group->region == message.sender.region ? 1 : 2;
  };
  std::stable_sort(
      zones.begin(), zones.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (zones.size() > kZonesPerRequest) zones.resize(kZonesPerRequest);
  for (const base::ZoneName& it : zones) {
    const ZoneGroup* zone = store.FindZone(it);
    out->push_back(
        {from, MakeBuckets(it, zone, ChooseBucketCount(zone), true)});
  }
}

void SyncControl::OnBuckets(const MemberStore& store,
                            const base::NodeAddress& from,
                            const MemberMessage& message, base::TimePoint now,
                            std::vector<SendMemberMessage>* out) {
  const std::size_t count = message.buckets.size();
  if (count == 0 || kBucketCount % count != 0) return;
  const ZoneGroup* zone = store.FindZone(message.bucket_zone);
  if (message.reply_wanted) {
    out->push_back(
        {from, MakeBuckets(message.bucket_zone, zone, count, false)});
  }
  // A process that has just started knows little, but nothing outdated. Of a
  // fleet that starts at once, no node would be confirmed without it.
  if (zone == nullptr || maybe_outdated_) return;
  SendRecords(store, *zone, message.buckets, from, now, out);
}

void SyncControl::OnAnswer(const MemberMessage& message, base::TimePoint now) {
  if (message.differing_zones > kZonesPerRequest) ScheduleSoon(now);
  was_equal_ = message.differing_zones == 0;
  // Answers left in the socket during a pause describe the view before it, and
  // answers to another process, which had this address before, that one's.
  const bool is_own = message.sequence >= first_valid_sequence_ &&
                      message.sequence <= next_sequence_;
  if (confirmed_ || !is_own) return;
  const bool waited = now - unconfirmed_since_ >= settings_.join_grace;
  if (!message.confirmed && !waited) return;
  ++answers_;
  const bool nearly_equal = answers_ >= kMinAnswers &&
                            learned_ <= kFewRecords &&
                            message.differing_zones <= kZonesPerRequest;
  confirmed_ = message.differing_zones == 0 || nearly_equal;
  if (confirmed_) maybe_outdated_ = false;
  learned_ = 0;
}

// Starts at a random record, so that repeated requests for a large zone do not
// get the same part each time.
void SyncControl::SendRecords(const MemberStore& store, const ZoneGroup& zone,
                              const std::vector<std::uint64_t>& theirs,
                              const base::NodeAddress& to, base::TimePoint now,
                              std::vector<SendMemberMessage>* out) {
  const std::vector<std::uint64_t> own = FoldBuckets(&zone, theirs.size());
  std::vector<const MemberRecord*> records;
  for (const std::vector<MemberIndex>* list : {&zone.live, &zone.dead}) {
    for (const MemberIndex it : *list) {
      const Member* member = store.Find(it);
      const std::size_t bucket = BucketOf(member->address_hash) % theirs.size();
      if (theirs[bucket] != own[bucket]) {
        records.push_back(&member->record);
      }
    }
  }
  if (records.empty()) return;
  std::size_t at = base::RandomBelow(*random_, records.size());
  std::size_t left = records.size();
  for (std::size_t it = 0; it < settings_.sync_datagrams && left > 0; ++it) {
    MemberMessage message;
    message.kind = MessageKind::kSyncRecords;
    message.sender.zone = zone.zone;  // counted by EstimateBytes
    while (left > 0) {
      message.records.push_back(*records[at % records.size()]);
      if (EstimateBytes(message) > settings_.datagram_bytes) {
        message.records.pop_back();
        break;
      }
      ++at;
      --left;
    }
    if (!budget_.HasAny(now)) return;
    budget_.Charge(EstimateBytes(message), now);
    out->push_back({to, std::move(message)});
  }
}

}  // namespace dogwoodrail::core::member
