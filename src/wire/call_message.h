#ifndef DOGWOODRAIL_WIRE_CALL_MESSAGE_H_
#define DOGWOODRAIL_WIRE_CALL_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/base/error_type.h"
#include "core/base/id_type.h"
#include "core/base/request_type.h"
#include "core/base/time_type.h"
#include "core/chain/chain_type.h"
#include "core/poison/poison_type.h"
#include "core/route/route_type.h"
#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// HTTP header field in a message.
struct HeaderField {
  std::string name;
  std::string value;
};

// Request to a serving node to execute one attempt.
struct CallMessage {
  core::base::CallId call;
  core::base::RequestId request;
  core::base::AccountName account;
  core::base::RouteName route;
  core::base::ServiceName service;
  core::base::Importance importance = core::base::Importance::kLookup;
  bool idempotent = false;
  std::uint8_t hop = 0;
  std::uint8_t attempt = 1;
  std::uint16_t attempts_share = 0;
  core::base::Duration remaining{0};
  core::base::Duration start_within{
      0};  // later starts are refused; 0: no limit
  core::poison::Fingerprint fingerprint;
  double entry_share = 1.0;  // share of such requests admitted at the entry
  std::string method;
  std::string target;
  std::vector<HeaderField> headers;
  std::string body;
};

// Result of a CallMessage.
struct AnswerMessage {
  core::base::CallId call;
  core::base::Ran ran = core::base::Ran::kUnknown;
  core::base::Reason reason = core::base::Reason::kNone;
  core::base::Duration retry_after{0};
  std::uint16_t attempts_unspent = 0;
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
  core::route::LoadHint load;
  core::chain::Backpressure backpressure;
  bool reached = false;         // the request was sent to the backend server
  bool invalid_answer = false;  // its answer had no status of HTTP
};

// Encode messages as complete frames.
Bytes EncodeCall(const CallMessage& message);
Bytes EncodeAnswer(const AnswerMessage& message);
Bytes EncodeCancel(core::base::CallId call);

// Decode and validate frame payloads.
core::base::Result<CallMessage> DecodeCall(const Bytes& payload);
core::base::Result<AnswerMessage> DecodeAnswer(const Bytes& payload);
core::base::Result<core::base::CallId> DecodeCancel(const Bytes& payload);

// Decodes the id of a call or answer of which only the beginning was received.
core::base::Result<core::base::CallId> DecodeTruncatedId(
    const Bytes& beginning);

// Largest body of a call. Leaves room for the other fields in a frame.
constexpr std::size_t kMaxCallBodyBytes =
    kMaxFrameBytes - std::size_t{512} * 1024;

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_CALL_MESSAGE_H_
