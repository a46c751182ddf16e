#include "http/beast_codec.h"

#include <string>
#include <utility>

#include "core/base/http_status.h"

namespace dogwoodrail::http {

using core::base::ErrorCode;
using core::base::KindOfStatus;
using core::base::MakeError;
using core::base::Result;
using core::base::StatusKind;

namespace {

constexpr unsigned kHttpVersion = 11;  // HTTP/1.1, as Beast writes it

}  // namespace

// Among others, a TRACE request with a body, a field of over 64 KiB, a status
// of four digits and a 204 response with a body cannot be represented.
Result<BeastRequest> EncodeRequest(Request& request,
                                   const std::string& default_host) {
  try {
    BeastRequest message;
    message.version(kHttpVersion);
    message.method_string(request.method);
    message.target(request.target);
    for (const Header& it : request.headers) message.insert(it.name, it.value);
    if (message.find(boost::beast::http::field::host) == message.end()) {
      message.set(boost::beast::http::field::host, default_host);
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
  } catch (const std::exception& ex) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "request cannot be written: " + std::string(ex.what()));
  }
}

Result<BeastResponse> EncodeResponse(Response response, bool keep_alive) {
  if (KindOfStatus(response.status) != StatusKind::kFinal) {
    return MakeError(
        ErrorCode::kInvalidArgument,
        "response with the status " + std::to_string(response.status));
  }
  try {
    BeastResponse message;
    message.version(kHttpVersion);
    message.result(static_cast<unsigned>(response.status));
    for (const Header& it : response.headers) message.insert(it.name, it.value);
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive);
    message.prepare_payload();
    return message;
  } catch (const std::exception& ex) {
    return MakeError(ErrorCode::kInvalidArgument,
                     "response cannot be written: " + std::string(ex.what()));
  }
}

Request DecodeRequest(BeastRequest&& message) {
  Request request;
  request.method = message.method_string().to_string();
  request.target = message.target().to_string();
  for (const auto& it : message) {
    request.headers.push_back(
        Header{it.name_string().to_string(), it.value().to_string()});
  }
  request.body = std::move(message.body());
  return request;
}

Response DecodeResponse(BeastResponse&& message) {
  Response response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& it : message) {
    response.headers.push_back(
        Header{it.name_string().to_string(), it.value().to_string()});
  }
  response.body = std::move(message.body());
  return response;
}

}  // namespace dogwoodrail::http
