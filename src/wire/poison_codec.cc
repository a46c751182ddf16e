#include "wire/poison_codec.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include "wire/frame_func.h"
#include "wire/poison_generated.h"

namespace dogwoodrail::wire {
namespace {

namespace poison = core::poison;
using core::base::Duration;
using core::base::ErrorCode;
using core::base::Incarnation;
using core::base::MakeError;
using core::base::TimePoint;
using flatbuffers::FlatBufferBuilder;

std::uint32_t ToMillis(Duration time) {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max();
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, kMax));
}

fbs::CrashId ToWire(const poison::CrashId& id) {
  return {id.observer.value(), id.number};
}

poison::CrashId FromWire(const fbs::CrashId& id) {
  return {Incarnation(id.observer()), id.number()};
}

std::vector<fbs::CrashSummary> ToWire(
    const std::vector<poison::CrashSummary>& list) {
  std::vector<fbs::CrashSummary> result;
  result.reserve(list.size());
  for (const poison::CrashSummary& it : list) {
    result.emplace_back(ToWire(it.id), it.cleared);
  }
  return result;
}

std::vector<poison::CrashSummary> FromWire(
    const flatbuffers::Vector<const fbs::CrashSummary*>* list) {
  std::vector<poison::CrashSummary> result;
  if (list == nullptr) return result;
  for (const auto* it : *list) {
    result.push_back({FromWire(it->id()), it->cleared()});
  }
  return result;
}

flatbuffers::Offset<fbs::CrashRecord> AddRecord(
    FlatBufferBuilder& fbb, const poison::CrashRecord& record, TimePoint now) {
  std::vector<fbs::CrashEntry> entries;
  entries.reserve(record.entries.size());
  for (const poison::CrashEntry& it : record.entries) {
    entries.emplace_back(it.fingerprint.high, it.fingerprint.low,
                         ToMillis(it.run), it.isolated);
  }
  const fbs::CrashId id = ToWire(record.id);
  return fbs::CreateCrashRecordDirect(fbb, &id, record.observer.value().c_str(),
                                      ToMillis(now - record.ended_at), &entries,
                                      record.cleared);
}

poison::CrashRecord ReadRecord(const fbs::CrashRecord& record, TimePoint now) {
  using std::chrono::milliseconds;
  poison::CrashRecord result;
  result.id = FromWire(*record.id());
  result.observer = core::base::NodeAddress(record.observer()->str());
  result.ended_at = now - milliseconds(record.age_ms());
  for (const auto* it : *record.entries()) {
    result.entries.push_back(
        {{it->high(), it->low()}, milliseconds(it->run_ms()), it->isolated()});
  }
  result.cleared = record.cleared();
  return result;
}

}  // namespace

Bytes EncodeCrashes(const poison::CrashMessage& message, TimePoint now) {
  FlatBufferBuilder fbb;
  std::vector<flatbuffers::Offset<fbs::CrashRecord>> records;
  records.reserve(message.records.size());
  for (const poison::CrashRecord& it : message.records) {
    records.push_back(AddRecord(fbb, it, now));
  }
  const auto cleared = ToWire(message.cleared);
  const auto offers = ToWire(message.offers);
  std::vector<std::uint64_t> digests;
  if (message.digests && *message.digests != poison::CrashDigests{}) {
    digests.assign(message.digests->begin(), message.digests->end());
  }
  std::vector<fbs::CrashId> requests;
  requests.reserve(message.requests.size());
  for (const poison::CrashId& it : message.requests) {
    requests.push_back(ToWire(it));
  }
  fbb.Finish(fbs::CreateCrashesDirect(
      fbb, records.empty() ? nullptr : &records,
      cleared.empty() ? nullptr : &cleared, message.digests.has_value(),
      digests.empty() ? nullptr : &digests, offers.empty() ? nullptr : &offers,
      message.offered_groups, requests.empty() ? nullptr : &requests));
  return EncodeDatagram(FrameKind::kPoison, fbb);
}

core::base::Result<poison::CrashMessage> DecodeCrashes(const Bytes& payload,
                                                       TimePoint now) {
  const auto* root = VerifiedRoot<fbs::Crashes>(payload);
  if (root == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "malformed crash message");
  }
  poison::CrashMessage message;
  if (root->records() != nullptr) {
    for (const auto* it : *root->records()) {
      message.records.push_back(ReadRecord(*it, now));
    }
  }
  message.cleared = FromWire(root->cleared());
  message.offers = FromWire(root->offers());
  message.offered_groups = root->offered_groups();
  if (root->requests() != nullptr) {
    for (const auto* it : *root->requests()) {
      message.requests.push_back(FromWire(*it));
    }
  }
  if (!root->sync()) return message;
  message.digests.emplace();
  if (root->digests() == nullptr) return message;
  if (root->digests()->size() != poison::kDigestGroups) {
    return MakeError(ErrorCode::kCorrupt, "wrong number of crash digests");
  }
  std::copy(root->digests()->begin(), root->digests()->end(),
            message.digests->begin());
  return message;
}

}  // namespace dogwoodrail::wire
