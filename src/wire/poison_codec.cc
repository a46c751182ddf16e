#include "wire/poison_codec.h"

#include "wire/frame_func.h"
#include "wire/poison_generated.h"

namespace dogwoodrail::wire {
namespace {

namespace poison = core::poison;
using core::base::Duration;
using core::base::ErrorCode;
using core::base::Incarnation;
using core::base::MakeError;
using flatbuffers::FlatBufferBuilder;

poison::PoisonReport ReadReport(const fbs::PoisonReport& it) {
  return {{it.high(), it.low()},
          {Incarnation(it.observer()), it.number()},
          static_cast<poison::PoisonObservation>(it.sight())};
}

poison::PoisonRumour ReadRumour(const fbs::PoisonRumour& it) {
  poison::PoisonRumour rumour;
  rumour.fingerprint = {it.high(), it.low()};
  rumour.version = it.version();
  rumour.crashes = it.crashes();
  rumour.status = static_cast<poison::PoisonStatus>(it.standing());
  rumour.expires_in = Duration(it.expires_in_us());
  return rumour;
}

// Returns false if the message has enum values that this version does not know,
// e.g. because they were sent by another version.
bool IsKnown(const PoisonMessage& message) {
  for (const poison::PoisonReport& it : message.reports) {
    if (it.observation < poison::PoisonObservation::kInFlight) return false;
    if (it.observation > poison::PoisonObservation::kCompleted) return false;
  }
  for (const poison::PoisonRumour& it : message.rumours) {
    if (it.status > poison::PoisonStatus::kBlocked) return false;
  }
  return true;
}

}  // namespace

Bytes EncodePoison(const PoisonMessage& message) {
  FlatBufferBuilder fbb;
  std::vector<flatbuffers::Offset<fbs::PoisonReport>> reports;
  for (const poison::PoisonReport& it : message.reports) {
    reports.push_back(fbs::CreatePoisonReport(
        fbb, it.fingerprint.high, it.fingerprint.low, it.id.observer.value(),
        it.id.number, static_cast<std::uint8_t>(it.observation)));
  }
  std::vector<flatbuffers::Offset<fbs::PoisonReportAck>> acks;
  for (const poison::CrashId& it : message.acks) {
    acks.push_back(
        fbs::CreatePoisonReportAck(fbb, it.observer.value(), it.number));
  }
  std::vector<flatbuffers::Offset<fbs::PoisonRumour>> rumours;
  for (const poison::PoisonRumour& it : message.rumours) {
    rumours.push_back(fbs::CreatePoisonRumour(
        fbb, it.fingerprint.high, it.fingerprint.low, it.version, it.crashes,
        static_cast<std::uint8_t>(it.status), it.expires_in.count()));
  }
  fbb.Finish(fbs::CreatePoisonDirect(fbb, &reports, &acks, &rumours));
  return EncodeFrame(FrameKind::kPoison, fbb);
}

core::base::Result<PoisonMessage> DecodePoison(const Bytes& payload) {
  const auto* root = VerifiedRoot<fbs::Poison>(payload);
  if (root == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "malformed poison message");
  }
  PoisonMessage message;
  if (root->reports() != nullptr) {
    for (const auto* it : *root->reports()) {
      message.reports.push_back(ReadReport(*it));
    }
  }
  if (root->acks() != nullptr) {
    for (const auto* it : *root->acks()) {
      message.acks.push_back({Incarnation(it->observer()), it->number()});
    }
  }
  if (root->rumours() != nullptr) {
    for (const auto* it : *root->rumours()) {
      message.rumours.push_back(ReadRumour(*it));
    }
  }
  if (!IsKnown(message)) {
    return MakeError(ErrorCode::kCorrupt, "unknown value in poison message");
  }
  return message;
}

}  // namespace dogwoodrail::wire
