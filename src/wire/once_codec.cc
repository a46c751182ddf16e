#include "wire/once_codec.h"

#include <variant>

#include "wire/frame_func.h"
#include "wire/once_generated.h"

namespace dogwoodrail::wire {
namespace {

namespace once = core::once;
using core::base::CallId;
using core::base::Duration;
using core::base::ErrorCode;
using core::base::Incarnation;
using core::base::MakeError;
using core::base::Ran;
using core::shard::Epoch;
using core::shard::ShardIndex;
using flatbuffers::FlatBufferBuilder;
using FbsBytes = flatbuffers::Vector<std::uint8_t>;

// Serialized message body with its union type.
struct Body {
  fbs::OnceBody type;
  flatbuffers::Offset<void> offset;
};

flatbuffers::Offset<FbsBytes> AddBytes(FlatBufferBuilder& fbb,
                                       const std::string& bytes) {
  return fbb.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                          bytes.size());
}

std::string ReadBytes(const FbsBytes* bytes) {
  if (bytes == nullptr) return {};
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

Body Add(FlatBufferBuilder& fbb, const once::ClaimRequest& it) {
  return {fbs::OnceBody_ClaimRequest,
          fbs::CreateClaimRequest(
              fbb, it.shard.value(), it.id.account_hash, it.id.key.high,
              it.id.key.low, it.request_digest, it.nonce.incarnation.value(),
              it.nonce.call.value(), it.time_left.count())
              .Union()};
}

Body Add(FlatBufferBuilder& fbb, const once::ClaimAnswer& it) {
  const auto answer = AddBytes(fbb, it.answer);
  return {fbs::OnceBody_ClaimAnswer,
          fbs::CreateClaimAnswer(fbb, it.nonce.incarnation.value(),
                                 it.nonce.call.value(),
                                 static_cast<std::uint8_t>(it.verdict), answer)
              .Union()};
}

Body Add(FlatBufferBuilder& fbb, const once::ClaimOutcome& it) {
  const auto answer = AddBytes(fbb, it.answer);
  return {fbs::OnceBody_ClaimOutcome,
          fbs::CreateClaimOutcome(
              fbb, it.shard.value(), it.id.account_hash, it.id.key.high,
              it.id.key.low, it.nonce.incarnation.value(),
              it.nonce.call.value(), static_cast<std::uint8_t>(it.ran), answer)
              .Union()};
}

Body Add(FlatBufferBuilder& fbb, const once::ClaimOutcomeAck& it) {
  return {fbs::OnceBody_ClaimOutcomeAck,
          fbs::CreateClaimOutcomeAck(fbb, it.nonce.incarnation.value(),
                                     it.nonce.call.value())
              .Union()};
}

flatbuffers::Offset<fbs::ClaimRecord> AddRecord(FlatBufferBuilder& fbb,
                                                const once::ClaimRecord& it) {
  const auto answer = AddBytes(fbb, it.answer);
  return fbs::CreateClaimRecord(
      fbb, it.id.account_hash, it.id.key.high, it.id.key.low, it.request_digest,
      it.nonce.incarnation.value(), it.nonce.call.value(), it.serial,
      static_cast<std::uint8_t>(it.state), it.in_progress.count(), answer);
}

Body Add(FlatBufferBuilder& fbb, const once::ClaimCopy& it) {
  std::vector<flatbuffers::Offset<fbs::ClaimRecord>> records;
  records.reserve(it.records.size());
  for (const once::ClaimRecord& record : it.records) {
    records.push_back(AddRecord(fbb, record));
  }
  return {fbs::OnceBody_ClaimCopy,
          fbs::CreateClaimCopyDirect(
              fbb, it.shard.value(), it.epoch.value(), it.sequence, it.batch,
              it.last_batch, it.gap_until.time_since_epoch().count(), &records)
              .Union()};
}

Body Add(FlatBufferBuilder& fbb, const once::ClaimCopyAck& it) {
  return {fbs::OnceBody_ClaimCopyAck,
          fbs::CreateClaimCopyAck(fbb, it.shard.value(), it.epoch.value(),
                                  it.sequence)
              .Union()};
}

template <typename Table>
once::ClaimId ReadId(const Table& it) {
  return {it.account_hash(), {it.key_high(), it.key_low()}};
}

template <typename Table>
once::ClaimNonce ReadNonce(const Table& it) {
  return {Incarnation(it.nonce_incarnation()), CallId(it.nonce_call())};
}

once::ClaimMessage Read(const fbs::ClaimRequest& it) {
  once::ClaimRequest request;
  request.shard = ShardIndex(it.shard());
  request.id = ReadId(it);
  request.request_digest = it.request_digest();
  request.nonce = ReadNonce(it);
  request.time_left = Duration(it.time_left_us());
  return request;
}

once::ClaimMessage Read(const fbs::ClaimAnswer& it) {
  return once::ClaimAnswer{ReadNonce(it),
                           static_cast<once::ClaimVerdict>(it.verdict()),
                           ReadBytes(it.answer())};
}

once::ClaimMessage Read(const fbs::ClaimOutcome& it) {
  return once::ClaimOutcome{ShardIndex(it.shard()), ReadId(it), ReadNonce(it),
                            static_cast<Ran>(it.ran()), ReadBytes(it.answer())};
}

once::ClaimMessage Read(const fbs::ClaimOutcomeAck& it) {
  return once::ClaimOutcomeAck{ReadNonce(it)};
}

once::ClaimRecord ReadRecord(const fbs::ClaimRecord& it) {
  once::ClaimRecord record;
  record.id = ReadId(it);
  record.request_digest = it.request_digest();
  record.nonce = ReadNonce(it);
  record.serial = it.serial();
  record.state = static_cast<once::ClaimState>(it.state());
  record.in_progress = Duration(it.in_progress_us());
  record.answer = ReadBytes(it.answer());
  return record;
}

once::ClaimMessage Read(const fbs::ClaimCopy& it) {
  once::ClaimCopy copy;
  copy.shard = ShardIndex(it.shard());
  copy.epoch = Epoch(it.epoch());
  copy.sequence = it.sequence();
  copy.batch = it.batch();
  copy.last_batch = it.last_batch();
  copy.gap_until =
      core::base::WallTime(std::chrono::milliseconds(it.gap_until_ms()));
  if (it.records() == nullptr) return copy;
  for (const fbs::ClaimRecord* record : *it.records()) {
    copy.records.push_back(ReadRecord(*record));
  }
  return copy;
}

once::ClaimMessage Read(const fbs::ClaimCopyAck& it) {
  return once::ClaimCopyAck{ShardIndex(it.shard()), Epoch(it.epoch()),
                            it.sequence()};
}

bool IsKnownVerdict(once::ClaimVerdict verdict) {
  return verdict >= once::ClaimVerdict::kGranted &&
         verdict <= once::ClaimVerdict::kNotOwner;
}

bool IsKnownRan(Ran ran) { return ran <= Ran::kRan; }

bool AreKnownStates(const std::vector<once::ClaimRecord>& records) {
  for (const once::ClaimRecord& it : records) {
    if (it.state < once::ClaimState::kClaimed) return false;
    if (it.state > once::ClaimState::kDone) return false;
  }
  return true;
}

// Returns false if the message has enum values that this version does not know,
// e.g. because they were sent by another version.
bool IsKnown(const once::ClaimMessage& message) {
  if (const auto* answer = std::get_if<once::ClaimAnswer>(&message)) {
    return IsKnownVerdict(answer->verdict);
  }
  if (const auto* outcome = std::get_if<once::ClaimOutcome>(&message)) {
    return IsKnownRan(outcome->ran);
  }
  if (const auto* copy = std::get_if<once::ClaimCopy>(&message)) {
    return AreKnownStates(copy->records);
  }
  return true;
}

core::base::Result<once::ClaimMessage> ReadBody(const fbs::Once& root) {
  switch (root.body_type()) {
    case fbs::OnceBody_ClaimRequest:
      return Read(*root.body_as_ClaimRequest());
    case fbs::OnceBody_ClaimAnswer:
      return Read(*root.body_as_ClaimAnswer());
    case fbs::OnceBody_ClaimOutcome:
      return Read(*root.body_as_ClaimOutcome());
    case fbs::OnceBody_ClaimOutcomeAck:
      return Read(*root.body_as_ClaimOutcomeAck());
    case fbs::OnceBody_ClaimCopy:
      return Read(*root.body_as_ClaimCopy());
    case fbs::OnceBody_ClaimCopyAck:
      return Read(*root.body_as_ClaimCopyAck());
    default:
      return MakeError(ErrorCode::kCorrupt, "once message of unknown type");
  }
}

}  // namespace

Bytes EncodeOnce(const AddressedClaimMessage& message) {
  FlatBufferBuilder fbb;
  const Body body = std::visit([&fbb](const auto& it) { return Add(fbb, it); },
                               message.message);
  fbb.Finish(fbs::CreateOnce(fbb, message.to.value(), body.type, body.offset));
  return EncodeFrame(FrameKind::kOnce, fbb);
}

core::base::Result<AddressedClaimMessage> DecodeOnce(const Bytes& payload) {
  const auto* root = VerifiedRoot<fbs::Once>(payload);
  if (root == nullptr || root->body() == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "malformed once message");
  }
  auto message = ReadBody(*root);
  if (!message) return tl::make_unexpected(message.error());
  if (!IsKnown(*message)) {
    return MakeError(ErrorCode::kCorrupt, "unknown value in once message");
  }
  return AddressedClaimMessage{Incarnation(root->to_incarnation()),
                               std::move(*message)};
}

