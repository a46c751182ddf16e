#ifndef DOGWOODRAIL_WIRE_STREAM_CODEC_H_
#define DOGWOODRAIL_WIRE_STREAM_CODEC_H_

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "wire/frame_type.h"

namespace dogwoodrail::wire {

// Compresses all frames sent on a link as a single stream, so that headers and
// names repeated in several frames take only a few bytes each.
class StreamDeflater {
 public:
  StreamDeflater();

  // Compresses frames. The receiver can decode the result without further data.
  Bytes Compress(const std::vector<Bytes>& frames);
  // Encodes frames as stored blocks of the same stream, which takes a few bytes
  // per frame but no CPU time for compression. Compress() must not be called
  // afterwards.
  static Bytes Store(const std::vector<Bytes>& frames);

 private:
  boost::beast::zlib::deflate_stream stream_;
};

// Decompresses the stream of a StreamDeflater.
class StreamInflater {
 public:
  // Receives a chunk of decompressed bytes. Returns false to stop.
  using Sink = std::function<bool(const std::uint8_t* data, std::size_t size)>;

  StreamInflater();

  // Decompresses part of the stream and passes it to the sink in chunks of
  // limited size. Returns false if the stream is corrupt.
  bool Inflate(const std::uint8_t* data, std::size_t size, const Sink& sink);

 private:
  boost::beast::zlib::inflate_stream stream_;
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_STREAM_CODEC_H_
