#include "core/poison/poison_type.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace dogwoodrail::core::poison {
namespace {

constexpr std::size_t kHexDigits = 16;  // of a 64-bit number

}  // namespace

std::string FingerprintText(const Fingerprint& fingerprint) {
  constexpr std::size_t kTextBytes = 33;  // 32 digits and the terminator
  std::array<char, kTextBytes> buf{};
  std::snprintf(buf.data(), buf.size(), "%016" PRIx64 "%016" PRIx64,
                fingerprint.high, fingerprint.low);
  return buf.data();
}

std::optional<std::uint64_t> ParseHexNumber(std::string_view text) {
  constexpr int kBase = 16;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, kBase);
  const bool whole = text.size() == kHexDigits && parsed.ec == std::errc() &&
                     parsed.ptr == end;
  return whole ? std::optional<std::uint64_t>(number) : std::nullopt;
}

std::optional<Fingerprint> ParseFingerprint(std::string_view text) {
  if (text.size() != 2 * kHexDigits) return std::nullopt;
  const auto high = ParseHexNumber(text.substr(0, kHexDigits));
  const auto low = ParseHexNumber(text.substr(kHexDigits));
  if (!high || !low) return std::nullopt;
  return Fingerprint{*high, *low};
}

// Each field is preceded by its length, so that different requests never
// produce the same text. The body is digested by itself, which saves a copy.
Fingerprint MakeFingerprint(const FingerprintSource& source,
                            const DigestFunction& digest) {
  std::string text;
  for (const std::string_view it :
       {source.account, source.route, source.method, source.target}) {
    text.append(std::to_string(it.size())).push_back(':');
    text.append(it);
  }
  if (!source.body.empty()) text += FingerprintText(digest(source.body));
  return digest(text);
}

}  // namespace dogwoodrail::core::poison
