#include "wire/stream_codec.h"

#include <array>

namespace dogwoodrail::wire {

namespace zlib = boost::beast::zlib;
using boost::system::error_code;

namespace {

constexpr int kLevel = 5;
// A window of 8 KiB holds the headers of some ten frames, and keeps a link's
// memory small.
constexpr int kWindowBits = 13;
constexpr int kMemoryLevel = 6;
constexpr std::size_t kPieceBytes = 16384;

}  // namespace

StreamDeflater::StreamDeflater() {
  stream_.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
}

// A sync flush ends on a byte, so the other end sees all of the frames.
Bytes StreamDeflater::Compress(const std::vector<Bytes>& frames) {
  Bytes out;
  std::array<std::uint8_t, kPieceBytes> piece{};
  const auto write = [&](const Bytes& frame, zlib::Flush flush) {
    zlib::z_params params;
    params.next_in = frame.data();
    params.avail_in = frame.size();
    do {
      params.next_out = piece.data();
      params.avail_out = piece.size();
      error_code ec;
      stream_.write(params, flush, ec);
      out.insert(out.end(), piece.begin(),
                 piece.begin() + (piece.size() - params.avail_out));
    } while (params.avail_out == 0);
  };
  for (const Bytes& it : frames) write(it, zlib::Flush::none);
  write({}, zlib::Flush::sync);
  return out;
}

StreamInflater::StreamInflater() { stream_.reset(kWindowBits); }

bool StreamInflater::Inflate(const std::uint8_t* data, std::size_t size,
                             const Sink& sink) {
  std::array<std::uint8_t, kPieceBytes> piece{};
  zlib::z_params params;
  params.next_in = data;
  params.avail_in = size;
  do {
    params.next_out = piece.data();
    params.avail_out = piece.size();
    error_code ec;
    stream_.write(params, zlib::Flush::sync, ec);
    if (ec && ec != zlib::error::need_buffers) return false;
    const std::size_t n = piece.size() - params.avail_out;
    if (n > 0 && !sink(piece.data(), n)) return true;
  } while (params.avail_out == 0);
  return true;
}

}  // namespace dogwoodrail::wire
