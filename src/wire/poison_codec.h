#ifndef DOGWOODRAIL_WIRE_POISON_CODEC_H_
#define DOGWOODRAIL_WIRE_POISON_CODEC_H_

#include <vector>

#include "core/base/error_type.h"
#include "core/poison/poison_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Message between nodes about requests that crash backend servers.
struct PoisonMessage {
  std::vector<core::poison::PoisonReport> reports;
  std::vector<core::poison::CrashId> acks;  // ids of counted reports
  std::vector<core::poison::PoisonRumour> rumours;
};

// Encodes a message as a complete frame.
Bytes EncodePoison(const PoisonMessage& message);
// Decodes and validates a frame payload.
core::base::Result<PoisonMessage> DecodePoison(const Bytes& payload);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_POISON_CODEC_H_
