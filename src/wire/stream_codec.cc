#include "wire/stream_codec.h"

#include <algorithm>
#include <array>

namespace dogwoodrail::wire {

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

namespace {

constexpr int kCompressionLevel = 5;
// A window of 8 KiB fits the headers of about ten frames while limiting the
// memory per link.
constexpr int kWindowBits = 13;
constexpr int kMemoryLevel = 6;
constexpr std::size_t kChunkBytes = 2048;
// A stored block consists of a type byte, its length, the complement of its
// length, and its data.
constexpr std::size_t kMaxStoredBlockBytes = 65535;
constexpr std::size_t kStoredHeaderBytes = 5;

void AppendStoredBlock(const std::uint8_t* data, std::size_t size, Bytes* out) {
  const auto low = static_cast<std::uint8_t>(size & 0xffU);
  const auto high = static_cast<std::uint8_t>(size >> 8U);
  const std::array<std::uint8_t, kStoredHeaderBytes> header = {
      0, low, high, static_cast<std::uint8_t>(~low),
      static_cast<std::uint8_t>(~high)};
  out->insert(out->end(), header.begin(), header.end());
  out->insert(out->end(), data, data + size);
}

}  // namespace

StreamDeflater::StreamDeflater() {
  stream_.reset(kCompressionLevel, kWindowBits, kMemoryLevel,
                zlib::Strategy::normal);
}

// A sync flush ends on a byte boundary, so the receiver can decode all frames.
Bytes StreamDeflater::Compress(const std::vector<Bytes>& frames) {
  Bytes out;
  std::array<std::uint8_t, kChunkBytes> chunk{};
  const auto write = [&](const Bytes& frame, zlib::Flush flush) {
    zlib::z_params params;
    params.next_in = frame.data();
    params.avail_in = frame.size();
    do {
      params.next_out = chunk.data();
      params.avail_out = chunk.size();
      error_code ec;
      stream_.write(params, flush, ec);
      out.insert(out.end(), chunk.begin(),
                 chunk.begin() + (chunk.size() - params.avail_out));
    } while (params.avail_out == 0);
  };
  for (const Bytes& it : frames) write(it, zlib::Flush::none);
  write({}, zlib::Flush::sync);
  return out;
}

// Sync flushes and stored blocks end on a byte boundary, so stored blocks can
// follow compressed data.
Bytes StreamDeflater::Store(const std::vector<Bytes>& frames) {
  std::size_t total = 0;
  for (const Bytes& it : frames) total += it.size() + kStoredHeaderBytes;
  Bytes out;
  out.reserve(total);
  for (const Bytes& it : frames) {
    for (std::size_t at = 0; at < it.size(); at += kMaxStoredBlockBytes) {
      const std::size_t size = std::min(kMaxStoredBlockBytes, it.size() - at);
      AppendStoredBlock(it.data() + at, size, &out);
    }
  }
  return out;
}

StreamInflater::StreamInflater() { stream_.reset(kWindowBits); }

bool StreamInflater::Inflate(const std::uint8_t* data, std::size_t size,
                             const Sink& sink) {
  std::array<std::uint8_t, kChunkBytes> chunk{};
  zlib::z_params params;
  params.next_in = data;
  params.avail_in = size;
  do {
    params.next_out = chunk.data();
    params.avail_out = chunk.size();
    error_code ec;
    stream_.write(params, zlib::Flush::sync, ec);
    if (ec && ec != zlib::error::need_buffers) return false;
    const std::size_t n = chunk.size() - params.avail_out;
    if (n > 0 && !sink(chunk.data(), n)) return true;
  } while (params.avail_out == 0);
  return true;
}

}  // namespace dogwoodrail::wire
