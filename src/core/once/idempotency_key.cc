#include "core/once/idempotency_key.h"

#include <array>

#include "core/base/hash_func.h"

namespace dogwoodrail::core::once {
namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidDigits = 32;
constexpr unsigned kBitsPerDigit = 4;
constexpr unsigned kTimestampShift = 16;
constexpr std::uint64_t kTimestampMask = (1ULL << 48U) - 1;
constexpr std::uint64_t kVersionMask = 0xf000;
constexpr std::uint64_t kVersion7 = 0x7000;
constexpr std::uint64_t kRandAMask = 0x0fff;
constexpr std::uint64_t kVariantMask = 3ULL << 62U;
constexpr std::uint64_t kVariantRfc = 2ULL << 62U;
constexpr std::string_view kHexDigits = "0123456789abcdef";

bool IsHyphenPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

// Returns the value of a hexadecimal digit, or -1.
int DigitValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

base::WallTime IdempotencyKey::created() const {
  const auto ms =
      static_cast<std::int64_t>((high >> kTimestampShift) & kTimestampMask);
  return base::WallTime{std::chrono::milliseconds{ms}};
}

std::optional<IdempotencyKey> ParseIdempotencyKey(std::string_view text) {
  if (text.size() != kUuidLength) return std::nullopt;
  std::array<std::uint64_t, 2> words{};
  std::size_t digits = 0;
  for (std::size_t it = 0; it < text.size(); ++it) {
    if (IsHyphenPosition(it)) {
      if (text[it] != '-') return std::nullopt;
      continue;
    }
    const int value = DigitValue(text[it]);
    if (value < 0) return std::nullopt;
    std::uint64_t& word = words.at(digits / (kUuidDigits / 2));
    word = (word << kBitsPerDigit) | static_cast<std::uint64_t>(value);
    ++digits;
  }
  if ((words[0] & kVersionMask) != kVersion7) return std::nullopt;
  if ((words[1] & kVariantMask) != kVariantRfc) return std::nullopt;
  return IdempotencyKey{words[0], words[1]};
}

std::string FormatIdempotencyKey(const IdempotencyKey& key) {
  std::string text;
  text.reserve(kUuidLength);
  for (std::size_t it = 0; it < kUuidDigits; ++it) {
    if (IsHyphenPosition(text.size())) text.push_back('-');
    const std::uint64_t word = it < kUuidDigits / 2 ? key.high : key.low;
    const std::size_t position = kUuidDigits / 2 - 1 - it % (kUuidDigits / 2);
    text.push_back(kHexDigits[(word >> (position * kBitsPerDigit)) & 0xfU]);
  }
  return text;
}

// The key's timestamp is that of the root request. Repeated calls within the
// request thus get the same key, and retention applies as to callers' keys.
IdempotencyKey DeriveIdempotencyKey(const DerivedKeySource& source) {
  const std::uint64_t call =
      base::MixHash(base::StableHash(source.route.value() + '\n' + source.path),
                    source.body_digest);
  const std::uint64_t low =
      base::MixHash(base::StableHash(source.root.value()), call);
  const std::uint64_t extra = base::MixHash(low, call);
  const auto ms = static_cast<std::uint64_t>(
      source.root_received.time_since_epoch().count());
  IdempotencyKey key;
  key.high = ((ms & kTimestampMask) << kTimestampShift) | kVersion7 |
             (extra & kRandAMask);
  key.low = (low & ~kVariantMask) | kVariantRfc;
  return key;
}

ClaimId MakeClaimId(const base::AccountName& account,
                    const IdempotencyKey& key) {
  return ClaimId{base::StableHash(account.value()), key};
}

std::string ClaimShardKey(const ClaimId& id) {
  return "once/" + std::to_string(id.account_hash) + '/' +
         FormatIdempotencyKey(id.key);
}

std::size_t ClaimIdHash::operator()(const ClaimId& id) const {
  return base::MixHash(id.account_hash ^ id.key.high, id.key.low);
}

}  // namespace dogwoodrail::core::once
