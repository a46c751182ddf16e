#include "objectapi/http_object_store.h"

#include <limits>
#include <utility>

#include "json/json_reader.h"
#include "objectapi/http_exchange.h"

namespace dogwoodrail::objectapi {
namespace {

using core::base::Error;
using core::base::ErrorCode;
using core::base::MakeError;
using core::base::Result;

constexpr unsigned kOk = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotFound = 404;
constexpr unsigned kPreconditionFailed = 412;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kFirstServerError = 500;

// A read has no effect, so a lost answer only means that there is none.
Error ReadError(const Error& error) {
  if (error.code != ErrorCode::kOutcomeUnknown) return error;
  return Error{ErrorCode::kUnavailable, error.detail};
}

// Error for the status of a read that brought no value.
tl::unexpected<Error> ReadStatusError(unsigned status) {
  if (status == kNotFound) return MakeError(ErrorCode::kNotFound, "no object");
  return MakeError(ErrorCode::kUnavailable,
                   "the Object API answered " + std::to_string(status));
}

// Returns the object of an answer with a value.
Result<Object> ToObject(HttpResponse answer) {
  if (answer.status != kOk) return ReadStatusError(answer.status);
  if (!answer.object_version) {
    return MakeError(ErrorCode::kCorrupt, "the answer has no Object-Version");
  }
  return Object{std::move(answer.body), ObjectVersion(*answer.object_version)};
}

// Keys go into the path unescaped.
bool IsPlainKey(const std::string& key) {
  for (const char c : key) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                       c == '/' || c == '_' || c == '-';
    if (!plain) return false;
  }
  return true;
}

tl::unexpected<Error> KeyError() {
  return MakeError(ErrorCode::kInvalidArgument,
                   "object keys are of a-z, 0-9, '/', '_' and '-'");
}

}  // namespace

HttpObjectStore::HttpObjectStore(HttpObjectStoreOptions options)
    : options_(std::move(options)) {}

Result<Object> HttpObjectStore::Get(const ObjectKey& key) {
  if (!IsPlainKey(key.value())) return KeyError();
  HttpRequest call;
  call.path = "/v1/objects/" + key.value();
  auto answer =
      ExchangeOnce(options_.ip, options_.port, call, options_.timeout);
  if (!answer) return tl::make_unexpected(ReadError(answer.error()));
  return ToObject(std::move(*answer));
}

// A server error may come from a part of the platform that only lost the
// answer, so it says nothing about the write.
Result<ObjectVersion> HttpObjectStore::PutIf(const ObjectKey& key,
                                             const std::string& value,
                                             ObjectVersion expected) {
  if (!IsPlainKey(key.value())) return KeyError();
  if (value.size() > kMaxObjectBytes) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "the value is larger than the Object API holds");
  }
  HttpRequest call;
  call.method = "PUT";
  call.path = "/v1/objects/" + key.value();
  call.if_version = expected.value();
  call.body = value;
  const auto answer =
      ExchangeOnce(options_.ip, options_.port, call, options_.timeout);
  if (!answer) {
    if (answer.error().code == ErrorCode::kUnavailable) {
      return tl::make_unexpected(answer.error());
    }
    return MakeError(ErrorCode::kOutcomeUnknown, answer.error().detail);
  }
  const std::string status =
      "the Object API answered " + std::to_string(answer->status);
  if (answer->status == kOk && answer->object_version) {
    return ObjectVersion(*answer->object_version);
  }
  if (answer->status == kPreconditionFailed) {
    return MakeError(ErrorCode::kConflict, "the object has another version");
  }
  if (answer->status == kTooManyRequests) {
    return MakeError(ErrorCode::kUnavailable, status);
  }
  if (answer->status == kOk || answer->status >= kFirstServerError) {
    return MakeError(ErrorCode::kOutcomeUnknown, status);
  }
  return MakeError(ErrorCode::kInvalidArgument, status);
}

Result<std::optional<Object>> HttpObjectStore::Watch(
    const ObjectKey& key, ObjectVersion after, std::chrono::milliseconds wait) {
  if (!IsPlainKey(key.value())) return KeyError();
  HttpRequest call;
  call.path = "/v1/watch/" + key.value();
  call.query = "after=" + std::to_string(after.value()) +
               "&wait_ms=" + std::to_string(wait.count());
  auto answer =
      ExchangeOnce(options_.ip, options_.port, call, wait + options_.timeout);
  if (!answer) return tl::make_unexpected(ReadError(answer.error()));
  if (answer->status == kNoContent) return std::optional<Object>();
  auto object = ToObject(std::move(*answer));
  if (!object) return tl::make_unexpected(object.error());
  return std::optional<Object>(std::move(*object));
}

Result<std::vector<ObjectListing>> HttpObjectStore::List(
    const std::string& prefix) {
  if (!IsPlainKey(prefix)) return KeyError();
  HttpRequest call;
  call.path = "/v1/list/" + prefix;
  const auto answer =
      ExchangeOnce(options_.ip, options_.port, call, options_.timeout);
  if (!answer) return tl::make_unexpected(ReadError(answer.error()));
  if (answer->status != kOk) return ReadStatusError(answer->status);
  const auto node = json::ParseJson(answer->body);
  if (!node) return MakeError(ErrorCode::kCorrupt, node.error().detail);
  std::vector<ObjectListing> rows;
  for (const json::JsonNode& it : *node) {
    json::JsonReader in(it, "listing");
    const ObjectKey key(in.String("key"));
    const ObjectVersion version(
        in.Number("version", std::numeric_limits<std::uint64_t>::max()));
    if (auto result = in.Finish(); !result) {
      return MakeError(ErrorCode::kCorrupt, result.error().detail);
    }
    rows.push_back({key, version});
  }
  return rows;
}

}  // namespace dogwoodrail::objectapi
