#include "wire/rate_codec.h"

#include <vector>

#include "wire/frame_func.h"
#include "wire/rate_generated.h"
#include "wire/shard_codec.h"

namespace dogwoodrail::wire {
namespace {

using core::base::AccountName;
using core::base::Duration;
using core::base::ErrorCode;
using core::base::MakeError;
using core::rate::CopyIndex;
using core::rate::HolderState;
using core::rate::RateCopy;
using core::rate::RateCopyAck;
using core::rate::RateCopyKind;
using core::rate::RateReply;
using core::rate::RateReplyStatus;
using core::rate::RateRequest;
using core::rate::RequestSequence;
using core::shard::Epoch;
using core::shard::ShardIndex;

// Serialized message body with its union type.
struct Body {
  fbs::RateBody type;
  flatbuffers::Offset<void> offset;
};

Body Add(flatbuffers::FlatBufferBuilder& fbb, const RateRequest& it) {
  return {fbs::RateBody_RateRequest,
          fbs::CreateRateRequestDirect(fbb, it.account.value().c_str(),
                                       it.shard.value(), it.sequence.value(),
                                       it.held, it.spent, it.needed, it.wanted)
              .Union()};
}

Body Add(flatbuffers::FlatBufferBuilder& fbb, const RateReply& it) {
  return {
      fbs::RateBody_RateReply,
      fbs::CreateRateReplyDirect(
          fbb, it.account.value().c_str(), it.shard.value(), it.epoch.value(),
          it.sequence.value(), static_cast<std::uint8_t>(it.status), it.granted,
          it.retry_after.count(), it.holders)
          .Union()};
}

Body Add(flatbuffers::FlatBufferBuilder& fbb, const RateCopy& it) {
  std::vector<flatbuffers::Offset<fbs::RateHolder>> holders;
  for (const HolderState& holder : it.holders) {
    const auto name = AddMember(fbb, holder.holder);
    holders.push_back(fbs::CreateRateHolder(
        fbb, name, holder.sequence.value(), holder.outstanding, holder.granted,
        holder.spent, holder.remaining.count()));
  }
  return {fbs::RateBody_RateCopy,
          fbs::CreateRateCopyDirect(fbb, static_cast<std::uint8_t>(it.kind),
                                    it.shard.value(), it.epoch.value(),
                                    it.account.value().c_str(),
                                    it.index.value(), it.level, &holders)
              .Union()};
}

Body Add(flatbuffers::FlatBufferBuilder& fbb, const RateCopyAck& it) {
  return {fbs::RateBody_RateCopyAck,
          fbs::CreateRateCopyAckDirect(fbb, static_cast<std::uint8_t>(it.kind),
                                       it.shard.value(), it.epoch.value(),
                                       it.account.value().c_str(),
                                       it.index.value(), it.accepted)
              .Union()};
}

RateRequest Read(const fbs::RateRequest& in) {
  RateRequest request;
  request.account = AccountName(in.account()->str());
  request.shard = ShardIndex(in.shard());
  request.sequence = RequestSequence(in.sequence());
  request.held = in.held();
  request.spent = in.spent();
  request.needed = in.needed();
  request.wanted = in.wanted();
  return request;
}

RateReply Read(const fbs::RateReply& in) {
  RateReply reply;
  reply.account = AccountName(in.account()->str());
  reply.shard = ShardIndex(in.shard());
  reply.epoch = Epoch(in.epoch());
  reply.sequence = RequestSequence(in.sequence());
  reply.status = static_cast<RateReplyStatus>(in.status());
  reply.granted = in.granted();
  reply.retry_after = Duration(in.retry_after_us());
  reply.holders = in.holders();
  return reply;
}

RateCopy Read(const fbs::RateCopy& in) {
  RateCopy copy;
  copy.kind = static_cast<RateCopyKind>(in.kind());
  copy.shard = ShardIndex(in.shard());
  copy.epoch = Epoch(in.epoch());
  copy.account = AccountName(in.account()->str());
  copy.index = CopyIndex(in.index());
  copy.level = in.level();
  if (in.holders() == nullptr) return copy;
  for (const fbs::RateHolder* it : *in.holders()) {
    copy.holders.push_back({ReadMember(*it->holder()),
                            RequestSequence(it->sequence()), it->outstanding(),
                            it->granted(), it->spent(),
                            Duration(it->remaining_us())});
  }
  return copy;
}

RateCopyAck Read(const fbs::RateCopyAck& in) {
  RateCopyAck ack;
  ack.kind = static_cast<RateCopyKind>(in.kind());
  ack.shard = ShardIndex(in.shard());
  ack.epoch = Epoch(in.epoch());
  ack.account = AccountName(in.account()->str());
  ack.index = CopyIndex(in.index());
  ack.accepted = in.accepted();
  return ack;
}

bool IsInRange(std::uint8_t value, std::uint8_t last) {
  return value >= 1 && value <= last;
}

// Returns false for negative counts and unknown enum values, which no node of
// this version sends.
bool IsValid(const RateRequest& it) {
  return it.held >= 0 && it.needed >= 0 && it.wanted >= 0;
}
bool IsValid(const RateReply& it) {
  return it.granted >= 0 &&
         IsInRange(static_cast<std::uint8_t>(it.status),
                   static_cast<std::uint8_t>(RateReplyStatus::kUnknownAccount));
}
bool IsValid(const RateCopy& it) {
  for (const HolderState& holder : it.holders) {
    if (holder.outstanding < 0 || holder.granted < 0) return false;
  }
  return it.level >= 0 &&
         IsInRange(static_cast<std::uint8_t>(it.kind),
                   static_cast<std::uint8_t>(RateCopyKind::kSnapshotEnd));
}
bool IsValid(const RateCopyAck& it) {
  return IsInRange(static_cast<std::uint8_t>(it.kind),
                   static_cast<std::uint8_t>(RateCopyKind::kSnapshotEnd));
}

}  // namespace

Bytes EncodeRate(const AddressedRateMessage& message) {
  flatbuffers::FlatBufferBuilder fbb;
  const Body body =
      std::visit([&](const auto& it) { return Add(fbb, it); }, message.message);
  fbb.Finish(
      fbs::CreateRateNote(fbb, message.to.value(), body.type, body.offset));
  return EncodeFrame(FrameKind::kRate, fbb);
}

core::base::Result<AddressedRateMessage> DecodeRate(const Bytes& payload) {
  const auto* note = VerifiedRoot<fbs::RateNote>(payload);
  if (note == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "malformed RateNote");
  }
  AddressedRateMessage result;
  result.to = core::base::Incarnation(note->to_incarnation());
  if (const auto* request = note->body_as_RateRequest()) {
    result.message = Read(*request);
  } else if (const auto* reply = note->body_as_RateReply()) {
    result.message = Read(*reply);
  } else if (const auto* copy = note->body_as_RateCopy()) {
    result.message = Read(*copy);
  } else if (const auto* ack = note->body_as_RateCopyAck()) {
    result.message = Read(*ack);
  } else {
    return MakeError(ErrorCode::kCorrupt, "RateNote of unknown type");
  }
  const bool is_valid =
      std::visit([](const auto& it) { return IsValid(it); }, result.message);
  if (!is_valid) {
    return MakeError(ErrorCode::kCorrupt, "RateNote with a value out of range");
  }
  return result;
}

}  // namespace dogwoodrail::wire
