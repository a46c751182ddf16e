#ifndef DOGWOODRAIL_WIRE_ONCE_CODEC_H_
#define DOGWOODRAIL_WIRE_ONCE_CODEC_H_

#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "core/once/once_type.h"
#include "wire/call_message.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Message with the process that it is addressed to.
struct AddressedClaimMessage {
  core::base::Incarnation to;
  core::once::ClaimMessage message;
};

// Encodes a message as a complete frame.
Bytes EncodeOnce(const AddressedClaimMessage& message);
// Decodes and validates a frame payload.
core::base::Result<AddressedClaimMessage> DecodeOnce(const Bytes& payload);

// Complete answer that is stored for duplicate requests.
struct StoredResponse {
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
};

// Encode and decode the answer stored with an Idempotency-Key.
std::string EncodeStoredResponse(const StoredResponse& response);
core::base::Result<StoredResponse> DecodeStoredResponse(
    const std::string& bytes);

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_ONCE_CODEC_H_
