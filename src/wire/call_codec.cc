#include "wire/call_generated.h"
#include "wire/call_message.h"
#include "wire/frame_func.h"

namespace dogwoodrail::wire {
namespace {

constexpr unsigned kBitsPerShare = 8;
constexpr std::uint32_t kFullShare = 0xff;

std::uint8_t PackShare(double share) {
  return static_cast<std::uint8_t>(share * kFullShare);
}

double UnpackShare(std::uint32_t packed) {
  return static_cast<double>(packed & kFullShare) / kFullShare;
}

// Packs shares between 0 and 1 into one byte each, the first in the lowest
// byte.
std::uint32_t PackShares(const core::chain::AdmittedShares& shares) {
  std::uint32_t packed = 0;
  for (std::size_t it = 0; it < shares.size(); ++it) {
    packed |= std::uint32_t{PackShare(shares[it])} << (it * kBitsPerShare);
  }
  return packed;
}

core::chain::AdmittedShares UnpackShares(std::uint32_t packed) {
  core::chain::AdmittedShares shares{};
  for (std::size_t it = 0; it < shares.size(); ++it) {
    shares[it] = UnpackShare(packed >> (it * kBitsPerShare));
  }
  return shares;
}

using core::base::CallId;
using core::base::Duration;
using core::base::ErrorCode;
using core::base::Importance;
using core::base::MakeError;
using core::base::Ran;
using core::base::Reason;

using FbsHeaderFields =
    flatbuffers::Vector<flatbuffers::Offset<fbs::HeaderField>>;

// Serializes header fields.
flatbuffers::Offset<FbsHeaderFields> AddHeaders(
    flatbuffers::FlatBufferBuilder& fbb,
    const std::vector<HeaderField>& headers) {
  std::vector<flatbuffers::Offset<fbs::HeaderField>> fields;
  fields.reserve(headers.size());
  for (const HeaderField& it : headers) {
    fields.push_back(
        fbs::CreateHeaderFieldDirect(fbb, it.name.c_str(), it.value.c_str()));
  }
  return fbb.CreateVector(fields);
}

// Serializes a body.
flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> AddBody(
    flatbuffers::FlatBufferBuilder& fbb, const std::string& body) {
  return fbb.CreateVector(reinterpret_cast<const std::uint8_t*>(body.data()),
                          body.size());
}

// Copies the header fields of a verified message.
std::vector<HeaderField> ReadHeaders(const FbsHeaderFields* headers) {
  std::vector<HeaderField> result;
  if (headers == nullptr) return result;
  result.reserve(headers->size());
  for (const fbs::HeaderField* it : *headers) {
    result.push_back(HeaderField{it->name()->str(), it->value()->str()});
  }
  return result;
}

// Copies the body of a verified message.
std::string ReadBody(const flatbuffers::Vector<std::uint8_t>* body) {
  if (body == nullptr) return {};
  return std::string(reinterpret_cast<const char*>(body->data()), body->size());
}

}  // namespace

Bytes EncodeCall(const CallMessage& message) {
  flatbuffers::FlatBufferBuilder fbb(message.body.size() + 1024);
  const auto request = fbb.CreateString(message.request.value());
  const auto account = fbb.CreateString(message.account.value());
  const auto route = fbb.CreateString(message.route.value());
  const auto service = fbb.CreateString(message.service.value());
  const auto method = fbb.CreateString(message.method);
  const auto target = fbb.CreateString(message.target);
  const auto headers = AddHeaders(fbb, message.headers);
  const auto body = AddBody(fbb, message.body);
  fbs::CallBuilder call(fbb);
  call.add_call(message.call.value());
  call.add_request(request);
  call.add_account(account);
  call.add_route(route);
  call.add_service(service);
  call.add_importance(static_cast<std::uint8_t>(message.importance));
  call.add_idempotent(message.idempotent);
  call.add_hop(message.hop);
  call.add_attempt(message.attempt);
  call.add_attempts_share(message.attempts_share);
  call.add_remaining_us(message.remaining.count());
  call.add_start_within_us(message.start_within.count());
  call.add_fingerprint(message.fingerprint.high);
  call.add_fingerprint_low(message.fingerprint.low);
  call.add_entry_share(PackShare(message.entry_share));
  call.add_method(method);
  call.add_target(target);
  call.add_headers(headers);
  call.add_body(body);
  fbb.Finish(call.Finish());
  return EncodeFrame(FrameKind::kCall, fbb);
}

core::base::Result<CallMessage> DecodeCall(const Bytes& payload) {
  const auto* call = VerifiedRoot<fbs::Call>(payload);
  if (call == nullptr) return MakeError(ErrorCode::kCorrupt, "malformed Call");
  if (call->importance() >= core::base::kImportanceCount) {
    return MakeError(ErrorCode::kCorrupt, "Call with unknown importance");
  }
  CallMessage message;
  message.call = CallId(call->call());
  message.request = core::base::RequestId(call->request()->str());
  message.account = core::base::AccountName(call->account()->str());
  message.route = core::base::RouteName(call->route()->str());
  message.service = core::base::ServiceName(call->service()->str());
  message.importance = static_cast<Importance>(call->importance());
  message.idempotent = call->idempotent();
  message.hop = call->hop();
  message.attempt = call->attempt();
  message.attempts_share = call->attempts_share();
  message.remaining = Duration(call->remaining_us());
  message.start_within = Duration(call->start_within_us());
  message.fingerprint = {call->fingerprint(), call->fingerprint_low()};
  message.entry_share = UnpackShare(call->entry_share());
  message.method = call->method()->str();
  message.target = call->target()->str();
  message.headers = ReadHeaders(call->headers());
  message.body = ReadBody(call->body());
  return message;
}

Bytes EncodeAnswer(const AnswerMessage& message) {
  flatbuffers::FlatBufferBuilder fbb(message.body.size() + 1024);
  const auto headers = AddHeaders(fbb, message.headers);
  const auto body = AddBody(fbb, message.body);
  const auto load = fbs::CreateLoadHint(
      fbb, message.load.in_flight, message.load.limit, message.load.queued);
  fbs::AnswerBuilder answer(fbb);
  answer.add_call(message.call.value());
  answer.add_ran(static_cast<std::uint8_t>(message.ran));
  answer.add_reason(static_cast<std::uint8_t>(message.reason));
  answer.add_retry_after_us(message.retry_after.count());
  answer.add_attempts_unspent(message.attempts_unspent);
  answer.add_status(static_cast<std::uint16_t>(message.status));
  answer.add_headers(headers);
  answer.add_body(body);
  answer.add_load(load);
  answer.add_reached(message.reached);
  answer.add_invalid_answer(message.invalid_answer);
  if (!message.backpressure.AdmitsAll()) {
    answer.add_bottleneck(message.backpressure.bottleneck.value());
    answer.add_admit(PackShares(message.backpressure.admit));
  }
  fbb.Finish(answer.Finish());
  return EncodeFrame(FrameKind::kAnswer, fbb);
}

core::base::Result<AnswerMessage> DecodeAnswer(const Bytes& payload) {
  const auto* answer = VerifiedRoot<fbs::Answer>(payload);
  if (answer == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "malformed Answer");
  }
  if (answer->ran() > static_cast<std::uint8_t>(Ran::kRan) ||
      answer->reason() >= static_cast<std::uint8_t>(Reason::kCount)) {
    return MakeError(ErrorCode::kCorrupt,
                     "Answer with unknown ran or reason value");
  }
  AnswerMessage message;
  message.call = CallId(answer->call());
  message.ran = static_cast<Ran>(answer->ran());
  message.reason = static_cast<Reason>(answer->reason());
  message.retry_after = Duration(answer->retry_after_us());
  message.attempts_unspent = answer->attempts_unspent();
  message.status = answer->status();
  message.headers = ReadHeaders(answer->headers());
  message.body = ReadBody(answer->body());
  message.reached = answer->reached();
  message.invalid_answer = answer->invalid_answer();
  message.backpressure.bottleneck =
      core::chain::ServiceHash(answer->bottleneck());
  message.backpressure.admit = UnpackShares(answer->admit());
  if (const fbs::LoadHint* load = answer->load(); load != nullptr) {
    message.load =
        core::route::LoadHint{load->in_flight(), load->limit(), load->queued()};
  }
  return message;
}