std::string EncodeStoredResponse(const StoredResponse& response) {
  FlatBufferBuilder fbb;
  std::vector<flatbuffers::Offset<fbs::StoredHeader>> headers;
  for (const HeaderField& it : response.headers) {
    headers.push_back(
        fbs::CreateStoredHeaderDirect(fbb, it.name.c_str(), it.value.c_str()));
  }
  const auto fields = fbb.CreateVector(headers);
  const auto body = AddBytes(fbb, response.body);
  fbb.Finish(fbs::CreateStoredResponse(
      fbb, static_cast<std::uint16_t>(response.status), fields, body));
  return {reinterpret_cast<const char*>(fbb.GetBufferPointer()), fbb.GetSize()};
}

core::base::Result<StoredResponse> DecodeStoredResponse(
    const std::string& bytes) {
  const Bytes payload(bytes.begin(), bytes.end());
  const auto* root = VerifiedRoot<fbs::StoredResponse>(payload);
  if (root == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "malformed stored response");
  }
  StoredResponse response;
  response.status = root->status();
  response.body = ReadBytes(root->body());
  if (root->headers() == nullptr) return response;
  for (const fbs::StoredHeader* it : *root->headers()) {
    response.headers.push_back({it->name()->str(), it->value()->str()});
  }
  return response;
}

}  // namespace dogwoodrail::wire
