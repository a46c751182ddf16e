#ifndef DOGWOODRAIL_WIRE_POISON_CODEC_H_
#define DOGWOODRAIL_WIRE_POISON_CODEC_H_

#include "core/base/error_type.h"
#include "core/base/time_type.h"
#include "core/poison/crash_spread.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Encodes a message as a datagram. Times are sent as ages, as the clocks of
// nodes have nothing in common.
Bytes EncodeCrashes(const core::poison::CrashMessage& message,
                    core::base::TimePoint now);
// Decodes and validates the payload of a datagram.
core::base::Result<core::poison::CrashMessage> DecodeCrashes(
    const Bytes& payload, core::base::TimePoint now);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_POISON_CODEC_H_
