#include "standins/common/request_func.h"

#include <cinttypes>
#include <cstdint>
#include <cstdio>

#include "core/base/hash_func.h"

namespace dogwoodrail::standin {

// The target is included because GET requests have no body: without it, the
// responses to all of them would have the same digest.
std::string RequestDigest(const std::string& target, const std::string& body) {
  char buf[17];
  std::snprintf(buf, sizeof(buf), "%016" PRIx64,
                core::base::StableHash(target + "\n" + body));
  return buf;
}

std::string MakeUuid7(std::chrono::milliseconds since_epoch,
                      core::base::Random& random) {
  const auto ms = static_cast<std::uint64_t>(since_epoch.count());
  const std::uint64_t high = random();
  const std::uint64_t low = random();
  char buf[37];
  std::snprintf(buf, sizeof(buf),
                "%08" PRIx64 "-%04" PRIx64 "-7%03" PRIx64 "-%04" PRIx64
                "-%012" PRIx64,
                (ms >> 16U) & 0xffffffffU, ms & 0xffffU, high & 0xfffU,
                0x8000U | ((high >> 16U) & 0x3fffU), low & 0xffffffffffffU);
  return buf;
}

std::chrono::milliseconds WallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

}  // namespace dogwoodrail::standin
