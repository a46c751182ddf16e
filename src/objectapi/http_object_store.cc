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

// A read has no side effects, so a lost response is reported as unavailable.
Error ToReadError(const Error& error) {
  if (error.code != ErrorCode::kOutcomeUnknown) return error;
  return Error{ErrorCode::kUnavailable, error.detail};
}

// Returns the error for the HTTP status of a failed read.
tl::unexpected<Error> MakeReadStatusError(unsigned status) {
  if (status == kNotFound) {
    return MakeError(ErrorCode::kNotFound, "the object does not exist");
  }
  return MakeError(ErrorCode::kUnavailable,
                   "the Object API answered " + std::to_string(status));
}

// Converts the response to a read into an object.
Result<Object> ToObject(HttpResponse response) {
  if (response.status != kOk) return MakeReadStatusError(response.status);
  if (!response.object_version) {
    return MakeError(ErrorCode::kCorrupt, "the response has no Object-Version");
  }
  return Object{std::move(response.body),
                ObjectVersion(*response.object_version)};
}

// Keys are inserted into the request path without escaping, so only characters
// that need none are allowed.
bool IsValidKey(const std::string& key) {
  for (const char c : key) {
    const bool valid = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ||
                       c == '/' || c == '_' || c == '-';
    if (!valid) return false;
  }
  return true;
}

tl::unexpected<Error> MakeKeyError() {
  return MakeError(ErrorCode::kInvalidArgument,
                   "an object key may only contain a-z, 0-9, '/', '_' and '-'");
}

}  // namespace

HttpObjectStore::HttpObjectStore(HttpObjectStoreOptions options)
    : options_(std::move(options)) {}

Result<Object> HttpObjectStore::Get(const ObjectKey& key) {
  if (!IsValidKey(key.value())) return MakeKeyError();
  HttpRequest request;
  request.path = "/v1/objects/" + key.value();
  auto response =
      ExchangeOnce(options_.ip, options_.port, request, options_.timeout);
  if (!response) return tl::make_unexpected(ToReadError(response.error()));
  return ToObject(std::move(*response));
}

// A server error may come from a component of the platform that only lost the
// response, so it does not tell whether the write took effect.
Result<ObjectVersion> HttpObjectStore::PutIf(const ObjectKey& key,
                                             const std::string& value,
                                             ObjectVersion expected) {
  if (!IsValidKey(key.value())) return MakeKeyError();
  if (value.size() > kMaxObjectBytes) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "the value exceeds the size limit of the Object API");
  }
  HttpRequest request;
  request.method = "PUT";
  request.path = "/v1/objects/" + key.value();
  request.if_version = expected.value();
  request.body = value;
  const auto response =
      ExchangeOnce(options_.ip, options_.port, request, options_.timeout);
  if (!response) {
    if (response.error().code == ErrorCode::kUnavailable) {
      return tl::make_unexpected(response.error());
    }
    return MakeError(ErrorCode::kOutcomeUnknown, response.error().detail);
  }
  const std::string status =
      "the Object API answered " + std::to_string(response->status);
  if (response->status == kOk && response->object_version) {
    return ObjectVersion(*response->object_version);
  }
  if (response->status == kPreconditionFailed) {
    return MakeError(ErrorCode::kConflict, "the object has another version");
  }
  if (response->status == kTooManyRequests) {
    return MakeError(ErrorCode::kUnavailable, status);
  }
  if (response->status == kOk || response->status >= kFirstServerError) {
    return MakeError(ErrorCode::kOutcomeUnknown, status);
  }
  return MakeError(ErrorCode::kInvalidArgument, status);
}

Result<std::optional<Object>> HttpObjectStore::Watch(
    const ObjectKey& key, ObjectVersion after, std::chrono::milliseconds wait) {
  if (!IsValidKey(key.value())) return MakeKeyError();
  HttpRequest request;
  request.path = "/v1/watch/" + key.value();
  request.query = "after=" + std::to_string(after.value()) +
                  "&wait_ms=" + std::to_string(wait.count());
  auto response = ExchangeOnce(options_.ip, options_.port, request,
                               wait + options_.timeout);
  if (!response) return tl::make_unexpected(ToReadError(response.error()));
  if (response->status == kNoContent) return std::optional<Object>();
  auto object = ToObject(std::move(*response));
  if (!object) return tl::make_unexpected(object.error());
  return std::optional<Object>(std::move(*object));
}

Result<std::vector<ObjectListing>> HttpObjectStore::List(
    const std::string& prefix) {
  if (!IsValidKey(prefix)) return MakeKeyError();
  HttpRequest request;
  request.path = "/v1/list/" + prefix;
  const auto response =
      ExchangeOnce(options_.ip, options_.port, request, options_.timeout);
  if (!response) return tl::make_unexpected(ToReadError(response.error()));
  if (response->status != kOk) return MakeReadStatusError(response->status);
  const auto node = json::ParseJson(response->body);
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
