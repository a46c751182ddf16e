#include "core/base/hash_func.h"
#include "core/poison/poison_type.h"

namespace dogwoodrail::core::poison {

// Each field is terminated by a byte that it cannot contain, so that different
// requests never produce the same text.
Fingerprint MakeFingerprint(const FingerprintSource& source,
                            const DigestFunction& digest) {
  std::string head;
  head.append(source.account.value()).push_back('\0');
  head.append(source.route.value()).push_back('\0');
  head.append(source.method).push_back('\0');
  head.append(source.path).push_back('\0');
  const std::uint64_t body = digest(source.body);
  Fingerprint fingerprint;
  fingerprint.high = base::MixHash(digest(head), body);
  fingerprint.low = base::MixHash(body, base::StableHash(head));
  return fingerprint;
}

std::string PoisonShardKey(const Fingerprint& fingerprint) {
  return "poison/" + std::to_string(fingerprint.high) + '/' +
         std::to_string(fingerprint.low);
}

}  // namespace dogwoodrail::core::poison