Bytes EncodeCancel(CallId call) {
  flatbuffers::FlatBufferBuilder fbb;
  fbb.Finish(fbs::CreateCancel(fbb, call.value()));
  return EncodeFrame(FrameKind::kCancel, fbb);
}

core::base::Result<CallId> DecodeCancel(const Bytes& payload) {
  const auto* cancel = VerifiedRoot<fbs::Cancel>(payload);
  if (cancel == nullptr) {
    return MakeError(ErrorCode::kCorrupt, "malformed Cancel");
  }
  return CallId(cancel->call());
}

// The id is the first field of both tables. A builder writes a table and its
// offsets in front of the texts and vectors that the table refers to.
core::base::Result<CallId> DecodeTruncatedId(const Bytes& beginning) {
  static_assert(static_cast<int>(fbs::Call::VT_CALL) ==
                static_cast<int>(fbs::Answer::VT_CALL));
  const auto malformed = [] {
    return MakeError(ErrorCode::kCorrupt, "malformed beginning of a message");
  };
  const auto fits = [&beginning](std::size_t at, std::size_t bytes) {
    return at <= beginning.size() && bytes <= beginning.size() - at;
  };
  const std::uint8_t* data = beginning.data();
  if (!fits(0, sizeof(flatbuffers::uoffset_t))) return malformed();
  const std::size_t table =
      flatbuffers::ReadScalar<flatbuffers::uoffset_t>(data);
  if (!fits(table, sizeof(flatbuffers::soffset_t))) return malformed();
  const std::int64_t offsets =
      static_cast<std::int64_t>(table) -
      flatbuffers::ReadScalar<flatbuffers::soffset_t>(data + table);
  if (offsets < 0) return malformed();
  const std::size_t entry =
      static_cast<std::size_t>(offsets) + fbs::Call::VT_CALL;
  if (!fits(entry, sizeof(flatbuffers::voffset_t))) return malformed();
  const std::size_t offset =
      flatbuffers::ReadScalar<flatbuffers::voffset_t>(data + entry);
  if (offset == 0 || !fits(table + offset, sizeof(std::uint64_t))) {
    return malformed();
  }
  return CallId(flatbuffers::ReadScalar<std::uint64_t>(data + table + offset));
}

}  // namespace dogwoodrail::wire
