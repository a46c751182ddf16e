#include "node/secret_func.h"

#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <boost/algorithm/hex.hpp>
#include <cstring>
#include <iterator>
#include <vector>

#include "core/base/check_func.h"

namespace dogwoodrail::node {
namespace {

// Encodes bytes as lower-case hex digits.
template <typename Container>
std::string ToHex(const Container& bytes) {
  std::string hex;
  boost::algorithm::hex_lower(bytes.begin(), bytes.end(),
                              std::back_inserter(hex));
  return hex;
}

// Fills a buffer with cryptographically secure random bytes.
void FillRandom(unsigned char* buf, std::size_t n) {
  const bool filled = RAND_bytes(buf, static_cast<int>(n)) == 1;
  core::base::CheckInvariant(filled, "the system has a random source");
}

}  // namespace

core::poison::Fingerprint FingerprintDigest(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  core::poison::Fingerprint fingerprint;
  std::memcpy(&fingerprint.high, digest.data(), sizeof(fingerprint.high));
  std::memcpy(&fingerprint.low, digest.data() + sizeof(fingerprint.high),
              sizeof(fingerprint.low));
  return fingerprint;
}

core::config::KeyHash HashKey(const std::string& key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  return core::config::KeyHash(ToHex(digest));
}

std::string RandomHex(std::size_t bytes) {
  std::vector<unsigned char> buf(bytes);
  FillRandom(buf.data(), buf.size());
  return ToHex(buf);
}

std::uint64_t RandomSeed() {
  std::array<unsigned char, sizeof(std::uint64_t)> buf{};
  FillRandom(buf.data(), buf.size());
  std::uint64_t seed = 0;
  std::memcpy(&seed, buf.data(), buf.size());
  return seed;
}

}  // namespace dogwoodrail::node
