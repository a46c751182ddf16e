#include "node/request_id.h"

#include <charconv>
#include <cstdint>
#include <cstdio>
#include <string>

#include "node/secret_func.h"

namespace dogwoodrail::node {
namespace {

constexpr std::size_t kTimeDigits = 12;
constexpr std::size_t kRandomBytes = 10;
constexpr int kHexBase = 16;

}  // namespace

core::base::WallTime WallNow() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

// The time is part of the id because the idempotency keys derived for nested
// calls contain it, and every node must derive the same ones.
core::base::RequestId MakeRequestId(core::base::WallTime now) {
  const auto ms = static_cast<std::uint64_t>(now.time_since_epoch().count());
  char digits[kTimeDigits + 1];
  std::snprintf(digits, sizeof(digits), "%012llx",
                static_cast<unsigned long long>(ms & 0xffffffffffffULL));
  return core::base::RequestId(digits + RandomHex(kRandomBytes));
}

core::base::WallTime RequestTime(const core::base::RequestId& request) {
  const std::string digits = request.value().substr(0, kTimeDigits);
  std::int64_t ms = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), ms, kHexBase);
  return core::base::WallTime(std::chrono::milliseconds(ms));
}

}  // namespace dogwoodrail::node
