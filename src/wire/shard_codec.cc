#include "wire/shard_codec.h"

#include <vector>

#include "wire/frame_func.h"

namespace dogwoodrail::wire {
namespace {

using core::base::Duration;
using core::base::ErrorCode;
using core::base::MakeError;
using core::base::TimePoint;
using core::shard::Epoch;
using core::shard::MemberId;
using core::shard::RecordVersion;
using core::shard::ShardIndex;
using core::shard::ShardMessage;
using core::shard::ShardMessageKind;
using core::shard::ShardRecord;

flatbuffers::Offset<fbs::ShardRecord> AddRecord(
    flatbuffers::FlatBufferBuilder& fbb, const ShardRecord& record) {
  const auto primary = AddMember(fbb, record.primary);
  flatbuffers::Offset<fbs::MemberName> standby;
  if (record.standby) standby = AddMember(fbb, *record.standby);
  std::vector<flatbuffers::Offset<fbs::MemberName>> witnesses;
  for (const MemberId& it : record.witnesses) {
    witnesses.push_back(AddMember(fbb, it));
  }
  return fbs::CreateShardRecordDirect(fbb, record.epoch.value(), primary,
                                      standby, &witnesses);
}

ShardRecord ReadRecord(ShardIndex shard, const fbs::ShardRecord& in) {
  ShardRecord record;
  record.shard = shard;
  record.epoch = Epoch(in.epoch());
  record.primary = ReadMember(*in.primary());
  if (in.standby() != nullptr) record.standby = ReadMember(*in.standby());
  if (in.witnesses() == nullptr) return record;
  for (const fbs::MemberName* it : *in.witnesses()) {
    record.witnesses.push_back(ReadMember(*it));
  }
  return record;
}

}  // namespace

flatbuffers::Offset<fbs::MemberName> AddMember(
    flatbuffers::FlatBufferBuilder& fbb, const MemberId& member) {
  return fbs::CreateMemberNameDirect(fbb, member.address.value().c_str(),
                                     member.incarnation.value());
}

MemberId ReadMember(const fbs::MemberName& member) {
  return {core::base::NodeAddress(member.address()->str()),
          core::base::Incarnation(member.incarnation())};
}

Bytes EncodeShard(const ShardMessage& message) {
  flatbuffers::FlatBufferBuilder fbb;
  flatbuffers::Offset<fbs::ShardRecord> record;
  if (message.record) record = AddRecord(fbb, *message.record);
  fbb.Finish(fbs::CreateShardNote(
      fbb, static_cast<std::uint8_t>(message.kind), message.shard.value(),
      message.epoch.value(), message.to_incarnation.value(),
      message.sent.time_since_epoch().count(),
      message.echo.time_since_epoch().count(), message.record_age.count(),
      message.affirmed, record, message.version.value()));
  return EncodeFrame(FrameKind::kShard, fbb);
}

core::base::Result<ShardMessage> DecodeShard(const Bytes& payload) {
  const auto* note = VerifiedRoot<fbs::ShardNote>(payload);
  if (note == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "malformed ShardNote");
  }
  const auto last = static_cast<std::uint8_t>(ShardMessageKind::kOwner);
  if (note->kind() == 0 || note->kind() > last) {
    return MakeError(ErrorCode::kCorrupt, "ShardNote of unknown kind");
  }
  ShardMessage message;
  message.kind = static_cast<ShardMessageKind>(note->kind());
  message.shard = ShardIndex(note->shard());
  message.epoch = Epoch(note->epoch());
  message.to_incarnation = core::base::Incarnation(note->to_incarnation());
  message.sent = TimePoint(Duration(note->sent_us()));
  message.echo = TimePoint(Duration(note->echo_us()));
  message.record_age = Duration(note->record_age_us());
  message.affirmed = note->affirmed();
  if (note->record() != nullptr) {
    message.record = ReadRecord(message.shard, *note->record());
  }
  message.version = RecordVersion(note->version());
  return message;
}

}  // namespace dogwoodrail::wire
