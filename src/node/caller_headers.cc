#include "node/caller_headers.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace dogwoodrail::node {
namespace {

using core::base::Reason;
using http::Header;
using http::HeaderNameEquals;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;

using Refusal = tl::unexpected<HeaderRefusal>;

Refusal Refuse(Reason reason, std::string detail) {
  return Refusal(HeaderRefusal{reason, std::move(detail)});
}

// Parses a positive decimal number.
std::optional<std::uint32_t> ParseNumber(const std::string& text) {
  std::uint32_t n = 0;
  const char* last = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), last, n);
  if (parsed.ec != std::errc() || parsed.ptr != last || n == 0) {
    return std::nullopt;
  }
  return n;
}

// Stores a value. Returns false if one was already stored.
template <typename T>
bool StoreOnce(std::optional<T>& slot, T value) {
  if (slot) return false;
  slot = std::move(value);
  return true;
}

// Returns true if the key also occurs in the target or in a header other than
// Authorization, and would be forwarded to a backend server.
bool KeyOccursElsewhere(const http::Request& request, const std::string& key) {
  if (request.target.find(key) != std::string::npos) return true;
  return std::any_of(
      request.headers.begin(), request.headers.end(), [&](const Header& it) {
        return !HeaderNameEquals(it.name, http::header::kAuthorization) &&
               it.value.find(key) != std::string::npos;
      });
}

// Parses a Dogwood-* header; unknown ones are refused.
std::optional<HeaderRefusal> ParseReservedHeader(const Header& header,
                                                 CallerHeaders& out) {
  const HeaderRefusal refusal{Reason::kReservedHeader, header.name};
  if (HeaderNameEquals(header.name, http::header::kContext)) {
    if (!StoreOnce(out.context, header.value)) return refusal;
    return std::nullopt;
  }
  const auto number = ParseNumber(header.value);
  if (!number) return refusal;
  if (HeaderNameEquals(header.name, http::header::kTimeout)) {
    if (!StoreOnce(out.timeout, std::chrono::milliseconds(*number))) {
      return refusal;
    }
    return std::nullopt;
  }
  if (HeaderNameEquals(header.name, http::header::kMaxAttempts)) {
    if (!StoreOnce(out.max_attempts, *number)) return refusal;
    return std::nullopt;
  }
  return refusal;
}

// Parses one header; ignores those not addressed to the node.
std::optional<HeaderRefusal> ParseHeader(const Header& header,
                                         CallerHeaders& out) {
  if (HeaderNameEquals(header.name, http::header::kAuthorization)) {
    const std::string_view value = header.value;
    const std::string_view scheme = value.substr(0, kBearer.size());
    if (!HeaderNameEquals(scheme, kBearer) || value.size() <= kBearer.size()) {
      return HeaderRefusal{Reason::kUnknownKey, "not a bearer key"};
    }
    if (!StoreOnce(out.key, std::string(value.substr(kBearer.size())))) {
      return HeaderRefusal{Reason::kSeveralKeys, "repeated Authorization"};
    }
    return std::nullopt;
  }
  if (HeaderNameEquals(header.name, http::header::kIdempotencyKey)) {
    if (header.value.empty() || header.value.size() > kMaxIdempotencyKeyBytes ||
        !StoreOnce(out.idempotency_key, header.value)) {
      return HeaderRefusal{Reason::kIdempotencyKeyInvalid,
                           "empty, too long or repeated"};
    }
    return std::nullopt;
  }
  if (http::IsReservedHeader(header.name)) {
    return ParseReservedHeader(header, out);
  }
  return std::nullopt;
}

}  // namespace

tl::expected<CallerHeaders, HeaderRefusal> ReadCallerHeaders(
    const http::Request& request) {
  CallerHeaders headers;
  for (const Header& it : request.headers) {
    if (auto refusal = ParseHeader(it, headers)) {
      return Refusal(std::move(*refusal));
    }
  }
  if (headers.key && headers.context) {
    return Refuse(Reason::kSeveralKeys, "a key together with a context");
  }
  if (headers.key && KeyOccursElsewhere(request, *headers.key)) {
    return Refuse(Reason::kBadRequest, "the key stands outside Authorization");
  }
  return headers;
}

void StripCallerHeaders(http::Request& request) {
  auto& headers = request.headers;
  headers.erase(std::remove_if(headers.begin(), headers.end(),
                               [](const Header& it) {
                                 return HeaderNameEquals(
                                            it.name,
                                            http::header::kAuthorization) ||
                                        http::IsHopByHopHeader(it.name) ||
                                        http::IsReservedHeader(it.name);
                               }),
                headers.end());
}

}  // namespace dogwoodrail::node
