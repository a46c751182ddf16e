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

// Compresses what one end of a link sends, as one stream: headers and names
// that repeat from frame to frame cost a few bytes only.
class StreamDeflater {
 public:
  StreamDeflater();

  // Returns frames in a form that the other end can decode without waiting for
  // more.
  Bytes Compress(const std::vector<Bytes>& frames);
  // The same without compressing: costs a few bytes a frame in place of the
  // processor time. Nothing is compressed after it.
  static Bytes Store(const std::vector<Bytes>& frames);

 private:
  boost::beast::zlib::deflate_stream stream_;
};

// Decompresses the stream of the other end.
class StreamInflater {
 public:
  // Takes a piece of decompressed bytes; false to stop.
  using Sink = std::function<bool(const std::uint8_t* data, std::size_t size)>;

  StreamInflater();

  // Decompresses a piece of the stream; false if it is damaged. The sink is
  // called with bounded pieces.
  bool Inflate(const std::uint8_t* data, std::size_t size, const Sink& sink);

 private:
  boost::beast::zlib::inflate_stream stream_;
};

}  // namespace dogwoodrail::wire

#endif  // DOGWOODRAIL_WIRE_STREAM_CODEC_H_
