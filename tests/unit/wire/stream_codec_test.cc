#include "wire/stream_codec.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace dogwoodrail::wire {
namespace {

Bytes MakeFrame(int n) {
  const std::string text =
      "Content-Type: text; Accept: */*; n=" + std::to_string(n) +
      std::string(200, 'x');
  return Bytes(text.begin(), text.end());
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_codec)

BOOST_AUTO_TEST_CASE(each_write_decodes_without_further_data) {
  StreamDeflater deflater;
  StreamInflater inflater;
  std::size_t packed_bytes = 0;
  for (int n = 0; n < 50; ++n) {
    const Bytes packed = deflater.Compress({MakeFrame(n), MakeFrame(n + 1)});
    packed_bytes += packed.size();
    Bytes read;
    BOOST_TEST(inflater.Inflate(packed.data(), packed.size(),
                                [&](const std::uint8_t* data, std::size_t n) {
                                  read.insert(read.end(), data, data + n);
                                  return true;
                                }));
    Bytes sent = MakeFrame(n);
    const Bytes second = MakeFrame(n + 1);
    sent.insert(sent.end(), second.begin(), second.end());
    BOOST_TEST((read == sent));
  }
  BOOST_TEST(packed_bytes < 50 * MakeFrame(1).size());
}

// A link learns the zone of its peer from the first frame. If it is the same
// zone, the link then stops compressing within the same stream.
BOOST_AUTO_TEST_CASE(stored_blocks_can_follow_compressed_data) {
  StreamDeflater deflater;
  StreamInflater inflater;
  const Bytes large(200'000, 'y');
  Bytes read;
  const auto inflate = [&](const Bytes& packed) {
    return inflater.Inflate(packed.data(), packed.size(),
                            [&](const std::uint8_t* data, std::size_t n) {
                              read.insert(read.end(), data, data + n);
                              return true;
                            });
  };
  BOOST_TEST(inflate(deflater.Compress({MakeFrame(1)})));
  BOOST_TEST(inflate(StreamDeflater::Store({MakeFrame(2), large})));
  BOOST_TEST(inflate(StreamDeflater::Store({MakeFrame(3)})));
  Bytes sent = MakeFrame(1);
  for (const Bytes& it : {MakeFrame(2), large, MakeFrame(3)}) {
    sent.insert(sent.end(), it.begin(), it.end());
  }
  BOOST_TEST((read == sent));
}

BOOST_AUTO_TEST_CASE(stream_decodes_one_byte_at_a_time) {
  StreamDeflater deflater;
  StreamInflater inflater;
  const Bytes packed = deflater.Compress({MakeFrame(1)});
  Bytes read;
  for (const std::uint8_t byte : packed) {
    BOOST_TEST(inflater.Inflate(&byte, 1,
                                [&](const std::uint8_t* data, std::size_t n) {
                                  read.insert(read.end(), data, data + n);
                                  return true;
                                }));
  }
  BOOST_TEST((read == MakeFrame(1)));
}

BOOST_AUTO_TEST_CASE(corrupt_stream_is_rejected) {
  StreamInflater inflater;
  const Bytes noise(300, 0xff);
  BOOST_TEST(
      !inflater.Inflate(noise.data(), noise.size(),
                        [](const std::uint8_t*, std::size_t) { return true; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace dogwoodrail::wire
